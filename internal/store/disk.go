package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Disk is the folder that a store writes to. Tests replace it by one that fails on demand.
type Disk interface {
	fs.FS
	// Create makes a new file. It fails if a file of the name exists.
	Create(name string) (File, error)
	// SyncFolder makes the names of created files durable: they survive a loss of power.
	SyncFolder() error
}

// File is a segment that is open for writing.
type File interface {
	Write(data []byte) (int, error)
	// Sync returns when all that was written is durable.
	Sync() error
	// Truncate cuts the file to a size in bytes, from which the next write continues.
	Truncate(size int64) error
	Close() error
}

// tornSuffix ends the name under which a repair keeps a torn segment, before a number if that name is taken.
const tornSuffix = ".torn"

// ErrLocked is returned if another process has the folder open for writing.
var ErrLocked = errors.New("folder is written by another process")

// Folder is a Disk in the file system. Its lock admits one writer at a time.
type Folder struct {
	fs.FS
	path string
	lock *os.File
}

// OpenFolder opens a folder for writing and creates it if it does not exist. It fails with ErrLocked if another process holds
// the folder's lock.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	return &Folder{FS: os.DirFS(path), path: path, lock: lock}, nil
}

// Create makes a new file. It fails if a file of the name exists.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// SyncFolder makes the names of created files durable.
func (f *Folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Repair cuts a torn end off the last segment, or removes a last segment without a batch. The segment as it was is kept
// beside it under the returned name; "" means that there was nothing to repair. Any other damage is left as it is and
// returned as an error.
func (f *Folder) Repair() (kept string, err error) {
	recovered, err := Recover(f)
	if err != nil || len(recovered.Segments) == 0 {
		return "", err
	}
	last := recovered.Segments[len(recovered.Segments)-1]
	if recovered.Torn == "" && last.Last != 0 {
		return "", nil
	}
	name := filepath.Join(f.path, last.Name)
	if kept, err = f.keepTorn(last.Name); err != nil {
		return "", err
	}
	if last.Last == 0 { // no whole batch: the name has to be free for the next writer's first segment
		err = os.Remove(name)
	} else if err = f.copyPrefix(name, last.GoodBytes); err == nil {
		err = os.Rename(name+".new", name) // atomic: after a crash the segment is either as it was or cut
	}
	if err != nil {
		return "", err
	}
	return kept, f.SyncFolder()
}

// keepTorn links a torn segment to a free name beside it and returns that name. A link that an interrupted repair has left
// serves again.
func (f *Folder) keepTorn(name string) (kept string, err error) {
	for number := 1; ; number++ {
		kept = name + tornSuffix
		if number > 1 { // an earlier segment of the name was torn too
			kept += fmt.Sprintf(".%d", number)
		}
		err := os.Link(filepath.Join(f.path, name), filepath.Join(f.path, kept))
		if err == nil {
			return kept, nil
		}
		if !errors.Is(err, fs.ErrExist) {
			return "", err
		}
		if isLinked, err := f.isSameFile(name, kept); isLinked || err != nil {
			return kept, err
		}
	}
}

// isSameFile reports whether two names of the folder are links to one file.
func (f *Folder) isSameFile(name, other string) (bool, error) {
	a, err := fs.Stat(f, name)
	if err != nil {
		return false, err
	}
	b, err := fs.Stat(f, other)
	return err == nil && os.SameFile(a, b), err
}

// copyPrefix writes the first bytes of a file to a new file beside it, whose name ends in .new, and syncs it.
func (f *Folder) copyPrefix(name string, good int) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	to, err := os.OpenFile(name+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := to.Write(data[:good]); err != nil {
		to.Close()
		return err
	}
	if err := to.Sync(); err != nil {
		to.Close()
		return err
	}
	return to.Close()
}

// Close releases the lock. Files that are open stay open.
func (f *Folder) Close() error { return f.lock.Close() }
