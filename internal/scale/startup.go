package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// startAggregators starts the aggregators and waits until they answer.
func (r *stepRun) startAggregators(ctx context.Context) (err error) {
	if r.aggregators, err = prepareAggregators(r.plan, r.options.Program, r.folder); err != nil {
		return err
	}
	return r.aggregators.start(ctx)
}

// settle waits until the sums of all members are right, for the plan's limit at most.
func (r *stepRun) settle(ctx context.Context) (err error) {
	r.report.Filled, err = r.awaitSums(ctx, r.plan.Settle.D())
	return err
}

// startProcesses starts the discovery service and the worker processes, all without members.
func (r *stepRun) startProcesses(ctx context.Context) (err error) {
	command := append([]string{r.options.Program}, r.options.WorkerArguments...)
	list, err := startChild(command, r.folder, "list")
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.list = list
	r.mu.Unlock()
	reply, err := r.list.ask(Request{Serve: &ServeList{Servers: r.plan.Servers, Zones: r.plan.Zones}})
	if err != nil {
		return err
	}
	r.listAddress = reply.Address
	r.sizes = r.plan.splitMembers(r.hollow)
	next := 0
	for i, size := range r.sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c, err := startChild(command, r.folder, fmt.Sprintf("worker-%d", i))
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.workers = append(r.workers, c)
		r.mu.Unlock()
		r.firstMembers = append(r.firstMembers, next)
		next += size
	}
	return nil
}

// startMembers measures the empty worker processes and then starts the hollow members in them.
func (r *stepRun) startMembers(context.Context) error {
	base, err := r.measureProcesses()
	if err != nil {
		return err
	}
	specs := r.memberSpecs()
	settings, err := memberSettings(r.hollow, r.plan.Zones)
	if err != nil {
		return err
	}
	began := time.Now()
	_, err = askAll(r.workers, func(i int) Request {
		return Request{Start: &StartMembers{Members: specs[r.firstMembers[i] : r.firstMembers[i]+r.sizes[i]], Keys: r.plan.Keys, Servers: r.plan.Servers,
			Seed: r.plan.Seed, Ramp: r.plan.Ramp.D(), Discovery: r.listAddress, Revision: r.revision, Settings: settings,
			LateBound: r.plan.LateBound.D()}}
	})
	if err != nil {
		return err
	}
	r.report.StartedIn = seconds(time.Since(began))
	r.report.base = base
	return nil
}

// memberSpecs spreads the hollow members over zones and regions.
func (r *stepRun) memberSpecs() []MemberSpec {
	specs := make([]MemberSpec, r.hollow)
	for i := range specs {
		zone := r.plan.zoneOf(i)
		region := r.plan.regionOf(zone)
		specs[i] = MemberSpec{ID: i, Name: fmt.Sprintf("hollow-%d", i), Region: region, Zone: zone, Aggregators: r.aggregators.addressesIn(region)}
	}
	for _, id := range r.plan.Mute {
		specs[id].Mute = true
	}
	return specs
}

// freeAddress finds a TCP port that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startRealProxies starts the plan's real proxies.
func (r *stepRun) startRealProxies(ctx context.Context) (err error) {
	if r.plan.Real == 0 {
		return nil
	}
	var files, statuses []string
	for i := range r.plan.Real {
		status, err := freeAddress()
		if err != nil {
			return err
		}
		zone := r.plan.zoneOf(i)
		file := filepath.Join(r.folder, fmt.Sprintf("real-%d.toml", i))
		text := r.aggregators.memberFile(fmt.Sprintf("real-%d", i), r.plan.regionOf(zone), zone, status)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		files, statuses = append(files, file), append(statuses, status)
	}
	r.real, err = startRealProxies(ctx, r.options.Program, files, statuses, r.plan.Seed)
	return err
}

// memberSettings returns the JSON text of a proxy's settings, about as long as in production. Durations are in ms.
func memberSettings(members, zones int) ([]byte, error) {
	areas := make([]string, zones)
	for i := range areas {
		areas[i] = zoneName(i)
	}
	listener := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "dialTimeout": 800, "handshakeTarget": 200, "effect": effect, "utility": 1}
	}
	return json.Marshal(map[string]any{"areas": areas, "discovery": "ask", "groupSize": members, "me": 0,
		"ceilings":   map[string]any{"connectTimeout": 150, "connIdle": 10000, "mostDials": 4, "probes": true},
		"domain":     map[string]any{"mode": "proxy", "messageAim": []int{100, 100}, "tellsLoad": true},
		"invariants": map[string]any{"mustAskIn": 4000, "cold": 15000, "coldFrom": 0.2, "fallMultiple": 3, "tipAfter": 3000},
		"listeners":  []map[string]any{listener("chat", "read_like"), listener("feed", "non_idempotent")},
		"tenants":    []map[string]any{{"name": "north"}, {"name": "south"}}})
}
