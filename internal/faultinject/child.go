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

// ControllerVariable is the environment variable that holds the controller's address and the calls to send to it.
const ControllerVariable = "CHALKFERRY_FAULT_CONTROLLER"

// Sizes and offsets of struct seccomp_data, see seccomp(2).
const (
	offsetOfCall = 0
	offsetOfArch = 4
)

// auditArchAMD64 is AUDIT_ARCH_X86_64.
const auditArchAMD64 = 0xc000003e

// Wanted reports whether this process was started to run under faults.
func Wanted() bool { return os.Getenv(ControllerVariable) != "" }

// Exec replaces this process by the program, under the controller's faults. It returns only an error.
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
	runtime.LockOSThread() // the filter is this thread's, and the program is executed by it
	connection, err := connectController(address)
	if err != nil {
		return err
	}
	listener, err := installFilter(calls)
	if err != nil {
		return err
	}
	if err := handOver(connection, listener); err != nil {
		return err
	}
	return unix.Exec(program, append([]string{program}, arguments...), os.Environ())
}

func connectController(address string) (fd int, err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	if fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err != nil {
		return 0, err
	}
	return fd, unix.Connect(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
}

// installFilter has the calls sent to a listener, whose descriptor it returns.
func installFilter(calls []uintptr) (listener uintptr, err error) {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	end := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	filter := []unix.SockFilter{
		load(offsetOfArch),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: auditArchAMD64},
		end(unix.SECCOMP_RET_ALLOW),
		load(offsetOfCall),
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
	// Killable waits: a call that the controller has carried out in part must not be begun again after a signal.
	fd, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return fd, nil
}

// handOver tells the controller the listener's descriptor and waits until it has it, by calls that no plan names.
func handOver(connection int, listener uintptr) error {
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
		return fmt.Errorf("the controller has ended the connection")
	}
	return nil
}
