package rehearse

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestWrapperIsKilled: if the proxy program is a wrapper script, the proxy that it starts must end when the rehearsal ends
// and when the wrapper is killed.
func TestWrapperIsKilled(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	proxy, wrapper := filepath.Join(folder, "correct"), filepath.Join(folder, "wrapper")
	if err := os.Symlink(self, proxy); err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf("#!/bin/sh\n%s \"$@\" &\nwait\n", proxy)
	if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	const wrapperAndProxy = 2
	for name, endWrapper := range map[string]func(wrapper int){
		"with the rehearsal": func(int) {},
		"with the wrapper":   func(wrapper int) { unix.Kill(wrapper, unix.SIGKILL) },
	} {
		report := make(chan *Report, 1)
		go func() {
			r, err := Run(context.Background(), smallScenario(t, "2s"), Options{Proxy: wrapper})
			if err != nil {
				t.Error(err)
			}
			report <- r
		}()
		pids := waitForProxies(t, wrapperAndProxy)
		time.Sleep(time.Second) // the proxy is ready by then
		endWrapper(min(pids[0], pids[1]))
		<-report
		for deadline := time.Now().Add(time.Second); len(proxyPIDs(t)) > 0 && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		for _, pid := range proxyPIDs(t) {
			t.Errorf("%s: process %d is still running", name, pid)
			unix.Kill(pid, unix.SIGKILL)
		}
	}
}
