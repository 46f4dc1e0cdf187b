// Package aggregation adds up what the proxies of a fleet hold (sessions by server, tenant and listener). Each member
// (a proxy) reports its own values to the two aggregators of its region; the aggregators exchange the sums of their
// regions and send digests of the fleet's sums back to the members that subscribe to them.
//
// The package decides and does not act: it has no I/O, clock, goroutine or randomness, and no output depends on the
// order of a map. The caller owns the sockets and passes the time since any fixed point, by a clock that goes on while
// the process is stopped and the machine sleeps (CLOCK_BOOTTIME). Its datagrams may be lost, late, doubled and out of
// order. A Member or Aggregator is used by one goroutine at a time.
//
// It does not authenticate: whoever can send to the ports can make the figures wrong.
package aggregation
