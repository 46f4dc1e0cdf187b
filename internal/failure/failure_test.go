package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestMeanings checks the classification of the errnos that the manual pages document for each call, also of wrapped ones.
func TestMeanings(t *testing.T) {
	for call, byMeaning := range map[Call]map[Meaning][]syscall.Errno{
		Accept: {
			Interrupted: {syscall.EINTR},
			NotReady:    {syscall.EAGAIN, syscall.EWOULDBLOCK},
			Exhausted:   {syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINVAL},
			Discarded: {syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT,
				syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT},
		},
		Read: {
			Interrupted: {syscall.EINTR},
			NotReady:    {syscall.EAGAIN},
			Exhausted:   {syscall.ENOMEM, syscall.ENOBUFS},
			Ended:       {syscall.ECONNRESET, syscall.EPIPE},
			Broken:      {syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.EIO},
		},
		Write: {
			Interrupted: {syscall.EINTR},
			NotReady:    {syscall.EAGAIN},
			Exhausted:   {syscall.ENOMEM, syscall.ENOBUFS},
			Ended:       {syscall.ECONNRESET, syscall.EPIPE},
			Broken:      {syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN},
		},
		Register: {Exhausted: {syscall.ENOMEM, syscall.ENOSPC}, Interrupted: {syscall.EINTR}, Permanent: {syscall.EBADF}},
		Wake:     {Interrupted: {syscall.EINTR}, NotReady: {syscall.EAGAIN}, Exhausted: {syscall.ENOMEM, syscall.EINVAL}},
		Connect: {
			Unrouted: {syscall.ENETUNREACH, syscall.ENETDOWN},
			Exhausted: {syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE,
				syscall.ENOMEM, syscall.EADDRINUSE},
			Interrupted: {syscall.EINTR},
			Permanent:   {syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.EACCES},
		},
		HandOver: {Exhausted: {syscall.EMFILE}, Interrupted: {syscall.EINTR}, Permanent: {syscall.EBADF}},
		Option:   {Exhausted: {syscall.ENOMEM, syscall.ENOBUFS}, Permanent: {syscall.ENOTCONN, syscall.EBADF}},
		Listen:   {Exhausted: {syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL}, Permanent: {syscall.EADDRINUSE, syscall.EACCES}},
		WriteFile: {Exhausted: {syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.ENFILE}, Interrupted: {syscall.EINTR},
			Permanent: {syscall.EROFS, syscall.EBADF, syscall.EEXIST}},
		OpenFile: {Exhausted: {syscall.EIO, syscall.ENFILE, syscall.ENOMEM}, Permanent: {syscall.ENOENT, syscall.EACCES}},
	} {
		for meaning, errnos := range byMeaning {
			for _, errno := range errnos {
				for _, err := range []error{errno, os.NewSyscallError("x", errno), fmt.Errorf("x: %w", &net.OpError{Err: errno})} {
					if got := Classify(call, err); got != meaning {
						t.Errorf("%v: %v is %v, want %v", call, err, got, meaning)
					}
				}
			}
		}
	}
	for call := range callCount {
		if Classify(call, nil) != None || Classify(call, io.ErrUnexpectedEOF) != Permanent {
			t.Errorf("%v: no error, or an error without an errno, is misclassified", call)
		}
	}
}

// TestRetry checks that a call is repeated while its failures are temporary, and not after a permanent failure or at the end of
// the context; and the range of the back-off.
func TestRetry(t *testing.T) {
	log := NewLog(zerolog.Nop())
	calls := 0
	failWith := func(errnos ...error) func() error {
		calls = 0
		return func() error {
			calls++
			if calls <= len(errnos) {
				return errnos[calls-1]
			}
			return nil
		}
	}
	if err := RetryFor(5*time.Second, Connect, log, failWith(syscall.ENFILE, syscall.EINTR, syscall.ENFILE)); err != nil || calls != 4 {
		t.Errorf("error %v after %d calls", err, calls)
	}
	if n := log.Count(Connect, syscall.ENFILE); n != 2 {
		t.Errorf("%d failures recorded, want 2", n)
	}
	if err := RetryFor(5*time.Second, Connect, log, failWith(syscall.ENFILE, syscall.ECONNREFUSED)); !errors.Is(err, syscall.ECONNREFUSED) || calls != 2 {
		t.Errorf("error %v after %d calls", err, calls)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := Retry(ctx, Connect, nil, func() error { return syscall.ENOBUFS }); !errors.Is(err, syscall.ENOBUFS) {
		t.Errorf("Retry with a cancelled context returned %v", err)
	}
	var backOff BackOff
	for range 20 {
		if delay := backOff.Next(); delay < minBackOff || delay > maxBackOff {
			t.Errorf("back-off of %v, want %v to %v", delay, minBackOff, maxBackOff)
		}
	}
}

// failingListener returns each of its failures once, then net.ErrClosed.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return nil, net.ErrClosed
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

// TestListener checks that temporary failures are not returned, and that the error of a closed listener is.
func TestListener(t *testing.T) {
	inner := &failingListener{failures: []error{syscall.ENOBUFS, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENFILE}}
	if _, err := (Listener{Listener: inner}).Accept(); !errors.Is(err, net.ErrClosed) || len(inner.failures) > 0 {
		t.Errorf("Accept returned %v with %d failures left", err, len(inner.failures))
	}
}
