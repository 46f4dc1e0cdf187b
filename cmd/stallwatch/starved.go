package main

import (
	"fmt"
	"maps"
	"slices"

	"chalkferry/internal/stall"
)

// maxPrinted is how many threads one list of a report contains at most.
const maxPrinted = 20

// reportStarved prints the threads of the run that were ready for the whole span and got no processor, and the other threads
// that are ready on the same processors.
func (w *watch) reportStarved(before, current stall.Runnable) (isStarved bool, err error) {
	descendants, err := stall.Descendants(w.root)
	if err != nil {
		return false, err
	}
	starved := slices.DeleteFunc(stall.Starved(before, current), func(s stall.Schedule) bool { return !descendants[s.Process] })
	if len(starved) == 0 {
		return false, nil
	}
	fmt.Fprintf(w.report, "STARVED: %d threads were ready for %v without a time slice\n", len(starved), w.Span)
	processors := map[int]bool{}
	for _, schedule := range starved {
		processors[schedule.Processor] = true
	}
	w.printSchedules(starved)
	for _, processor := range slices.Sorted(maps.Keys(processors)) {
		ready := current.OnProcessor(processor)
		ready = slices.DeleteFunc(ready, func(s stall.Schedule) bool { return slices.Contains(starved, s) })
		fmt.Fprintf(w.report, "%d others are ready on processor %d\n", len(ready), processor)
		w.printSchedules(ready)
	}
	return true, nil
}

// printSchedules prints a line for each thread, with the processors that it may use.
func (w *watch) printSchedules(schedules []stall.Schedule) {
	for i, schedule := range schedules {
		if i == maxPrinted {
			fmt.Fprintf(w.report, "\tand %d more\n", len(schedules)-maxPrinted)
			return
		}
		allowed, err := stall.AllowedProcessors(schedule.ThreadKey)
		if err != nil {
			continue // the thread has ended
		}
		fmt.Fprintf(w.report, "\t%v, may use %v\n", schedule, allowed)
	}
}
