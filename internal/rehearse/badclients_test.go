package rehearse

import (
	"context"
	"net"
	"strings"
	"testing"
)

// TestUnansweredClient guards against a verdict on a bad client that does not tell which one it was.
func TestUnansweredClient(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts nothing, so its clients get neither an answer nor a close
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var clients badClients
	clients.runOne(context.Background(), &process{id: 3, address: listener.Addr().String()}, []byte("HELLO\r\n"))
	r := Report{BadClients: clients.report()}
	r.evaluateClients(&Scenario{})
	if len(r.Failed) != 1 || !strings.HasPrefix(r.Failed[0], "1 of 1 bad clients got neither an error nor a close") {
		t.Fatalf("verdict %q", r.Failed)
	}
	for _, want := range []string{"127.0.0.1:", " at n3, connected 20", `sent "HELLO\r\n"`, `got ""`} {
		if !strings.Contains(r.Failed[0], want) {
			t.Errorf("verdict %q, want it with %q", r.Failed[0], want)
		}
	}
}
