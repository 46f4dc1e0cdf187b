// Package faultinject makes system calls of a test's own child processes fail, by a seeded plan and without special rights.
//
// A child calls Exec, which installs a seccomp filter with user notification on itself and then executes the program under
// test. The filter sends the calls that the plan names to the Controller in the parent, which lets each continue, fails it
// with an errno, or has it transfer only a part of its bytes. The package is for tests only; no program of the project links
// it. It supports Linux on amd64. References: seccomp(2), seccomp_unotify(2), pidfd_getfd(2).
package faultinject
