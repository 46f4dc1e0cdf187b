package sharing

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"

	"chalkferry/internal/failure"
)

// statusServer responds to each HTTP request with the status as JSON.
type statusServer struct {
	listener net.Listener // nil if no status is served
}

// serveStatus serves the status at an address, or nowhere if the address is the zero value. getStatus returns false if
// the member or aggregator was closed.
func serveStatus[T any](address netip.AddrPort, getStatus func() (T, bool)) (*statusServer, error) {
	if !address.IsValid() {
		return &statusServer{}, nil
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	go http.Serve(failure.Listener{Listener: listener}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, ok := getStatus()
		if !ok {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status) // an error means that the client closed the connection
	})) // returns when the listener is closed
	return &statusServer{listener: listener}, nil
}

// address returns the address that the status is served at, or "" if it is not served.
func (s *statusServer) address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

func (s *statusServer) close() {
	if s.listener != nil {
		s.listener.Close()
	}
}
