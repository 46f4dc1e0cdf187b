package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"chalkferry/internal/sharing"
)

type fleetCmd struct {
	Status fleetStatusCmd `cmd:"" help:"Members and counts as one proxy has heard of them, with their ages."`
}

type fleetStatusCmd struct {
	At   string        `arg:"" name:"file or address" help:"The file of serve --fleet, or the status address in it."`
	JSON bool          `name:"json" help:"As the proxy tells it."`
	Wait time.Duration `default:"2s" help:"For an answer."`
}

func (c *fleetStatusCmd) Run() error {
	at := c.At
	if _, err := netip.ParseAddrPort(at); err != nil {
		terms, err := sharing.Read(at)
		if err != nil {
			return err
		}
		if at = terms.Status(); at == "" {
			return fmt.Errorf("%s names no status address", c.At)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/", nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(ask)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if c.JSON {
		_, err := io.Copy(os.Stdout, answer.Body)
		return err
	}
	var s sharing.FlatStatus
	if err := json.NewDecoder(answer.Body).Decode(&s); err != nil {
		return fmt.Errorf("the answer from %s: %w", at, err)
	}
	fmt.Printf("member %d of %d\n", s.Me, len(s.Members))
	for _, m := range s.Members {
		if m.Known {
			fmt.Printf("member %3d  %-21s  heard of %d ms ago, process %d\n", m.Member, m.Address, m.AgeMS, m.Process)
		} else {
			fmt.Printf("member %3d  %-21s  not heard of\n", m.Member, m.Address)
		}
	}
	for _, n := range s.Counts {
		fmt.Printf("%-8s  %-24s  %8.1f held  %6d ms old  %3.0f%% of members heard\n", n.Kind, n.Name, n.Held, n.AgeMS, 100*n.Heard)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Words)) {
		fmt.Printf("words %s: %d\n", reason, s.Words[reason])
	}
	return nil
}
