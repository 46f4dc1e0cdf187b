package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"chalkferry/internal/store"
)

// storeCmd inspects a store's folder.
type storeCmd struct {
	Check storeCheckCmd `cmd:"" help:"Say what of a folder is good, and up to where. Changes nothing without --repair."`
	List  storeListCmd  `cmd:"" help:"Name the tables and how much they hold."`
	Dump  storeDumpCmd  `cmd:"" help:"Write all records as JSON lines."`
}

// storeCheckCmd reports what of a folder is good, and repairs a torn end on request.
type storeCheckCmd struct {
	Dir    string `arg:"" type:"existingdir"`
	Repair bool   `help:"Cut a torn end off; what is cut off is kept beside it."`
}

func (c *storeCheckCmd) Run() error {
	if c.Repair {
		if err := c.repair(); err != nil {
			return err
		}
	}
	r, err := store.Recover(os.DirFS(c.Dir))
	if err != nil {
		return err
	}
	for _, s := range r.Segments {
		fmt.Printf("%s: batches %d to %d, %d of %d bytes good\n", s.Name, s.First, s.Last, s.GoodBytes, s.Size)
	}
	fmt.Printf("good up to batch %d\n", r.Last)
	if r.Torn != "" {
		fmt.Println("a torn end, as a loss of power leaves it: " + r.Torn)
	}
	return nil
}

func (c *storeCheckCmd) repair() error {
	folder, err := store.OpenFolder(c.Dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	kept, err := folder.Repair()
	if err != nil {
		return err
	}
	if kept != "" {
		fmt.Printf("repaired; the segment as it was is kept as %s\n", kept)
	}
	return nil
}

// storeListCmd names the tables.
type storeListCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c *storeListCmd) Run() error {
	r, err := store.Recover(os.DirFS(c.Dir))
	if err != nil {
		return err
	}
	for _, name := range r.TableNames() {
		bytes := 0
		for _, value := range r.Tables[name] {
			bytes += len(value)
		}
		fmt.Printf("%s: %d records, %d bytes\n", name, len(r.Tables[name]), bytes)
	}
	return nil
}

// storeDumpCmd writes all records.
type storeDumpCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c *storeDumpCmd) Run() error {
	r, err := store.Recover(os.DirFS(c.Dir))
	if err != nil {
		return err
	}
	to := json.NewEncoder(os.Stdout)
	for _, table := range r.TableNames() {
		for _, key := range slices.Sorted(maps.Keys(r.Tables[table])) {
			if err := to.Encode(map[string]any{"table": table, "key": key, "value": r.Tables[table][key]}); err != nil {
				return err
			}
		}
	}
	return nil
}
