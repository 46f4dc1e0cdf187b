package main

import (
	"fmt"
	"math/rand"
	"time"
)

func init() {
	cases["restart"] = restart
	cases["outage"] = outage
	cases["silence"] = silence
}

// toldIn is the time after which a change counts as told, by the standing test's terms, whether or not it arrived.
const toldIn = 6 * time.Second

// fleet is what all cases have: four servers, discovery, clients and some proxies that serve.
type fleet struct {
	play      *play
	servers   []*server
	discovery *discovery
	clients   *clients
	proxies   []*proxy
}

// newFleet starts a fleet and waits until all proxies have answered PING and have had their turn at discovery.
func (p *play) newFleet(count int, callTime, callTimeout time.Duration, site func(me, proxies int) object) (*fleet, error) {
	f := &fleet{play: p, clients: &clients{play: p, messageEvery: 2 * time.Second}}
	var members []member
	for i := range 4 {
		s, err := p.newServer(fmt.Sprintf("s%d", i+1))
		if err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
		members = append(members, member{ID: s.name, HostPort: s.address, Locality: "a", Flavor: "m2", Cell: 1, Phase: "ready", Size: 4})
	}
	var err error
	if f.discovery, err = p.newDiscovery(callTime, callTimeout, members); err != nil {
		return nil, err
	}
	known := f.discovery.known()
	for i := range count { // one after the other, so that each has its turn at once
		x, err := p.newProxy(fmt.Sprintf("n%d", i), config(f.discovery, site(i, count), known))
		if err != nil {
			return nil, err
		}
		f.proxies = append(f.proxies, x)
		if err := f.startProxy(x); err != nil {
			return nil, err
		}
		if _, err := x.awaitPong(30 * time.Second); err != nil {
			return nil, err
		}
		time.Sleep(callTime + 200*time.Millisecond)
	}
	return f, nil
}

// startProxy starts a proxy with a new seed.
func (f *fleet) startProxy(x *proxy) error {
	x.config["seed"] = fmt.Sprintf("%016x", rand.Uint64())
	if err := x.writeConfig(); err != nil {
		return err
	}
	return x.start()
}

// drain has the last server begin to drain.
func (f *fleet) drain() *server {
	s := f.servers[len(f.servers)-1]
	s.drain()
	f.discovery.set(s.name, "draining")
	return s
}

// open has the front send sessions to a proxy at a rate a second until a time.
func (f *fleet) open(x *proxy, rate int, until time.Duration, listeners []string, tenant string) {
	for i := 0; f.play.now() < until; i++ {
		f.clients.open(x, fmt.Sprintf("c=%s,t=%s", listeners[i%len(listeners)], tenant), 1200*time.Millisecond, 3*time.Second)
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// breaches returns the first lines of a proxy's clients that reached a server after a time.
func (f *fleet) breaches(s *server, x *proxy, after time.Duration, since time.Duration, event string) (found []string) {
	for _, a := range s.arrivalsSince(after) {
		if c := f.clients.find(a.id); c != nil && c.proxy == x.name {
			found = append(found, fmt.Sprintf("drain: session %s was sent to %s by %s %.3f s after %s; answer %q",
				a.id, s.name, x.name, (a.at-since).Seconds(), event, c.answer))
		}
	}
	return found
}

// restart: lists are pushed. Three of five proxies are killed at once and come back after 2 s, each with the list that it had last; a
// server begins to drain meanwhile. Without the trouble only one of them is killed.
func restart(p *play) ([]string, error) {
	const grace = 300*time.Millisecond + graceSlack
	f, err := p.newFleet(5, 1300*time.Millisecond, 3*time.Second, lulea)
	if err != nil {
		return nil, err
	}
	killed := f.proxies[:1]
	if p.trouble {
		killed = f.proxies[:3]
	}
	began := p.now()
	for _, x := range killed {
		x.kill()
	}
	p.at(began + time.Second)
	drained := f.drain()
	p.at(began + 2*time.Second)
	for _, x := range killed {
		if err := f.startProxy(x); err != nil {
			return nil, err
		}
	}
	over := p.now() + 10*time.Second
	failed := make(chan error, len(killed))
	for _, x := range killed {
		go func() {
			_, err := x.awaitPong(30 * time.Second)
			if err == nil {
				f.open(x, 10, over, []string{"shelf-count", "belt-state", "lorry-feed", "picker-task"}, "rimfrost")
			}
			failed <- err
		}()
	}
	for range killed {
		if err := <-failed; err != nil {
			return nil, err
		}
	}
	f.clients.running.Wait()
	var breaches []string
	for _, x := range killed {
		breaches = append(breaches, f.breaches(drained, x, x.startedAt+grace, x.startedAt, "its start")...)
	}
	return breaches, nil
}

// openAll has the front send sessions to all proxies until a time.
func (f *fleet) openAll(until time.Duration, listeners []string, tenant string) {
	done := make(chan bool)
	for _, x := range f.proxies {
		go func() {
			f.open(x, 10, until, listeners, tenant)
			done <- true
		}()
	}
	for range f.proxies {
		<-done
	}
	f.clients.running.Wait()
}

// outage: discovery is down for 8 s, into the start of a release.
func outage(p *play) ([]string, error) {
	const grace = time.Second + graceSlack
	f, err := p.newFleet(6, 900*time.Millisecond, time.Second, brussel)
	if err != nil {
		return nil, err
	}
	downAt := p.now()
	backAt := downAt + 8*time.Second
	if p.trouble {
		f.discovery.setDown(true)
	}
	p.at(backAt - 2*time.Second)
	drained := f.drain()
	p.at(backAt)
	if p.trouble {
		f.discovery.setDown(false)
	}
	p.at(backAt + 6*time.Second)
	f.openAll(backAt+14*time.Second, []string{"page-feed", "widget-feed", "studio-feed"}, "noordstem")
	var breaches []string
	for _, x := range f.proxies {
		breaches = append(breaches, f.breaches(drained, x, backAt+toldIn+grace, backAt, "discovery's return")...)
	}
	return breaches, nil
}

// silence: all open watches fall silent, and a server begins to drain right after.
func silence(p *play) ([]string, error) {
	const grace = 250*time.Millisecond + graceSlack
	f, err := p.newFleet(5, time.Second, 3*time.Second, kigali)
	if err != nil {
		return nil, err
	}
	silentAt := p.now()
	if p.trouble {
		f.discovery.silence()
	}
	p.at(silentAt + 500*time.Millisecond)
	drained := f.drain()
	p.at(silentAt + 4*time.Second)
	f.openAll(silentAt+12*time.Second, []string{"balance-live", "signal-status", "outage-feed", "agent-topup"}, "imirongo")
	var breaches []string
	for _, x := range f.proxies {
		breaches = append(breaches, f.breaches(drained, x, silentAt+toldIn+grace, silentAt, "the watches fell silent")...)
	}
	return breaches, nil
}
