// Package sharing transports the messages of internal/aggregation between proxies (members) and aggregators, which sum
// session counts over the fleet. It owns the sockets, the clock, the configuration files, the encoding as CBOR datagrams
// over UDP, which may be lost, and the status server on a loopback address. It makes no decisions from the content of
// messages, and it does not authenticate them.
//
// One goroutine owns the state of a Member or Aggregator; another reads the socket into a bounded queue. Messages are
// sent at constant rates, whatever the load. A proxy's event loop passes its session counts with Member.Publish, which
// never blocks.
package sharing
