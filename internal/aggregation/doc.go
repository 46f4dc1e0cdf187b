// Package aggregation adds up what the proxies of a fleet hold (sessions by server, tenant and listener). Each member
// (a proxy) reports its own values to the two aggregators of its region; the aggregators exchange the sums of their
// regions and send digests of the fleet's sums back to the members that subscribe to them.
//
// The package decides and does not act: it has no I/O, clock, goroutine or randomness, and no output depends on the
// order of a map. The caller owns the sockets and passes the time since any fixed point, by a clock that goes on while
// the process is stopped and the machine sleeps (CLOCK_BOOTTIME). Its datagrams may be lost, late, doubled and out of
// order. A Member or Aggregator is used by one goroutine at a time.
//
// A table (a member's reports, a region's sums, a digest) goes over one datagram at a time, its keys in turn, so that any
// datagram may be lost: once the network is faultless a table is exact within five turns. What is no longer heard counts
// in full for the freshness, and then less, linearly, to nothing after the decay. An aggregator that has just started
// says that it heard less than it did until it has run for the freshness, as it does not know its members yet.
//
// What a Figure does not say: the time that datagrams spent on the network; a member under one ID that moves to another
// region, which counts in both until the decay is over; members that only one aggregator of a region hears beside others
// that only the other hears, as their numbers are compared and not their IDs; and keys of which so many datagrams in a
// row were lost that Since passed, beside old ones that make up the number of keys. A process that has just started can't
// tell a replayed datagram from a new one.
//
// It does not authenticate: whoever can send to the ports can make the figures wrong.
package aggregation
