package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["standing"] = standing }

// standing: connections that were open before the run come with "at"; the list that the proxy has at its start does not name one
// of their servers yet, and discovery's answer takes its turn.
func standing(p *play) ([]string, error) {
	const patience = 40 * time.Second // one that is not up by then is lost
	f, err := p.newPlatform(3 * time.Second)
	if err != nil {
		return nil, err
	}
	known := f.discovery.known()
	if p.trouble { // the list from before s4 joined
		known.Revision--
		known.Members = known.Members[:3]
	}
	for _, s := range f.servers {
		s.answer = func(s *server, line string) string {
			if strings.Contains(line, "at="+s.name) {
				return fmt.Sprintf("UP %s-%d", s.name, s.receipts)
			}
			return "" // it does not hold this connection
		}
	}
	settings := kigali(0, 1)
	for _, l := range settings["listeners"].([]object) {
		if l["name"] == "signal-status" {
			l["effect"] = "non_idempotent"
		}
	}
	x, err := p.newProxy("n0", config(f.discovery, settings, known))
	if err != nil {
		return nil, err
	}
	f.discovery.crowd(p.now() + 1500*time.Millisecond)
	if err := x.start(); err != nil {
		return nil, err
	}
	if _, err := x.awaitPong(30 * time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var breaches []string
	var connections sync.WaitGroup
	deadline := p.now() + patience
	for i := range 8 {
		connections.Go(func() {
			for {
				s := f.clients.open(x, fmt.Sprintf("c=signal-status,t=imirongo,at=s%d", i%4+1), deadline-p.now(), 5*time.Second)
				<-s.done
				if strings.HasPrefix(s.answer, "UP ") {
					return
				}
				pause, ms := time.Second, 0
				if _, err := fmt.Sscanf(s.answer, "BUSY %d", &ms); err == nil {
					pause = time.Duration(ms) * time.Millisecond
				}
				if !strings.HasPrefix(s.answer, "BUSY") || p.now()+pause >= deadline { // trying again is harmless after BUSY alone
					mu.Lock()
					breaches = append(breaches, fmt.Sprintf("lost: the connection that was open at s%d is not up; %s to %s was answered %q, %s",
						i%4+1, s.id, x.name, s.answer, s.end))
					mu.Unlock()
					return
				}
				time.Sleep(pause)
			}
		})
	}
	connections.Wait()
	f.clients.running.Wait()
	return breaches, nil
}
