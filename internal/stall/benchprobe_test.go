package stall

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestBenchprobe checks that the probe, which a benchmark runs in place of the proxy, builds, and that each of its cases prints
// its rounds when run without a benchmark.
func TestBenchprobe(t *testing.T) {
	const timeout = 20 * time.Second
	program := filepath.Join(t.TempDir(), "benchprobe")
	if out, err := exec.Command("go", "build", "-o", program, "./testdata/benchprobe").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, wantOutput := range map[string]string{
		"yield": "round 2", "clock": "round 2", "poll": "round 2", "collections": "longest round", "threads": "longest round",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			output := filepath.Join(t.TempDir(), "output")
			file, err := os.Create(output)
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			command := exec.Command(program)
			command.Env = append(os.Environ(), "PROBE="+name)
			command.Stdout, command.Stderr = file, file
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			defer command.Wait()
			defer command.Process.Kill()
			for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				if text, _ := os.ReadFile(output); strings.Contains(string(text), wantOutput) {
					return
				}
			}
			text, _ := os.ReadFile(output)
			t.Errorf("%q was not printed within %v; output: %s", wantOutput, timeout, text)
		})
	}
}
