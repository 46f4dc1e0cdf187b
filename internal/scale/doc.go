// Package scale measures what the control work of a proxy costs in a fleet of thousands, on one machine. It starts
// worker processes full of hollow members, a stand-in discovery service, and a few real proxies, changes something,
// and reports what each role used and how long the change took to be known.
//
// A hollow member runs the real control code (shared counts, the watch of the list of servers, the reading of
// settings) without clients and servers. The package does not judge placement or sessions; that is internal/rehearse.
package scale
