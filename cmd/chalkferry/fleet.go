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

type fleetCmd struct {
	Status fleetStatusCmd `cmd:"" help:"The sums over the fleet as a proxy or an aggregator has them, with age and error."`
}

type fleetStatusCmd struct {
	At   string        `arg:"" name:"file or address" help:"The file of serve --fleet or of aggregate, or the status address in it."`
	JSON bool          `name:"json" help:"As the process answers it."`
	Wait time.Duration `default:"2s" help:"For an answer."`
}

// maxStatusBytes is far above what a status with as many keys and members as there may be takes.
const maxStatusBytes = 1 << 30

// Run asks for the status and prints it.
func (c *fleetStatusCmd) Run() error {
	address, err := netip.ParseAddrPort(c.At)
	if err != nil {
		if address, err = sharing.ReadStatusAddress(c.At); err != nil {
			return err
		}
	}
	text, err := c.ask(address)
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

func (c *fleetStatusCmd) ask(address netip.AddrPort) (json.RawMessage, error) {
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
