package main

import (
	"fmt"
	"maps"
	"slices"

	"chalkferry/internal/stall"
)

// maxPrinted is how many threads of a kind a report prints.
const maxPrinted = 20

// reportStarved prints the run's threads that were ready for the whole span and got no processor, and what else is ready on
// theirs.
func (w *watch) reportStarved(before, now stall.Runnable) (isStarved bool, err error) {
	ofRun, err := stall.Descendants(w.root)
	if err != nil {
		return false, err
	}
	starved := slices.DeleteFunc(stall.Starved(before, now), func(s stall.Schedule) bool { return !ofRun[s.Process] })
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
		there := now.OnProcessor(processor)
		there = slices.DeleteFunc(there, func(s stall.Schedule) bool { return slices.Contains(starved, s) })
		fmt.Fprintf(w.report, "%d others are ready on processor %d\n", len(there), processor)
		w.printSchedules(there)
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
			continue // it has ended
		}
		fmt.Fprintf(w.report, "\t%v, may use %v\n", schedule, allowed)
	}
}
