package rehearse

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestHangUpAtStart guards against SIGHUP that a rehearsal sends to a proxy before it handles signals, which counts as its crash.
func TestHangUpAtStart(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	proxy, slow := filepath.Join(folder, "correct"), filepath.Join(folder, "slow")
	if err := os.Symlink(self, proxy); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(slow, fmt.Appendf(nil, "#!/bin/sh\nsleep 0.3\nexec %s \"$@\"\n", proxy), 0o700); err != nil {
		t.Fatal(err)
	}
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{binary: slow, address: address, folder: folder, cpu: anyCPU, memoryMB: minMemoryMB, sockets: minSockets}
	p.config.Listen = address
	for start := range 2 {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		p.hangUp()
		p.hangUp()
		time.Sleep(100 * time.Millisecond) // an end by the signal is noticed by then
		if use, _ := p.use(); p.isDown() || len(use.Crashes) > 0 {
			t.Errorf("start %d: the proxy has ended: %v", start, use.Crashes)
		}
		p.kill()
	}
}
