package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"chalkferry/internal/store"
)

// storeCmd groups the commands that inspect a store's folder.
type storeCmd struct {
	Check storeCheckCmd `cmd:"" help:"Check a folder and print up to where its records are intact. Changes nothing without --repair."`
	List  storeListCmd  `cmd:"" help:"List the tables with their numbers of records and bytes."`
	Dump  storeDumpCmd  `cmd:"" help:"Print all records as JSON lines."`
}

// storeCheckCmd checks the records of a folder and on request repairs an end that a crash has left incomplete.
type storeCheckCmd struct {
	Dir    string `arg:"" type:"existingdir"`
	Repair bool   `help:"Cut off an incomplete end. The segment as it was is kept in the folder."`
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

// repair cuts off an incomplete end and prints where the original is kept.
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

// storeListCmd lists the tables.
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

// storeDumpCmd prints all records.
type storeDumpCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c *storeDumpCmd) Run() error {
	r, err := store.Recover(os.DirFS(c.Dir))
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, table := range r.TableNames() {
		for _, key := range slices.Sorted(maps.Keys(r.Tables[table])) {
			if err := encoder.Encode(map[string]any{"table": table, "key": key, "value": r.Tables[table][key]}); err != nil {
				return err
			}
		}
	}
	return nil
}
