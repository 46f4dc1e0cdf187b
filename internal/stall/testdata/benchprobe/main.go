// Benchprobe measures how a thread fares that waits for another one by polling, without blocking in the kernel, in an
// environment where one thread of a process runs at a time. A benchmark runs it in place of the proxy. The environment variable
// PROBE selects the case. Each case prints a line per round, and a benchmark that takes it for a hung process ends it. Results:
// docs/incidents/spinning-loop.md.
//
// It is not part of any build: copy it to cmd/benchprobe of a scratch copy of the repository, and name it in the copy's deploy
// file (run = "exec bin/benchprobe").
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// sleepTime is how long the other thread sleeps.
const sleepTime = 5 * time.Millisecond

// processors is the GOMAXPROCS that a proxy with less than one core sets.
const processors = 2

func main() {
	runtime.GOMAXPROCS(processors)
	poller, events := readyPoller(), make([]unix.EpollEvent, 8)
	cases := map[string]func(){
		"yield": func() { spin(func() { unix.RawSyscall(unix.SYS_SCHED_YIELD, 0, 0, 0) }) },
		"clock": func() { spin(func() { time.Now() }) },
		"poll":  func() { spin(func() { unix.EpollWait(poller, events, 0) }) },
		"collections": func() {
			allocate()
			report("collections", collections)
		},
		"threads": func() { report("threads", startThreads) },
	}
	run, isKnown := cases[os.Getenv("PROBE")]
	if !isKnown {
		fmt.Println("PROBE names no case")
		os.Exit(2)
	}
	run()
	time.Sleep(time.Hour) // until the benchmark ends the process
}

// readyPoller returns an epoll descriptor that always has an event ready.
func readyPoller() int {
	poller, _ := unix.EpollCreate1(0)
	ready, _ := unix.Eventfd(1, unix.EFD_NONBLOCK)
	unix.EpollCtl(poller, unix.EPOLL_CTL_ADD, ready, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(ready)})
	return poller
}

// spin calls poll in a loop until a goroutine on a thread of its own has slept for sleepTime, and prints how long that took. It
// does so for three rounds.
func spin(poll func()) {
	runtime.LockOSThread()
	for round := range 3 {
		var isDone atomic.Bool
		isStarted := make(chan struct{})
		go func() {
			runtime.LockOSThread()
			close(isStarted)
			time.Sleep(sleepTime)
			isDone.Store(true)
		}()
		<-isStarted
		start, turns := time.Now(), 0
		for !isDone.Load() {
			poll()
			turns++
		}
		fmt.Println("round", round, "took", time.Since(start), "turns", turns)
	}
}

// report calls round without end. For each 100 rounds it prints the sum of the counts that round returned and the duration of
// the longest round, both since the start.
func report(name string, round func() (count int)) {
	start, longest, total := time.Now(), time.Duration(0), 0
	for n := 1; ; n++ {
		roundStart := time.Now()
		total += round()
		longest = max(longest, time.Since(roundStart))
		if n%100 == 0 {
			fmt.Println(name, total, "longest round", longest, "at", time.Since(start))
		}
	}
}

// allocate starts goroutines that produce garbage and block in the kernel from time to time, so that the garbage collector runs
// again and again.
func allocate() {
	debug.SetGCPercent(5)
	for range 4 {
		go func() {
			poller, _ := unix.EpollCreate1(0)
			events := make([]unix.EpollEvent, 8)
			var kept [64][]byte
			for i := 0; ; i++ {
				if i%20 == 0 {
					unix.EpollWait(poller, events, 1)
				}
				kept[i%len(kept)] = make([]byte, 1000+i%1000)
			}
		}()
	}
}

// collected is how many garbage collections there were at the last call of collections.
var collected uint32

// collections sleeps for a millisecond and returns how many garbage collections there were since its last call.
func collections() int {
	time.Sleep(time.Millisecond)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	n := stats.NumGC - collected
	collected = stats.NumGC
	return int(n)
}

// startThreads starts goroutines that each need a thread, which ends with the goroutine, waits for them, and returns their
// number.
func startThreads() int {
	const threadCount = 4
	done := make(chan struct{})
	for range threadCount {
		go func() {
			runtime.LockOSThread()
			duration := unix.NsecToTimespec(int64(sleepTime / 16))
			unix.Nanosleep(&duration, nil)
			done <- struct{}{}
		}()
	}
	for range threadCount {
		<-done
	}
	return threadCount
}
