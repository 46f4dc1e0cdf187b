package store

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"os"
	"sync"
	"testing"
	"testing/fstest"
)

// faultyDisk is a disk in memory. It fails on demand, and a loss of power leaves what was synced and any part of the rest.
type faultyDisk struct {
	mu     sync.Mutex
	files  map[string]*faultyFile
	rng    *rand.Rand
	writes int // countdown to a write that is cut short and fails; never if it starts at 0
	syncs  int // countdown to a sync that fails; never if it starts at 0
}

// faultyFile is a file of a faultyDisk.
type faultyFile struct {
	disk   *faultyDisk
	data   []byte
	synced int
}

var errDisk = errors.New("disk error on demand")

func (d *faultyDisk) Open(string) (fs.File, error) { return nil, fs.ErrNotExist }
func (d *faultyDisk) SyncFolder() error            { return nil }

func (d *faultyDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &faultyFile{disk: d}
	d.files[name] = f
	return f, nil
}

func (f *faultyFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.writes--; f.disk.writes == 0 {
		n := f.disk.rng.Intn(len(data))
		f.data = append(f.data, data[:n]...)
		return n, errDisk
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *faultyFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.syncs--; f.disk.syncs == 0 {
		return errDisk
	}
	f.synced = len(f.data)
	return nil
}

func (f *faultyFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.data = f.data[:size]
	f.synced = min(f.synced, len(f.data))
	return nil
}

func (f *faultyFile) Close() error { return nil }

// afterPowerLoss returns the content of the folder after a loss of power.
func (d *faultyDisk) afterPowerLoss() fstest.MapFS {
	d.mu.Lock()
	defer d.mu.Unlock()
	folder := fstest.MapFS{}
	for name, f := range d.files {
		folder[name] = &fstest.MapFile{Data: f.data[:f.synced+d.rng.Intn(len(f.data)-f.synced+1)]}
	}
	return folder
}

// TestAcknowledged checks that, whichever write or sync fails and whenever power is lost, all acknowledged batches are
// recovered in order, together with none that was never appended, and that nothing is acknowledged after a failure.
func TestAcknowledged(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		disk := &faultyDisk{files: map[string]*faultyFile{}, rng: rng, writes: rng.Intn(12), syncs: rng.Intn(12)}
		w, err := NewWriter(disk, &Recovered{}, 64, 1+rng.Intn(200))
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		acknowledged, appended, failed := Seq(0), 0, false
		for n := range 40 {
			ops := []Op{{Table: "t", Key: fmt.Sprint(n), Value: []byte{byte(n)}}}
			err := w.Append(ops, func(seq Seq, err error) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					failed = true
				case failed || seq != acknowledged+1:
					t.Errorf("seed %d: batch %d acknowledged after batch %d, failed %v", seed, seq, acknowledged, failed)
				default:
					acknowledged = seq
				}
			})
			if err != nil {
				break
			}
			appended++
		}
		w.Close()
		r, err := Recover(disk.afterPowerLoss())
		if err != nil || r.Last < acknowledged || int(r.Last) > appended {
			t.Fatalf("seed %d: %v, %d acknowledged, %d recovered, %d appended", seed, err, acknowledged, r.Last, appended)
		}
		for n := range int(r.Last) {
			if value := r.Tables["t"][fmt.Sprint(n)]; len(value) != 1 || value[0] != byte(n) {
				t.Fatalf("seed %d: batch %d holds %v", seed, n+1, value)
			}
		}
		if err := w.Append(nil, nil); !errors.Is(err, ErrClosed) {
			t.Fatal(err)
		}
	}
}

