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

// anyCPU is the processor of a process that is not bound to one.
const anyCPU = -1

const bytesPerMB = 1 << 20

// seedStep separates the seeds of a proxy's starts.
const seedStep = 0x9e3779b97f4a7c15

type processState int

const (
	stopped processState = iota // not started, or ended when it was asked to
	running                     // serves
	ending                      // was asked to end
	crashed                     // ended by itself, or was killed for its memory
)

// process is one real proxy, over all its starts.
type process struct {
	id       judge.ProxyID
	binary   string
	address  string
	folder   string // of its own: configuration, log, temporary files
	cpu      int    // anyCPU for any
	memoryMB int
	sockets  int
	profile  string // a file for a profile of its CPU, "" for none

	arguments []string // further ones of its command

	// changeMu is held by the fault that changes the configuration or restarts the process: several may meet at one proxy.
	changeMu sync.Mutex // guards cpu, too

	mu               sync.Mutex
	state            processState
	cmd              *exec.Cmd
	exited           chan struct{}
	config           proxyConfig
	endpoint         *list.Endpoint
	starts           int
	finishedCPU      time.Duration // used by starts that have ended
	peakRSS          uint64
	peakFDs          int
	fds              int
	rss              uint64
	cpuTime          time.Duration
	crashReasons     []string
	samplesAtFDLimit int // samples with as many descriptors as its limit
}

// writeConfig replaces the configuration file atomically.
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

// start starts the process. It takes the lock itself; starts of one proxy don't overlap.
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
	// Of a group of its own, so that Ctrl-C at the terminal is the rehearsal's alone; and gone with the rehearsal.
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
	p.cmd, p.exited, p.state = cmd, exited, running
	p.starts++
	p.mu.Unlock()
	go p.wait(cmd, exited)
	return nil
}

// limitDescriptors sets the limit of descriptors of a process.
func limitDescriptors(pid, descriptors int) error {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err == nil && own.Max < uint64(descriptors) {
		return fmt.Errorf("it is to have %d descriptors, and no more than %d can be given here (ulimit -Hn)", descriptors, own.Max)
	}
	limit := unix.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	return nil
}

// startOn starts a command bound to one processor, or to none.
func startOn(cmd *exec.Cmd, cpu int) error {
	if cpu == anyCPU {
		return cmd.Start()
	}
	return affinity.StartOn(cmd, cpu)
}

// endGroup waits for a process to end, and kills what is left of its group: the child of a wrapper does not end with it. The id of
// the ended process is not given to another one before that is waited for again.
func endGroup(leader int) {
	var info unix.Siginfo
	for unix.Waitid(unix.P_PID, leader, &info, unix.WEXITED|unix.WNOWAIT, nil) == unix.EINTR {
	}
	unix.Kill(-leader, unix.SIGKILL) // nothing may be left
}

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

// signal sends a signal, which ends the process or does not. One that does not run is left as it is.
func (p *process) signal(sig syscall.Signal, terminates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != running && p.state != ending {
		return
	}
	if terminates {
		p.state = ending
	}
	p.cmd.Process.Signal(sig) // it may have ended just now
}

// kill ends it at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.waitExit(context.Background())
}

// waitExit waits for the process to end.
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

// hasCrashed reports whether it ended by itself, or was killed for its memory.
func (p *process) hasCrashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == crashed
}

func (p *process) logFile() string { return filepath.Join(p.folder, "log") }

// maxLogTail bounds what is quoted of a log, in bytes.
const maxLogTail = 300

// logTail is the end of the proxy's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.logFile())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogTail):])
}

// isDown reports whether it is dead or leaving.
func (p *process) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != running
}

// sample reads what the process uses, and kills it over its memory as the platform does.
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
		return // it has just ended
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
		p.crashReasons = append(p.crashReasons, fmt.Sprintf("killed: it used %d MB of %d", status.VmRSS/bytesPerMB, p.memoryMB))
	}
	p.mu.Unlock()
	if overLimit {
		p.cmd.Process.Kill()
	}
}

// freeAddress finds a free port of an address.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
