// Package sharing carries what internal/aggregation decides between proxies (members) and aggregators: it owns the
// sockets, the clock, the configuration files, the CBOR datagrams over UDP, which may be lost, and the status on a
// loopback address. It decides nothing by what it carries and knows no authentication.
//
// One goroutine owns the state of a Member or Aggregator; another reads the socket into a bounded queue. Everything is
// sent at constant rates, whatever happens. A proxy's event loop hands its values over by Member.Publish, which never
// waits.
package sharing
