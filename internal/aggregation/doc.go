// Package aggregation computes sums over a fleet of proxies: sessions by server, by tenant and by listener. Each member
// (a proxy) sends reports of its own values to the aggregators of its region, normally two. Aggregators send each other
// the sums over their regions, and send digests of the fleet's sums to the members that subscribe to them.
//
// The package is pure logic: it has no I/O, clock, goroutines or randomness, and no output depends on the iteration
// order of a map. The caller owns the sockets and passes the current time as the duration since any fixed point, on a
// clock that keeps running while the process is stopped and while the machine sleeps (CLOCK_BOOTTIME). Datagrams may be
// lost, delayed, duplicated and reordered. A Member or Aggregator must be used by one goroutine at a time.
//
// A table (the values of a member, the sums of a region, the sums of the fleet) is sent in parts, one datagram at a
// time. A turn is one round-robin pass over all keys of a table: each turn sends every key, so that any datagram may be
// lost. Once the network stops losing datagrams, the receiver's copy is exact within five turns.
//
// A sender that is no longer heard counts in full for the freshness period; then its weight falls linearly to 0 over
// the decay period. An aggregator that has just started does not know its members yet: until it has run for the
// freshness period it scales down the share of members that it claims to have heard.
//
// A Figure (a sum with bounds on its error and age) does not account for the following:
//   - the time that datagrams spent on the network;
//   - a member that moves to another region under the same ID: it counts in both until the decay is over;
//   - two aggregators of a region that each receive reports from members from which the other receives none: only the
//     numbers of members are compared, not their IDs;
//   - keys that the receiver dropped because every datagram with them was lost until Since passed their number, if it
//     still holds as many keys that the sender no longer has: only the numbers of keys are compared.
//
// A process that has just started cannot distinguish a replayed datagram from a new one.
//
// Datagrams are not authenticated: anyone who can send to the ports can falsify the sums.
package aggregation
