package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/rs/zerolog"

	"chalkferry/internal/proxy"
	"chalkferry/internal/sharing"
)

type serveCmd struct {
	File    string `arg:"" optional:"" name:"configuration" env:"RELAY_CONFIG" help:"The configuration, a JSON file."`
	Profile string `help:"A file for a profile of the CPU, written when the proxy ends in good order."`
	Fleet   string `help:"A TOML file: report what this proxy holds to the aggregators that it names. Off without it."`
	Level   string `default:"info" enum:"debug,info,warn,error" help:"Least level of what is logged."`
}

func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" } // a trace of the log needs more than seconds

func (c *serveCmd) Run() error {
	told := make(chan os.Signal, 8) // before all else: SIGHUP would end a process that does not ask for it
	signal.Notify(told, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan struct{}) // nothing is done for a proxy that has ended; a late signal still must not kill it
	defer close(ended)
	text, err := read(c.File)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Logger()
	p, err := proxy.New(text, log)
	if err != nil {
		return err
	}
	if c.Fleet != "" { // nothing else turns it on
		config, err := sharing.ReadMember(c.Fleet)
		if err != nil {
			return err
		}
		member, err := sharing.StartMember(*config, log)
		if err != nil {
			return err
		}
		defer member.Close()
		p.Share(member.Publish)
	}
	go func() {
		for {
			var sig os.Signal
			select {
			case sig = <-told:
			case <-ended:
				return
			}
			log.Info().Stringer("signal", sig).Msg("signal")
			if sig != syscall.SIGHUP {
				p.Leave()
				continue
			}
			text, err := read(c.File)
			if err == nil {
				err = p.Reload(text)
			}
			if err != nil {
				log.Error().Err(err).Msg("the new configuration is not taken")
			}
		}
	}()
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	return p.Run()
}

func read(file string) ([]byte, error) {
	if file == "" {
		return nil, fmt.Errorf("no configuration: name a file, or set RELAY_CONFIG")
	}
	return os.ReadFile(file)
}
