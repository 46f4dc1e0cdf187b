package scale

import (
	"chalkferry/internal/fleet"
	"chalkferry/internal/sharing"
)

// sharer is the shared state of one hollow member: the only thing of the mechanism that a worker knows.
type sharer interface {
	Publish(facts []sharing.Fact)
	Figure(kind fleet.CountKind, name string) (sharedFigure, bool)
	Traffic() sharing.Traffic
	Close()
}

// flatSharer keeps every other member's counts (internal/sharing).
type flatSharer struct{ *sharing.Sharing }

func (f flatSharer) Publish(facts []sharing.Fact) { f.Tell(facts) }

func (f flatSharer) Figure(kind fleet.CountKind, name string) (sharedFigure, bool) {
	figure, ok := f.Sharing.Figure(kind, name)
	return sharedFigure{Value: figure.Value, Age: figure.Age, Heard: figure.Heard}, ok
}
