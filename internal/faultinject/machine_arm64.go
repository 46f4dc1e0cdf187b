package faultinject

// auditArch is AUDIT_ARCH_AARCH64 of linux/audit.h. Calls of another architecture are not intercepted.
const auditArch = 0xc00000b7

// EpollWait stands for the system call epoll_wait, which arm64 doesn't have: a number that no call has.
const EpollWait uintptr = 0x7fffffff
