package faultinject

import "golang.org/x/sys/unix"

// auditArch is AUDIT_ARCH_X86_64 of linux/audit.h. Calls of another architecture are not intercepted.
const auditArch = 0xc000003e

// EpollWait is the number of the system call epoll_wait.
const EpollWait uintptr = unix.SYS_EPOLL_WAIT
