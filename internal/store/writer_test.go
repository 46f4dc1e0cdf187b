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

// faultyDisk is a disk in memory: it fails on demand, and a loss of power leaves what was synced and any part of
// the rest.
type faultyDisk struct {
	mu     sync.Mutex
	files  map[string]*faultyFile
	rng    *rand.Rand
	writes int // until one is short and fails
	syncs  int // until one fails
}

type faultyFile struct {
	disk   *faultyDisk
	text   []byte
	synced int
}

var errDisk = errors.New("the disk fails")

func (d *faultyDisk) Open(string) (fs.File, error) { return nil, fs.ErrNotExist }
func (d *faultyDisk) SyncFolder() error            { return nil }

func (d *faultyDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &faultyFile{disk: d}
	d.files[name] = f
	return f, nil
}

func (f *faultyFile) Write(text []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.writes--; f.disk.writes == 0 {
		n := f.disk.rng.Intn(len(text))
		f.text = append(f.text, text[:n]...)
		return n, errDisk
	}
	f.text = append(f.text, text...)
	return len(text), nil
}

func (f *faultyFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.syncs--; f.disk.syncs == 0 {
		return errDisk
	}
	f.synced = len(f.text)
	return nil
}

func (f *faultyFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.text = f.text[:size]
	f.synced = min(f.synced, len(f.text))
	return nil
}

func (f *faultyFile) Close() error { return nil }

// after is what the folder holds after a loss of power.
func (d *faultyDisk) after() fstest.MapFS {
	d.mu.Lock()
	defer d.mu.Unlock()
	folder := fstest.MapFS{}
	for name, f := range d.files {
		folder[name] = &fstest.MapFile{Data: f.text[:f.synced+d.rng.Intn(len(f.text)-f.synced+1)]}
	}
	return folder
}

// Whatever fails and whenever power is lost: all that was acknowledged is there after it, in order, and nothing that
// was never appended; after a failure nothing is acknowledged any more.
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
					t.Errorf("seed %d: batch %d is acknowledged after %d, failed %v", seed, seq, acknowledged, failed)
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
		r, err := Recover(disk.after())
		if err != nil || r.Last < acknowledged || int(r.Last) > appended {
			t.Fatalf("seed %d: %v, %d acknowledged, %d there, %d appended", seed, err, acknowledged, r.Last, appended)
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

// On a real folder: what is written is there for the next writer, which goes on behind it; two at once are refused.
func TestFolder(t *testing.T) {
	path := t.TempDir()
	for run := range 3 {
		folder, err := OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := OpenFolder(path); !errors.Is(err, ErrLocked) {
			t.Fatalf("a second writer: %v", err)
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

// What can't wait is shed at once and counted.
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
	if err := w.Append(nil, done); !errors.Is(err, ErrFull) || w.Shed() != 1 {
		t.Fatalf("a third batch: %v, %d are shed", err, w.Shed())
	}
	close(hold)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// A torn end is cut off on demand only, kept beside, and the store can be written again.
func TestRepair(t *testing.T) {
	folder, names, states := written(t, 2)
	whole := folder[names[2]].Data
	for _, cut := range []int{0, headerSize - 1, headerSize, headerSize + 5, len(whole) - 1} {
		path := t.TempDir()
		for _, name := range names {
			text := folder[name].Data
			if name == names[2] {
				text = text[:cut]
			}
			if err := os.WriteFile(path+"/"+name, text, 0o600); err != nil {
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
		if text, err := os.ReadFile(path + "/" + kept); err != nil || len(text) != cut {
			t.Errorf("cut at %d: %v, %d bytes are kept", cut, err, len(text))
		}
		after, err := Recover(disk)
		if err != nil || after.Torn != "" || after.Last != before.Last || !same(after.Tables, states[after.Last]) {
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
