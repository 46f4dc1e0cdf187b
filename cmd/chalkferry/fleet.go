package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"chalkferry/internal/sharing"
)

// fleetCmd groups the commands that query a running fleet.
type fleetCmd struct {
	Status fleetStatusCmd `cmd:"" help:"Print the sums over the fleet that a proxy or an aggregator holds, with age and error."`
}

// fleetStatusCmd prints the status of a proxy or an aggregator.
type fleetStatusCmd struct {
	Target string        `arg:"" name:"file or address" help:"The TOML file of serve --fleet or of aggregate, or the status address that it sets."`
	JSON   bool          `name:"json" help:"Print the JSON answer of the process unchanged."`
	Wait   time.Duration `default:"2s" help:"Timeout of the request."`
}

// maxStatusBytes limits the answer. It is far above the size of a status with the most keys and members that are allowed.
const maxStatusBytes = 1 << 30

// Run requests the status and prints it.
func (c *fleetStatusCmd) Run() error {
	address, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		if address, err = sharing.ReadStatusAddress(c.Target); err != nil {
			return err
		}
	}
	text, err := c.fetchStatus(address)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	if err := sharing.WriteStatus(os.Stdout, text); err != nil {
		return fmt.Errorf("the answer from %s: %w", address, err)
	}
	return nil
}

// fetchStatus requests the status in JSON.
func (c *fleetStatusCmd) fetchStatus(address netip.AddrPort) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/", nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	return io.ReadAll(io.LimitReader(answer.Body, maxStatusBytes))
}
