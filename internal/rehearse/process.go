package rehearse

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"chalkferry/internal/affinity"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/list"
)

// anyCPU stands for the processor of a process that is not bound to one.
const anyCPU = -1

const bytesPerMB = 1 << 20

// seedStep is the distance between the seeds of successive starts of a proxy, so that each start draws anew.
const seedStep = 0x9e3779b97f4a7c15

// processState is the state of a proxy process.
type processState int

const (
	stopped processState = iota // not started, or ended on request
	running                     // started, and not asked to end
	ending                      // asked to end
	crashed                     // ended without request, or was killed for its memory usage
)

// proxyName returns the name of a proxy in reports, logs and its configuration.
func proxyName(id judge.ProxyID) string { return fmt.Sprintf("n%d", id) }

// process is one proxy under test, over all its starts.
type process struct {
	id       judge.ProxyID
	binary   string
	address  string
	folder   string // of its own: configuration, log, temporary files
	cpu      int    // processor that it is bound to, or anyCPU
	memoryMB int    // limit of resident memory in MiB
	sockets  int    // limit of file descriptors
	profile  string // file for its CPU profile, "" for none

	arguments []string // additional arguments of its command

	// changeMu is held while a fault changes the configuration or restarts the process, as faults may overlap at one proxy.
	changeMu sync.Mutex // also guards cpu

	mu               sync.Mutex
	state            processState
	listens          bool // since its latest start
	cmd              *exec.Cmd
	exited           chan struct{}
	config           proxyConfig
	endpoint         *list.Endpoint // of discovery
	starts           int
	finishedCPU      time.Duration // CPU time of ended processes
	peakRSS          uint64        // bytes
	peakFDs          int
	fds              int           // open file descriptors at the last sample
	rss              uint64        // bytes at the last sample
	cpuTime          time.Duration // of the present process at the last sample
	crashReasons     []string
	samplesAtFDLimit int // samples in which it had reached its limit of descriptors
}

// writeConfig replaces the configuration file atomically and returns its path.
func (p *process) writeConfig() (string, error) {
	text, err := json.Marshal(p.config)
	if err != nil {
		return "", err
	}
	file := filepath.Join(p.folder, "config.json")
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return "", err
	}
	return file, os.Rename(file+".new", file)
}

// start starts the process. The caller must not hold p.mu, and must not start one proxy twice at a time.
func (p *process) start() error {
	p.config.Seed = fmt.Sprintf("%016x", uint64(p.starts)*seedStep+uint64(p.id)+1)
	file, err := p.writeConfig()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"serve", file}
	if p.profile != "" {
		args = append(args, "--profile", p.profile)
	}
	cmd := exec.Command(p.binary, append(args, p.arguments...)...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+file, "TMPDIR="+p.folder)
	cmd.Stdout, cmd.Stderr = log, log
	// A process group of its own, so that Ctrl-C in the terminal reaches only the rehearsal. Pdeathsig kills the proxy when
	// the rehearsal dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := startOn(cmd, p.cpu); err != nil {
		return fmt.Errorf("%s: %w", p.binary, err)
	}
	if err := limitDescriptors(cmd.Process.Pid, p.sockets); err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.state, p.listens = cmd, exited, running, false
	p.starts++
	p.mu.Unlock()
	go p.wait(cmd, exited)
	return nil
}

// limitDescriptors sets a process's limit of file descriptors.
func limitDescriptors(pid, descriptors int) error {
	var ownLimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &ownLimit); err == nil && ownLimit.Max < uint64(descriptors) {
		return fmt.Errorf("can't set a limit of %d descriptors: the hard limit here is %d (ulimit -Hn)", descriptors, ownLimit.Max)
	}
	limit := unix.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	return nil
}

// startOn starts a command, bound to one processor unless that is anyCPU.
func startOn(cmd *exec.Cmd, cpu int) error {
	if cpu == anyCPU {
		return cmd.Start()
	}
	return affinity.StartOn(cmd, cpu)
}

// endGroup waits for a process to end, and kills the rest of its process group: if the process is a wrapper script, its
// child would go on. The ended process stays a zombie (WNOWAIT), so its id can't be reused before the group is killed.
func endGroup(leader int) {
	var info unix.Siginfo
	for unix.Waitid(unix.P_PID, leader, &info, unix.WEXITED|unix.WNOWAIT, nil) == unix.EINTR {
	}
	unix.Kill(-leader, unix.SIGKILL) // fails if nothing is left of the group
}

