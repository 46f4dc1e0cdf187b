package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Disk is all that a store needs of a folder. Tests have an implementation that fails on demand.
type Disk interface {
	fs.FS
	// Create makes a new file; it fails where one of the name exists.
	Create(name string) (File, error)
	// SyncFolder makes the names of created files durable.
	SyncFolder() error
}

// File is a segment while it is written.
type File interface {
	Write(text []byte) (int, error)
	// Sync returns when all that was written is durable.
	Sync() error
	// Truncate cuts the file to a size in bytes; the next write goes on there.
	Truncate(size int64) error
	Close() error
}

// ErrLocked says that another process writes to the folder.
var ErrLocked = errors.New("folder is written by another process")

// Folder is a Disk in the file system, locked for its one writer.
type Folder struct {
	fs.FS
	path string
	lock *os.File
}

// OpenFolder makes the folder if it does not exist, and takes its lock: ErrLocked where another process has it.
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

// Create makes a new file; it fails where one of the name exists.
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
// beside it under the returned name, "" where nothing was torn. Any other damage is left, and returned.
func (f *Folder) Repair() (kept string, err error) {
	r, err := Recover(f)
	if err != nil || len(r.Segments) == 0 {
		return "", err
	}
	last := r.Segments[len(r.Segments)-1]
	if r.Torn == "" && last.Last != 0 {
		return "", nil
	}
	name := filepath.Join(f.path, last.Name)
	kept = last.Name + ".torn"
	if err := os.Link(name, filepath.Join(f.path, kept)); err != nil {
		return "", err
	}
	if last.Last == 0 { // not one batch: the next writer's first segment has this name
		err = os.Remove(name)
	} else if err = f.copyPrefix(name, last.GoodBytes); err == nil {
		err = os.Rename(name+".new", name) // at once: the good part is always under one name or the other
	}
	if err != nil {
		return "", err
	}
	return kept, f.SyncFolder()
}

// copyPrefix makes a new file of the first bytes of another.
func (f *Folder) copyPrefix(name string, good int) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	to, err := os.OpenFile(name+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := to.Write(text[:good]); err != nil {
		to.Close()
		return err
	}
	if err := to.Sync(); err != nil {
		to.Close()
		return err
	}
	return to.Close()
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }
