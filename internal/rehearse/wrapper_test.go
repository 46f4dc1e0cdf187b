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

// TestWrapperIsKilled: the proxy behind a wrapper ends with the rehearsal, and with the wrapper.
func TestWrapperIsKilled(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	proxy, wrapper := filepath.Join(folder, "kind"), filepath.Join(folder, "wrapper")
	if err := os.Symlink(self, proxy); err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf("#!/bin/sh\n%s \"$@\" &\nwait\n", proxy)
	if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	const wrapperAndProxy = 2
	for name, wrapperEnds := range map[string]func(wrapper int){
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
		ids := awaitProxies(t, wrapperAndProxy)
		time.Sleep(time.Second) // it is ready by then
		wrapperEnds(min(ids[0], ids[1]))
		<-report
		for limit := time.Now().Add(time.Second); len(proxiesOf(t)) > 0 && time.Now().Before(limit); {
			time.Sleep(10 * time.Millisecond)
		}
		for _, id := range proxiesOf(t) {
			t.Errorf("%s: process %d goes on", name, id)
			unix.Kill(id, unix.SIGKILL)
		}
	}
}