// wait waits for the process to end, and records its usage and how it ended.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	endGroup(cmd.Process.Pid)
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishedCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if rusage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		p.peakRSS = max(p.peakRSS, uint64(rusage.Maxrss)<<10)
	}
	p.cpuTime, p.fds, p.rss = 0, 0, 0
	if p.state == running {
		p.state = crashed
		reason := "it ended by itself"
		if err != nil {
			reason = err.Error()
		}
		p.crashReasons = append(p.crashReasons, reason)
	} else if p.state == ending {
		p.state = stopped
	}
	close(exited)
}

// signal sends a signal to the process if it runs; terminates says that the signal asks it to end.
func (p *process) signal(sig syscall.Signal, terminates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != running && p.state != ending {
		return
	}
	if terminates {
		p.state = ending
	}
	p.cmd.Process.Signal(sig) // fails if it has just ended
}

// listenPollInterval is the pause between two attempts to connect to a proxy that is starting.
const listenPollInterval = 10 * time.Millisecond

// hangUp sends SIGHUP. To a process that is starting it sends it once that listens, as before it handles signals SIGHUP ends it.
func (p *process) hangUp() {
	if p.waitUntilListening() {
		p.signal(syscall.SIGHUP, false)
	}
}

// waitUntilListening waits until the process accepts connections, and returns false if it ends first, or not within maxStartTime.
func (p *process) waitUntilListening() bool {
	p.mu.Lock()
	listens, exited := p.listens, p.exited
	p.mu.Unlock()
	for deadline := time.Now().Add(maxStartTime); !listens; {
		conn, err := net.DialTimeout("tcp", p.address, listenPollInterval)
		if err == nil {
			conn.Close()
			break
		}
		select {
		case <-exited:
			return false
		case <-time.After(listenPollInterval):
		}
		if time.Now().After(deadline) {
			return false
		}
	}
	p.setListening()
	return true
}

// setListening records that the process accepts connections.
func (p *process) setListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listens = true
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.waitExit(context.Background())
}

// waitExit waits until the process or the context ends.
func (p *process) waitExit(ctx context.Context) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-ctx.Done():
	}
}

// hasCrashed reports whether the process ended without request, or was killed for its memory usage.
func (p *process) hasCrashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == crashed
}

func (p *process) logFile() string { return filepath.Join(p.folder, "log") }

// maxLogTail is the number of bytes of a log that are quoted in an error.
const maxLogTail = 300

// logTail returns the end of the proxy's log, or the error of reading it.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.logFile())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogTail):])
}

// isDown reports whether the process is not running or was asked to end.
func (p *process) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != running
}

// sample measures the process's resource usage, and kills the process if it exceeds its memory limit, as the platform does.
func (p *process) sample() {
	p.mu.Lock()
	if p.state != running && p.state != ending {
		p.mu.Unlock()
		return
	}
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return // the process has just ended
	}
	status, err := proc.NewStatus()
	if err != nil {
		return
	}
	fds, err := proc.FileDescriptorsLen()
	if err != nil {
		return
	}
	stat, err := proc.Stat()
	if err != nil {
		return
	}
	p.mu.Lock()
	p.rss, p.peakRSS = status.VmRSS, max(p.peakRSS, status.VmHWM)
	p.fds, p.peakFDs = fds, max(p.peakFDs, fds)
	if fds >= p.sockets {
		p.samplesAtFDLimit++
	}
	p.cpuTime = time.Duration(stat.CPUTime() * float64(time.Second))
	overLimit := status.VmRSS > uint64(p.memoryMB)*bytesPerMB
	if overLimit && p.state == running {
		p.state = crashed
		p.crashReasons = append(p.crashReasons, fmt.Sprintf("killed: it used %d MB, its limit is %d", status.VmRSS/bytesPerMB, p.memoryMB))
	}
	p.mu.Unlock()
	if overLimit {
		p.cmd.Process.Kill()
	}
}

// freeAddress returns an address with a free port of an IP address.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
