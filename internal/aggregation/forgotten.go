package aggregation

import "container/list"

// lastReport identifies the latest report of a member.
type lastReport struct {
	incarnation Incarnation
	number      uint32
}

// forgottenMembers remembers the latest reports of the most recently removed members, so that replayed reports do not
// bring them back.
type forgottenMembers struct {
	maxMembers int
	elements   map[MemberID]*list.Element // the elements of order
	order      *list.List                 // of forgottenMember; the first is the one removed longest ago
}

type forgottenMember struct {
	id MemberID
	lastReport
}

func newForgottenMembers(maxMembers int) forgottenMembers {
	return forgottenMembers{maxMembers: maxMembers, elements: map[MemberID]*list.Element{}, order: list.New()}
}

func (f *forgottenMembers) add(id MemberID, last lastReport) {
	f.remove(id)
	f.elements[id] = f.order.PushBack(forgottenMember{id, last})
	if f.order.Len() > f.maxMembers {
		f.remove(f.order.Front().Value.(forgottenMember).id)
	}
}

func (f *forgottenMembers) remove(id MemberID) {
	if element := f.elements[id]; element != nil {
		f.order.Remove(element)
		delete(f.elements, id)
	}
}

func (f *forgottenMembers) find(id MemberID) (last lastReport, known bool) {
	element := f.elements[id]
	if element == nil {
		return lastReport{}, false
	}
	return element.Value.(forgottenMember).lastReport, true
}
