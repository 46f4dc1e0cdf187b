package store

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"testing"
)

// flakyDisk is a faultyDisk on which each call fails at random with a temporary error: ENOSPC or EIO. Data that a failed
// write has left in a file stays there.
type flakyDisk struct {
	faultyDisk
	chance *rand.Rand
}

// flakyFile is a file of a flakyDisk.
type flakyFile struct {
	*faultyFile
	flaky *flakyDisk
}

// drawError draws the result of one call. It takes the lock.
func (d *flakyDisk) drawError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.chance.Intn(6) {
	case 0:
		return syscall.ENOSPC
	case 1:
		return syscall.EIO
	default:
		return nil
	}
}

func (d *flakyDisk) Create(name string) (File, error) {
	if err := d.drawError(); err != nil {
		return nil, err
	}
	f, err := d.faultyDisk.Create(name)
	if err != nil {
		return nil, err
	}
	return &flakyFile{f.(*faultyFile), d}, nil
}

func (d *flakyDisk) SyncFolder() error { return d.drawError() }

func (f *flakyFile) Write(data []byte) (int, error) {
	if err := f.flaky.drawError(); err != nil {
		n, _ := f.faultyFile.Write(data[:len(data)/2])
		return n, err
	}
	return f.faultyFile.Write(data)
}

func (f *flakyFile) Sync() error {
	if err := f.flaky.drawError(); err != nil {
		return err
	}
	return f.faultyFile.Sync()
}

func (f *flakyFile) Truncate(size int64) error {
	if err := f.flaky.drawError(); err != nil {
		return err
	}
	return f.faultyFile.Truncate(size)
}

// TestPassingFailures checks writing through temporary errors: each accepted batch is acknowledged, in order, and
// recovered after a loss of power, and nothing else is.
func TestPassingFailures(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		disk := &flakyDisk{faultyDisk: faultyDisk{files: map[string]*faultyFile{}, rng: rng},
			chance: rand.New(rand.NewSource(seed + 1))}
		w, err := NewWriter(disk, &Recovered{}, 64, 1+rng.Intn(200))
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		acknowledged := Seq(0)
		const batches = 20
		for n := range batches {
			ops := []Op{{Table: "t", Key: fmt.Sprint(n), Value: []byte{byte(n)}}}
			err := w.Append(ops, func(seq Seq, err error) {
				mu.Lock()
				defer mu.Unlock()
				if err != nil || seq != acknowledged+1 {
					t.Errorf("seed %d: batch %d with error %v acknowledged after batch %d", seed, seq, err, acknowledged)
				}
				acknowledged = seq
			})
			if err != nil {
				t.Fatalf("seed %d: batch %d refused: %v", seed, n+1, err)
			}
		}
		if err := w.Close(); err != nil {
			t.Errorf("seed %d: Close returns %v", seed, err)
		}
		r, err := Recover(disk.afterPowerLoss())
		if err != nil || r.Last != batches || r.Torn != "" || acknowledged != batches {
			t.Fatalf("seed %d: %v, %d acknowledged, recovered %+v", seed, err, acknowledged, r)
		}
		for n := range batches {
			if value := r.Tables["t"][fmt.Sprint(n)]; len(value) != 1 || value[0] != byte(n) {
				t.Fatalf("seed %d: batch %d holds %v", seed, n+1, value)
			}
		}
	}
}
