package sharing

import "chalkferry/internal/aggregation"

// figureRequest asks the goroutine that owns the state for one sum.
type figureRequest struct {
	key   aggregation.Key
	reply chan aggregation.Figure
}

// Figure returns the sum over the fleet of one name; false if the member has ended. It costs far less than Status.
func (m *Member) Figure(kind aggregation.Kind, name string) (figure aggregation.Figure, ok bool) {
	request := figureRequest{key: key(kind, name), reply: make(chan aggregation.Figure, 1)}
	select {
	case m.figures <- request:
		return <-request.reply, true
	case <-m.context.Done():
		return figure, false
	}
}

// KeyName is what a status shows for a name that its process has not published itself.
func KeyName(kind aggregation.Kind, name string) string { return key(kind, name).String() }
