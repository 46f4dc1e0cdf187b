// Command standin2 plays the cases of the second review. It starts proxies as separate processes with the run command of the
// deploy file, and stands in for discovery, servers, the front and clients, as the protocol page describes them.
//
//	standin2 CASE FOLDER
//
// writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0
// in the environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the time after which a case is given up.
const limit = 110 * time.Second

// cases are the scripts by name. Each returns the breaches of its rule that it saw, and an error if it could not run.
var cases = map[string]func(*play) (breaches []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(scratch)
	p := &play{began: time.Now(), record: record, scratch: scratch, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.endProcesses()
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		breaches, err := cases[name](p)
		done <- result{breaches, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = fmt.Errorf("not over after %v", limit)
	case <-stop:
		r.err = fmt.Errorf("stopped from outside")
	}
	switch {
	case r.err != nil:
		p.logf("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "could not run:", r.err)
		return 2
	case len(r.breaches) > 0:
		for _, breach := range r.breaches {
			p.logf("BROKEN: %s", breach)
		}
		fmt.Printf("broken, %d times; the first: %s\n", len(r.breaches), r.breaches[0])
		return 1
	}
	p.logf("held")
	fmt.Println("held")
	return 0
}
