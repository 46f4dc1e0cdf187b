package sharing

import "chalkferry/internal/aggregation"

// figureRequest asks the goroutine that owns the state for the sum of one key.
type figureRequest struct {
	key   aggregation.Key
	reply chan aggregation.Figure
}

// Figure returns the sum over the fleet for one server, listener or tenant. ok is false if the member was closed. It costs
// far less than Status.
func (m *Member) Figure(kind aggregation.Kind, name string) (figure aggregation.Figure, ok bool) {
	request := figureRequest{key: keyOf(kind, name), reply: make(chan aggregation.Figure, 1)}
	select {
	case m.figureRequests <- request:
		return <-request.reply, true
	case <-m.context.Done():
		return figure, false
	}
}

// KeyName returns the hash that a status shows for a name that its process has not published itself.
func KeyName(kind aggregation.Kind, name string) string { return keyOf(kind, name).String() }
