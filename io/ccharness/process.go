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

	"github.com/pkg/errors"
)

// Process is one plain process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	// KilledAtMs is when the process was killed, in Unix milliseconds; 0 when it was not.
	KilledAtMs int64
}

// lastHost counts the loopback IPs given out by this process.
var lastHost atomic.Int64

// FreeAddress returns an address on loopback whose IP nothing else listens on: outgoing connections
// can't take it either, as they could take a port of 127.0.0.1.
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

// startProcess starts a process whose output goes to a log file.
func (c *Cluster) startProcess(p *Process, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(c.cfg.Dir, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening a log")
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

// Signal sends a signal to the process, by its id.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signalling %s", p.Name)
}

// Kill ends the process at once, and waits for its end.
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

// PID returns the process's ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the process's own end, and returns its exit code, or -1 after a timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Eventually calls ready until it returns true. It fails with ErrTimeout after the timeout, which
// only bounds a hang: no verdict rests on how fast the machine is.
func Eventually(timeout time.Duration, what string, ready func() bool) error {
	deadline := time.Now().Add(timeout)
	for !ready() {
		if time.Now().After(deadline) {
			return errors.Wrap(ErrTimeout, what)
		}
		time.Sleep(eventuallyInterval)
	}
	return nil
}

const eventuallyInterval = 50 * time.Millisecond
