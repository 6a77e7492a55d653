package ccharness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is an operating system process. It can be started more than once.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	// done is closed when the process has exited.
	done chan struct{}
	// KilledAtMs is the time at which Kill ended the process, in Unix milliseconds, or 0.
	KilledAtMs int64
}

// lastHost is the number of loopback IPs that FreeAddress has tried.
var lastHost atomic.Int64

// FreeAddress returns an IP:PORT on loopback that is free to listen on. Each call returns another IP, and the port is
// not one that the kernel gives to outgoing connections: a free port of 127.0.0.1 could be taken by an outgoing
// connection before it is used. The second byte of the IP depends on the process ID, so that two test processes that run
// at the same time seldom try the same addresses.
func FreeAddress() string {
	for {
		n := int(lastHost.Add(1))
		block := 2 + os.Getpid()%blocks
		address := fmt.Sprintf("127.%d.%d.%d:%d", block, n/hosts%hosts+1, n%hosts+1, listenPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
}

// startProcess starts a process. Its output is appended to the log file NAME.log.
func (c *Cluster) startProcess(p *Process, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(c.cfg.Dir, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the log file")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "starting %s", p.Name)
	}
	p.cmd = cmd
	p.log = log
	p.KilledAtMs = 0
	p.done = make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signalling %s", p.Name)
}

// Kill kills the process with SIGKILL and waits until it has exited. It does nothing if the process does not run.
func (p *Process) Kill() {
	if p == nil || p.cmd == nil || p.Exited() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
	p.KilledAtMs = time.Now().UnixMilli()
	_ = p.log.Close()
}

// PID returns the ID that the operating system gave to the process. The process must have been started.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Exited reports whether the process has exited. It returns false for a process that was not started.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits until the process exits and returns its exit code, or -1 after a timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Eventually calls condition until it returns true. After the timeout it returns ErrTimeout, wrapped with the text
// problem. The timeout only ends a test that hangs; choose it so long that the speed of the machine doesn't decide the
// result.
func Eventually(timeout time.Duration, problem string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Wrap(ErrTimeout, problem)
		}
		time.Sleep(eventuallyInterval)
	}
	return nil
}

const eventuallyInterval = 50 * time.Millisecond
