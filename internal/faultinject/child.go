package faultinject

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ControllerVariable is the environment variable that holds the controller's address, followed by the numbers of the system
// calls to send to it, separated by spaces.
const ControllerVariable = "CHALKFERRY_FAULT_CONTROLLER"

// Offsets in bytes of the fields of struct seccomp_data, see seccomp(2).
const (
	callOffset = 0
	archOffset = 4
)

// Enabled reports whether this process was started to run under fault injection.
func Enabled() bool { return os.Getenv(ControllerVariable) != "" }

// Exec connects to the controller, installs the filter and replaces this process by the program. It returns only on an error.
func Exec(program string, arguments []string) error {
	address, callText, _ := strings.Cut(os.Getenv(ControllerVariable), " ")
	os.Unsetenv(ControllerVariable)
	var calls []uintptr
	for _, text := range strings.Fields(callText) {
		call, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return err
		}
		calls = append(calls, uintptr(call))
	}
	runtime.LockOSThread() // the filter applies to the calling thread only, which has to be the one that executes the program
	connection, err := connectController(address)
	if err != nil {
		return err
	}
	listener, err := installFilter(calls)
	if err != nil {
		return err
	}
	if err := sendListener(connection, listener); err != nil {
		return err
	}
	return unix.Exec(program, append([]string{program}, arguments...), os.Environ())
}

// connectController opens a TCP connection to the controller as a plain descriptor, closed on exec.
func connectController(address string) (fd int, err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	if fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err != nil {
		return 0, err
	}
	return fd, unix.Connect(fd, &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
}

// installFilter installs a filter that sends the calls to a seccomp listener, and returns the listener's descriptor.
func installFilter(calls []uintptr) (listener uintptr, err error) {
	// load reads 32 bits of seccomp_data; end ends the filter with an action.
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	end := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	filter := []unix.SockFilter{
		load(archOffset),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: auditArch}, // skips the next instruction if equal
		end(unix.SECCOMP_RET_ALLOW),
		load(callOffset),
	}
	for _, call := range calls {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: uint32(call)},
			end(unix.SECCOMP_RET_USER_NOTIF))
	}
	filter = append(filter, end(unix.SECCOMP_RET_ALLOW))
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("no_new_privs: %w", err)
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// WAIT_KILLABLE_RECV: while the controller handles a call, only fatal signals interrupt it. Any other would have the call
	// begin again, though the controller may have carried out a part of it.
	fd, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return fd, nil
}

// sendListener sends the controller this process's ID and the listener's descriptor, and waits until the controller has
// duplicated the descriptor. It uses sendto and recvmsg, which no plan names: the filter is active already.
func sendListener(connection int, listener uintptr) error {
	var message [8]byte
	binary.LittleEndian.PutUint32(message[:], uint32(os.Getpid()))
	binary.LittleEndian.PutUint32(message[4:], uint32(listener))
	if _, _, errno := unix.RawSyscall6(unix.SYS_SENDTO, uintptr(connection), uintptr(unsafe.Pointer(&message)),
		uintptr(len(message)), 0, 0, 0); errno != 0 {
		return errno
	}
	vector := unix.Iovec{Base: &message[0], Len: 1}
	header := unix.Msghdr{Iov: &vector, Iovlen: 1}
	n, _, errno := unix.RawSyscall(unix.SYS_RECVMSG, uintptr(connection), uintptr(unsafe.Pointer(&header)), 0)
	if errno != 0 {
		return errno
	}
	if n != 1 {
		return fmt.Errorf("the controller closed the connection")
	}
	return nil
}