// TestFolder checks on a real folder that a writer continues after the batches of the one before, and that two writers at
// once are refused.
func TestFolder(t *testing.T) {
	path := t.TempDir()
	for run := range 3 {
		folder, err := OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := OpenFolder(path); !errors.Is(err, ErrLocked) {
			t.Fatalf("second writer: %v", err)
		}
		r, err := Recover(folder)
		if err != nil || int(r.Last) != 10*run {
			t.Fatal(err, r)
		}
		w, err := NewWriter(folder, r, 10, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		for n := range 10 {
			if err := w.Append([]Op{{Table: "t", Key: fmt.Sprint(n), Value: []byte{byte(run)}}}, func(_ Seq, err error) {
				if err != nil {
					t.Error(err)
				}
			}); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		folder.Close()
	}
	if r, err := Recover(os.DirFS(path)); err != nil || len(r.Segments) != 3 || r.Last != 30 || r.Tables["t"]["9"][0] != 2 {
		t.Fatal(err, r)
	}
}

// TestShed checks that a batch beyond the limit of pending ones is refused at once and counted.
func TestShed(t *testing.T) {
	hold, began := make(chan struct{}), make(chan struct{})
	disk := &faultyDisk{files: map[string]*faultyFile{}, rng: rand.New(rand.NewSource(1))}
	w, err := NewWriter(disk, &Recovered{}, 2, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	w.Append(nil, func(Seq, error) { close(began); <-hold })
	<-began
	done := func(Seq, error) {}
	for range 2 {
		if err := w.Append(nil, done); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Append(nil, done); !errors.Is(err, ErrFull) || w.ShedCount() != 1 {
		t.Fatalf("third batch: %v, %d shed", err, w.ShedCount())
	}
	close(hold)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestRepair checks that a torn end is cut off only by Repair, that the segment as it was is kept, and that the store can be
// written afterwards.
func TestRepair(t *testing.T) {
	folder, names, states := writeSegments(t, 2)
	whole := folder[names[2]].Data
	for _, cut := range []int{0, headerSize - 1, headerSize, headerSize + 5, len(whole) - 1} {
		path := t.TempDir()
		for _, name := range names {
			data := folder[name].Data
			if name == names[2] {
				data = data[:cut]
			}
			if err := os.WriteFile(path+"/"+name, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		before, err := Recover(os.DirFS(path))
		if err != nil {
			t.Fatal(err)
		}
		disk, err := OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		kept, err := disk.Repair()
		if err != nil || kept == "" {
			t.Fatalf("cut at %d: %v, kept %q", cut, err, kept)
		}
		if data, err := os.ReadFile(path + "/" + kept); err != nil || len(data) != cut {
			t.Errorf("cut at %d: %v, %d bytes kept", cut, err, len(data))
		}
		after, err := Recover(disk)
		if err != nil || after.Torn != "" || after.Last != before.Last || !equalTables(after.Tables, states[after.Last]) {
			t.Fatalf("cut at %d: %v, %+v", cut, err, after)
		}
		if again, err := disk.Repair(); err != nil || again != "" {
			t.Fatal(err, again)
		}
		w, err := NewWriter(disk, after, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		w.Append([]Op{{Table: "t", Key: "next"}}, func(seq Seq, err error) {
			if err != nil || seq != after.Last+1 {
				t.Error(seq, err)
			}
		})
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		disk.Close()
	}
}

// TestRepairAfterCrash checks that a repair that a crash interrupted can be made again: the link that keeps the segment as it
// was exists by then, and the segment is still torn.
func TestRepairAfterCrash(t *testing.T) {
	folder, names, _ := writeSegments(t, 2)
	path := t.TempDir()
	for _, name := range names {
		data := folder[name].Data
		if name == names[2] {
			data = data[:len(data)-1]
		}
		if err := os.WriteFile(path+"/"+name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Link(path+"/"+names[2], path+"/"+names[2]+".torn"); err != nil {
		t.Fatal(err)
	}
	disk, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	if kept, err := disk.Repair(); err != nil || kept == "" {
		t.Fatalf("the second repair: %v, kept %q", err, kept)
	}
	if after, err := Recover(disk); err != nil || after.Torn != "" {
		t.Errorf("after the second repair: %v, %+v", err, after)
	}
}

// TestRepairOfReusedName guards against a repair that fails, or replaces what an earlier one kept, as a segment of the same
// name was torn before.
func TestRepairOfReusedName(t *testing.T) {
	path := t.TempDir()
	disk, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	const name = "0000000000000001" + segmentSuffix // no whole batch precedes it, so each writer begins with this one
	for i, torn := range []string{"first", "second", "third"} {
		if err := os.WriteFile(path+"/"+name, []byte(torn), 0o600); err != nil {
			t.Fatal(err)
		}
		kept, err := disk.Repair()
		if err != nil {
			t.Fatalf("repair %d: %v", i+1, err)
		}
		if data, err := os.ReadFile(path + "/" + kept); err != nil || string(data) != torn {
			t.Errorf("repair %d keeps %q, %v, want %q", i+1, data, err, torn)
		}
	}
	if data, err := os.ReadFile(path + "/" + name + tornSuffix); err != nil || string(data) != "first" {
		t.Errorf("after three repairs the first torn segment is %q, %v", data, err)
	}
}
