package stall

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestBenchprobe: each case of the probe that a bench runs in place of the proxy builds, and prints its rounds without a bench.
func TestBenchprobe(t *testing.T) {
	const patience = 20 * time.Second
	program := filepath.Join(t.TempDir(), "benchprobe")
	if out, err := exec.Command("go", "build", "-o", program, "./testdata/benchprobe").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, prints := range map[string]string{
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
			for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
				if text, _ := os.ReadFile(output); strings.Contains(string(text), prints) {
					return
				}
			}
			text, _ := os.ReadFile(output)
			t.Errorf("%q is not printed within %v: %s", prints, patience, text)
		})
	}
}
