package proxy

import "container/list"

// listGate holds calls back until the list of servers may be used for them, and calls them in the order in which they came.
type listGate struct {
	waiting  list.List // of *gatedCall
	released int       // calls made since the last takeCounts
	canceled int       // calls canceled since then
}

// gatedCall is a call that waits for the list.
type gatedCall struct {
	isNew    bool // of a session that is new to the servers: the list must be current, not only read
	callback func()
}

// add has a call wait. cancel drops it, and does nothing once it was made.
func (g *listGate) add(call gatedCall) (cancel func()) {
	entry := g.waiting.PushBack(&call)
	return func() {
		if call.callback != nil {
			call.callback = nil
			g.waiting.Remove(entry)
			g.canceled++
		}
	}
}

// release makes the calls that need not wait any longer, as the two functions report: whether the list is read, and whether it is
// current. Calls that are added meanwhile stay.
func (g *listGate) release(isRead, isCurrent func() bool) {
	var due []*gatedCall
	for entry := g.waiting.Front(); entry != nil && isRead(); {
		next := entry.Next()
		if call := entry.Value.(*gatedCall); !call.isNew || isCurrent() {
			g.waiting.Remove(entry)
			due = append(due, call)
		}
		entry = next
	}
	for _, call := range due {
		if callback := call.callback; callback != nil { // else an earlier call has canceled it
			call.callback = nil
			g.released++
			callback()
		}
	}
}

// takeCounts returns how many calls were released and canceled since it was called last.
func (g *listGate) takeCounts() (released, canceled int) {
	released, canceled = g.released, g.canceled
	g.released, g.canceled = 0, 0
	return released, canceled
}
