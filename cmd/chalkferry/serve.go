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
	// startRetryLimit is how long calls that fail temporarily are retried during a start.
	startRetryLimit = 10 * time.Second
	// logFlushTimeout is how long the process waits at its end until the log is written. A slow reader must not delay it more.
	logFlushTimeout = 100 * time.Millisecond
)

// serveCmd runs the proxy.
type serveCmd struct {
	File    string `arg:"" optional:"" name:"configuration" env:"RELAY_CONFIG" help:"Configuration of the proxy, a JSON file."`
	Profile string `help:"Write a CPU profile to this file when the proxy exits normally."`
	Fleet   string `help:"A TOML file: report this proxy's counts to the aggregators that it names. Without it nothing is reported."`
	Level   string `default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
}

// A trace that is made from a log needs times in milliseconds; the default of zerolog has seconds.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

func (c *serveCmd) Run() error {
	signals := subscribeSignals() // first of all: until then SIGHUP would end the process
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	output := asynclog.New(os.Stdout)
	defer output.Close(logFlushTimeout)
	log := output.Logger(level)
	failures := failure.NewLog(log)
	text, err := readStartConfiguration(c.File, failures)
	if err != nil {
		return err
	}
	p, err := proxy.New(text, log)
	if err != nil {
		return err
	}
	if c.Fleet != "" { // no setting or environment variable enables sharing
		member, err := startMember(c.Fleet, log, failures)
		if err != nil {
			return err
		}
		defer member.Close()
		p.Share(member.Publish)
	}
	ctx, cancel := context.WithCancel(context.Background()) // signals are not handled after the proxy has ended
	defer cancel()
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

// readStartConfiguration reads the configuration at the start. Temporary failures are retried up to startRetryLimit.
func readStartConfiguration(file string, failures *failure.Log) (text []byte, err error) {
	err = failure.RetryFor(startRetryLimit, failure.OpenFile, failures, func() (err error) {
		text, err = readConfiguration(file)
		return err
	})
	return text, err
}

// readConfiguration reads the configuration. An empty name is an error.
func readConfiguration(file string) ([]byte, error) {
	if file == "" {
		return nil, fmt.Errorf("no configuration: name a file or set RELAY_CONFIG")
	}
	return os.ReadFile(file)
}

// startMember reads the TOML file of --fleet and starts the reports to the aggregators. Temporary failures are retried, each
// up to startRetryLimit.
func startMember(file string, log zerolog.Logger, failures *failure.Log) (member *sharing.Member, err error) {
	var config *sharing.MemberConfig
	err = failure.RetryFor(startRetryLimit, failure.OpenFile, failures, func() (err error) {
		config, err = sharing.ReadMember(file)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = failure.RetryFor(startRetryLimit, failure.Listen, failures, func() (err error) {
		member, err = sharing.StartMember(*config, log)
		return err
	})
	return member, err
}

// startProfile starts a CPU profile; stop ends it and closes the file.
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

// processSignals receives the signals of a proxy's process. Each kind has a channel of its own, so that many signals of one
// kind can't displace one of the other. A signal that arrives while its channel is full is dropped; the one that waits
// there has the same effect.
type processSignals struct {
	terminate chan os.Signal // SIGTERM and SIGINT
	reload    chan os.Signal // SIGHUP
}

// subscribeSignals starts to receive the signals.
func subscribeSignals() processSignals {
	s := processSignals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log whose reader has closed the pipe must not end the process
	return s
}

// handle acts on the signals until the context is done. Termination has a goroutine of its own, since a reload may wait
// for the event loop or for a file.
func (s processSignals) handle(ctx context.Context, p *proxy.Proxy, file string, log zerolog.Logger, failures *failure.Log) {
	go func() {
		for {
			select {
			case sig := <-s.terminate:
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
			s.reloadUntilApplied(ctx, p, file, log, failures)
		case <-ctx.Done():
			return
		}
	}
}

// reloadUntilApplied reads the configuration and applies it to the proxy. Temporary failures are retried until the context is
// done.
func (s processSignals) reloadUntilApplied(ctx context.Context, p *proxy.Proxy, file string, log zerolog.Logger,
	failures *failure.Log) {
	err := failure.Retry(ctx, failure.OpenFile, failures, func() error {
		text, err := readConfiguration(file) // for each attempt: the file may have been replaced meanwhile
		if err != nil {
			return err
		}
		return p.Reload(text)
	})
	if err != nil {
		log.Error().Err(err).Msg("the new configuration is not taken")
	}
}
