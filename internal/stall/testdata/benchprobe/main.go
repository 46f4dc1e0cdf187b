// Benchprobe is run by a bench in place of the proxy, and measures what a thread gets that waits for another one without
// waiting in the kernel, where one thread of a process runs at a time. It is not part of any build: copy it to cmd/benchprobe of
// a scratch copy, and name it in the copy's deploy file (run = "exec bin/benchprobe"). The environment variable PROBE names the
// case; each prints a line a round, and a bench that finds it hung ends it. What was measured: docs/incidents/spinning-loop.md.
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

// napTime is how long the other thread sleeps.
const napTime = 5 * time.Millisecond

// processors is what a proxy of less than a core sets.
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
	time.Sleep(time.Hour) // until the bench ends it
}

// readyPoller is an epoll descriptor that always has an event.
func readyPoller() int {
	poller, _ := unix.EpollCreate1(0)
	ready, _ := unix.Eventfd(1, unix.EFD_NONBLOCK)
	unix.EpollCtl(poller, unix.EPOLL_CTL_ADD, ready, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(ready)})
	return poller
}

// spin calls turn until a goroutine with a thread of its own has slept.
func spin(turn func()) {
	runtime.LockOSThread()
	for round := range 3 {
		var isDone atomic.Bool
		isStarted := make(chan struct{})
		go func() {
			runtime.LockOSThread()
			close(isStarted)
			time.Sleep(napTime)
			isDone.Store(true)
		}()
		<-isStarted
		began, turns := time.Now(), 0
		for !isDone.Load() {
			turn()
			turns++
		}
		fmt.Println("round", round, "took", time.Since(began), "turns", turns)
	}
}

// report prints, a hundred rounds at a time, how many there were of what is counted and how long the longest round took.
func report(name string, round func() (count int)) {
	began, longest, total := time.Now(), time.Duration(0), 0
	for n := 1; ; n++ {
		at := time.Now()
		total += round()
		longest = max(longest, time.Since(at))
		if n%100 == 0 {
			fmt.Println(name, total, "longest round", longest, "at", time.Since(began))
		}
	}
}

// allocate has goroutines that wait in the kernel at times leave garbage, so that the runtime collects again and again.
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

var collected uint32

// collections sleeps a millisecond and returns how many collections there were meanwhile.
func collections() int {
	time.Sleep(time.Millisecond)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	n := stats.NumGC - collected
	collected = stats.NumGC
	return int(n)
}

// startThreads has goroutines need a thread each, which ends with them.
func startThreads() int {
	const atOnce = 4
	done := make(chan struct{})
	for range atOnce {
		go func() {
			runtime.LockOSThread()
			nap := unix.NsecToTimespec(int64(napTime / 16))
			unix.Nanosleep(&nap, nil)
			done <- struct{}{}
		}()
	}
	for range atOnce {
		<-done
	}
	return atOnce
}
