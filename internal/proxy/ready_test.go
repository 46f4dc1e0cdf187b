package proxy

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const (
	restartedProxies = 20               // proxies started at once
	readyLimit       = 10 * time.Second // for nine in ten of them, by the operators' requirements
)

// timeUntilReady is how long it takes, at most limit, until PING on a new connection is answered. It polls as the
// load balancer in front of the proxies does.
func timeUntilReady(address string, limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		if conn, err := net.DialTimeout("tcp", address, limit); err == nil {
			conn.SetDeadline(began.Add(limit))
			fmt.Fprint(conn, "PING\r\n")
			answer, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if answer == "PONG\r\n" {
				return time.Since(began)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit
}

// TestRestartedAtOnce checks that of proxies that start together nine in ten are ready within readyLimit, with pushed lists
// and with requested ones, and whatever discovery does meanwhile.
func TestRestartedAtOnce(t *testing.T) {
	for mode, replacements := range map[string][]string{
		"asked":  {`"mustAskIn":4000`, `"mustAskIn":120000`},
		"pushed": {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":60000`, `"dialTimeout":800`, `"dialTimeout":20000`},
	} {
		for name, answer := range map[string]func(c discoveryCall){
			"answers":      func(c discoveryCall) { c.sendFirstList(listWithOneServer(1, "127.0.0.1:1", "ready")) },
			"resets":       failedCalls[0],
			"answers 503":  failedCalls[1],
			"says nothing": func(discoveryCall) {},
		} {
			t.Run(mode+", discovery "+name, func(t *testing.T) {
				t.Parallel()
				discovery, calls := startManualDiscovery(t)
				go func() {
					for c := range calls { // calls is never closed; the goroutine ends with the test program
						answer(c)
					}
				}()
				took := make(chan time.Duration, restartedProxies)
				var proxies []*Proxy
				for range restartedProxies {
					address := freeAddress(t)
					text := strings.NewReplacer(replacements...).Replace(fmt.Sprintf(configuration, address, discovery, 256))
					p, err := New([]byte(text), zerolog.Nop())
					if err != nil {
						t.Fatal(err)
					}
					go func() {
						if err := p.Run(); err != nil {
							t.Error(err)
						}
					}()
					go func() { took <- timeUntilReady(address, readyLimit) }()
					proxies = append(proxies, p)
				}
				t.Cleanup(func() {
					var stops sync.WaitGroup
					for _, p := range proxies {
						stops.Go(func() {
							select {
							case <-p.ready:
								p.stopLoop()
							case <-time.After(readyLimit):
								t.Error("the event loop of a proxy does not run")
							}
						})
					}
					stops.Wait()
				})
				late, longest := 0, time.Duration(0)
				for range restartedProxies {
					each := <-took
					longest = max(longest, each)
					if each >= readyLimit {
						late++
					}
				}
				if late*10 > restartedProxies {
					t.Errorf("%d of %d proxies are not ready after %v", late, restartedProxies, readyLimit)
				}
				t.Logf("the last of %d proxies is ready after %v", restartedProxies, longest)
			})
		}
	}
}
