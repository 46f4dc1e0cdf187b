// Package scale measures the processor time, memory and traffic that control work (shared counts, the server list,
// settings) costs a proxy in a fleet of thousands, on one machine. A run starts worker processes that hold hollow members,
// a stand-in discovery service, aggregators and a few real proxies. It then changes counts and the server list, injects
// faults, and reports what each role used and how long each change took to reach the members. The process that calls Run is
// the coordinator; it and the worker processes exchange JSON requests and replies.
//
// A hollow member runs the real control code (shared counts, the watch of the server list, the reading of settings)
// without clients and servers. The package does not check placement or sessions; package rehearse does.
package scale
