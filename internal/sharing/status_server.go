package sharing

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"

	"chalkferry/internal/failure"
)

// statusServer answers each HTTP request with the status as JSON.
type statusServer struct {
	listener net.Listener
}

// serveStatus listens on the address; an invalid one means that there is no status. ask returns false if the process
// ends meanwhile.
func serveStatus[T any](address netip.AddrPort, ask func() (T, bool)) (*statusServer, error) {
	if !address.IsValid() {
		return &statusServer{}, nil
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	go http.Serve(failure.Listener{Listener: listener}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, ok := ask()
		if !ok {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status) // an error means that the client has gone
	})) // ends when the listener is closed
	return &statusServer{listener: listener}, nil
}

// address is where the status is, "" for nowhere.
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
