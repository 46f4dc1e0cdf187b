// Toy runs push servers and a discovery service in one program, to try chalkferry with. It simulates neither load nor faults.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
)

// options are the command-line flags.
var options struct {
	Discovery string   `default:"127.0.0.1:8500" help:"Address at which the discovery service listens."`
	Servers   []string `default:"127.0.0.1:9001,127.0.0.1:9002" help:"Addresses at which the push servers listen."`
}

// serveSession serves one connection: it accepts a session (OPEN), answers PING, echoes other lines and closes at BYE.
func serveSession(name string, conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		switch text := lines.Text(); {
		case strings.HasPrefix(text, "OPEN "):
			log.Printf("%s: %s", name, text)
			fmt.Fprintf(conn, "UP %s\r\n", name)
		case text == "PING":
			fmt.Fprint(conn, "PONG\r\n")
		case text == "BYE":
			fmt.Fprint(conn, "BYE\r\n")
			return
		default:
			fmt.Fprintf(conn, "%s\r\n", text)
		}
	}
}

// listen starts to serve sessions at an address, in the background.
func listen(name, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				log.Printf("%s: %v", name, err)
				return
			}
			go serveSession(name, conn)
		}
	}()
	return nil
}

// serveList answers requests for the list of servers. With watch=1 the answer goes on with an empty line every two seconds
// as a heartbeat; the list itself never changes.
func serveList(list []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s\n", list)
		for r.URL.Query().Get("watch") == "1" && r.Context().Err() == nil {
			w.(http.Flusher).Flush()
			time.Sleep(2 * time.Second)
			fmt.Fprintln(w)
		}
	}
}

func main() {
	kong.Parse(&options, kong.Description("Toy push servers and a discovery service, to try chalkferry with."))
	members := []map[string]any{}
	for i, address := range options.Servers {
		name := fmt.Sprintf("toy-%d", i+1)
		if err := listen(name, address); err != nil {
			fmt.Fprintln(os.Stderr, "toy:", err)
			os.Exit(1)
		}
		members = append(members, map[string]any{"id": name, "host_port": address, "locality": "here", "phase": "ready",
			"size": 1})
	}
	list, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
	if err != nil {
		log.Fatal(err)
	}
	http.HandleFunc("GET /api/targets", serveList(list))
	log.Printf("%d servers, discovery at %s", len(members), options.Discovery)
	log.Fatal(http.ListenAndServe(options.Discovery, nil))
}
