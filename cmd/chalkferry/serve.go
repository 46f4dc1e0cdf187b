package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/asynclog"
	"chalkferry/internal/failure"
	"chalkferry/internal/proxy"
	"chalkferry/internal/sharing"
)

const (
	// startPatience is how long a start goes on trying calls that fail for a moment.
	startPatience = 10 * time.Second
	// logPatience is how long the end of the process waits for the log's reader.
	logPatience = 100 * time.Millisecond
)

type serveCmd struct {
	File    string `arg:"" optional:"" name:"configuration" env:"RELAY_CONFIG" help:"The configuration, a JSON file."`
	Profile string `help:"A file for a profile of the CPU, written when the proxy ends in good order."`
	Fleet   string `help:"A TOML file: report what this proxy holds to the aggregators that it names. Off without it."`
	Level   string `default:"info" enum:"debug,info,warn,error" help:"Least level of what is logged."`
}

func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" } // a trace of the log needs more than seconds

func (c *serveCmd) Run() error {
	signals := notifySignals() // before all else: SIGHUP would end a process that does not ask for it
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	output := asynclog.New(os.Stdout)
	defer output.Close(logPatience)
	log := output.Logger(level)
	failures := failure.NewLog(log)
	text, err := readStart(c.File, failures)
	if err != nil {
		return err
	}
	p, err := proxy.New(text, log)
	if err != nil {
		return err
	}
	if c.Fleet != "" { // nothing else turns it on
		member, err := startMember(c.Fleet, log, failures)
		if err != nil {
			return err
		}
		defer member.Close()
		p.Share(member.Publish)
	}
	ctx, end := context.WithCancel(context.Background()) // nothing is done for a proxy that has ended
	defer end()
	go signals.handle(ctx, p, c.File, log, failures)
	if c.Profile != "" {
		stop, err := startProfile(c.Profile)
		if err != nil {
			return err
		}
		defer stop()
	}
	return p.Run()
}

// readStart reads the configuration at the start, for a while if that fails for a moment.
func readStart(file string, failures *failure.Log) (text []byte, err error) {
	err = failure.RetryFor(startPatience, failure.OpenFile, failures, func() (err error) {
		text, err = readConfiguration(file)
		return err
	})
	return text, err
}

func readConfiguration(file string) ([]byte, error) {
	if file == "" {
		return nil, fmt.Errorf("no configuration: name a file, or set RELAY_CONFIG")
	}
	return os.ReadFile(file)
}

func startMember(file string, log zerolog.Logger, failures *failure.Log) (member *sharing.Member, err error) {
	var config *sharing.MemberConfig
	err = failure.RetryFor(startPatience, failure.OpenFile, failures, func() (err error) {
		config, err = sharing.ReadMember(file)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = failure.RetryFor(startPatience, failure.Listen, failures, func() (err error) {
		member, err = sharing.StartMember(*config, log)
		return err
	})
	return member, err
}

// startProfile begins a profile of the CPU, which stop ends.
func startProfile(name string) (stop func(), err error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}

// processSignals are the signals of a proxy's process. Each kind has a channel of its own, so that no number of one drops
// the other. One that finds its channel full is covered by the one that waits there.
type processSignals struct {
	leave  chan os.Signal
	reload chan os.Signal
}

func notifySignals() processSignals {
	s := processSignals{leave: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // of a log whose reader has gone
	return s
}

// handle carries the signals out until the context is done. A reload may wait for the event loop, or for a file; leaving
// waits for neither.
func (s processSignals) handle(ctx context.Context, p *proxy.Proxy, file string, log zerolog.Logger, failures *failure.Log) {
	go func() {
		for {
			select {
			case sig := <-s.leave:
				log.Info().Stringer("signal", sig).Msg("signal")
				p.Leave()
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case sig := <-s.reload:
			log.Info().Stringer("signal", sig).Msg("signal")
			s.reloadUntilTaken(ctx, p, file, log, failures)
		case <-ctx.Done():
			return
		}
	}
}

// reloadUntilTaken reads the configuration and has the proxy take it, again and again while that fails for a moment.
func (s processSignals) reloadUntilTaken(ctx context.Context, p *proxy.Proxy, file string, log zerolog.Logger,
	failures *failure.Log) {
	err := failure.Retry(ctx, failure.OpenFile, failures, func() error {
		text, err := readConfiguration(file) // anew each time: it may have been replaced meanwhile
		if err != nil {
			return err
		}
		return p.Reload(text)
	})
	if err != nil {
		log.Error().Err(err).Msg("the new configuration is not taken")
	}
}
