package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case: its clock, its record and its processes.
type play struct {
	began   time.Time
	scratch string // a folder for configurations and logs
	trouble bool   // the disruption takes place

	mu        sync.Mutex
	record    *os.File
	processes []*proxy
}

// now is the time since the play began.
func (p *play) now() time.Duration { return time.Since(p.began) }

// at waits until a time since the play began.
func (p *play) at(t time.Duration) { time.Sleep(t - p.now()) }

// logf writes a line with the time to the record.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f "+format+"\n", append([]any{p.now().Seconds()}, args...)...)
}

// deployRun returns the run command of the deploy file.
func deployRun() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) != "run" {
			continue
		}
		parts := strings.SplitN(value, `"`, 3)
		if len(parts) == 3 {
			return parts[1], nil
		}
	}
	return "", fmt.Errorf("the deploy file has no run command")
}

// proxy is one real proxy as the platform sees it: a name, an address, a configuration file, and a process.
type proxy struct {
	play    *play
	name    string
	address string
	file    string
	config  map[string]any

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	startedAt time.Duration // just before the latest start
}

// newProxy prepares a proxy at a free loopback address.
func (p *play) newProxy(name string, config map[string]any) (*proxy, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config["name"], config["listen"] = name, address
	x := &proxy{play: p, name: name, address: address, file: filepath.Join(p.scratch, name+".json"), config: config}
	p.mu.Lock()
	p.processes = append(p.processes, x)
	p.mu.Unlock()
	return x, x.writeConfig()
}

// writeConfig writes the configuration file, in one step.
func (x *proxy) writeConfig() error {
	text, err := json.MarshalIndent(x.config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(x.file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(x.file+".new", x.file)
}

// start starts the process with the run command of the deploy file.
func (x *proxy) start() error {
	run, err := deployRun()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(x.play.scratch, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", run)
	command.Env = append(os.Environ(), "RELAY_NAME="+x.name, "RELAY_LISTEN="+x.address, "RELAY_CONFIG="+x.file,
		"RELAY_DISCOVERY="+fmt.Sprint(x.config["discovery"]))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.startedAt = x.play.now()
	if err := command.Start(); err != nil {
		return err
	}
	x.command = command
	exited := make(chan struct{})
	x.exited = exited
	go func() {
		command.Wait()
		x.play.logf("%s: its process has ended, %v", x.name, command.ProcessState)
		close(exited)
	}()
	x.play.logf("%s: started at %s", x.name, x.address)
	return nil
}

// signal sends a signal to the process.
func (x *proxy) signal(s syscall.Signal) {
	x.play.logf("%s: %v", x.name, s)
	x.command.Process.Signal(s)
}

// kill ends the process outright and waits for its end.
func (x *proxy) kill() {
	x.signal(syscall.SIGKILL)
	<-x.exited
}

// awaitPong waits as the front does until the proxy has answered PING, and returns when it did.
func (x *proxy) awaitPong(patience time.Duration) (time.Duration, error) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if conn, err := net.DialTimeout("tcp", x.address, time.Second); err == nil {
			conn.SetDeadline(deadline)
			fmt.Fprint(conn, "PING\r\n")
			answer, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if answer == "PONG\r\n" {
				x.play.logf("%s: PONG", x.name)
				return x.play.now(), nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("%s has not answered PING within %v", x.name, patience)
}

// endProcesses kills all processes that are left, and waits for their end.
func (p *play) endProcesses() {
	p.mu.Lock()
	processes := p.processes
	p.mu.Unlock()
	for _, x := range processes {
		x.mu.Lock()
		if x.command != nil {
			syscall.Kill(-x.command.Process.Pid, syscall.SIGKILL)
			<-x.exited
		}
		x.mu.Unlock()
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" { // for a look at the proxies' own logs
		files, _ := filepath.Glob(filepath.Join(p.scratch, "*"))
		for _, file := range files {
			if text, err := os.ReadFile(file); err == nil {
				os.WriteFile(filepath.Join(folder, filepath.Base(file)), text, 0o600)
			}
		}
	}
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
