package aggregation

import "container/list"

// lastReport names the latest report of a member.
type lastReport struct {
	incarnation Incarnation
	number      uint32
}

// forgottenMembers remembers the latest reports of the members that were forgotten last, so that a replay of their
// reports does not bring them back.
type forgottenMembers struct {
	max   int
	known map[MemberID]*list.Element // of forgottenMember
	order *list.List                 // the one forgotten first is the first
}

type forgottenMember struct {
	id MemberID
	lastReport
}

func newForgottenMembers(max int) forgottenMembers {
	return forgottenMembers{max: max, known: map[MemberID]*list.Element{}, order: list.New()}
}

func (f *forgottenMembers) add(id MemberID, last lastReport) {
	f.remove(id)
	f.known[id] = f.order.PushBack(forgottenMember{id, last})
	if f.order.Len() > f.max {
		f.remove(f.order.Front().Value.(forgottenMember).id)
	}
}

func (f *forgottenMembers) remove(id MemberID) {
	if element := f.known[id]; element != nil {
		f.order.Remove(element)
		delete(f.known, id)
	}
}

func (f *forgottenMembers) find(id MemberID) (last lastReport, known bool) {
	element := f.known[id]
	if element == nil {
		return lastReport{}, false
	}
	return element.Value.(forgottenMember).lastReport, true
}
