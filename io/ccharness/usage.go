package ccharness

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the most that a process has used.
type Usage struct {
	// MemoryKB is the resident memory in KB.
	MemoryKB int64
	// UnreadBytes are bytes that the kernel has received on the process's connections and that it has not read.
	UnreadBytes int64
	// Sockets is the number of sockets and pipes.
	Sockets int
}

// Watched is a process whose usage is sampled.
type Watched struct {
	Name string
	PID  int
	// Addresses are those on which the process listens.
	Addresses []string
}

// usageInterval is the time between two samples. The kernel itself keeps the peak of the memory.
const usageInterval = 20 * time.Millisecond

// WatchUsage samples processes until the function that it returns is called, which returns their usage by name.
func WatchUsage(processes []Watched) (stop func() map[string]*Usage) {
	out := map[string]*Usage{}
	for _, p := range processes {
		out[p.Name] = &Usage{}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			sampleUsage(processes, out)
			select {
			case <-quit:
				return
			case <-time.After(usageInterval):
			}
		}
	}()
	return func() map[string]*Usage {
		close(quit)
		<-done
		return out
	}
}

// sampleUsage adds one sample. What can't be read, as of a process that has ended, is left out.
func sampleUsage(processes []Watched, out map[string]*Usage) {
	unread := unreadBytes()
	for _, p := range processes {
		u := out[p.Name]
		if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID)); err == nil {
			u.MemoryKB = max(u.MemoryKB, statusField(data, "VmHWM:"))
		}
		u.Sockets = max(u.Sockets, countSockets(p.PID))
		var n int64
		for _, address := range p.Addresses {
			n += unread[address]
		}
		u.UnreadBytes = max(u.UnreadBytes, n)
	}
}

// statusField returns a number of a process's status file, 0 if there is none.
func statusField(data []byte, name string) int64 {
	for line := range bytes.Lines(data) {
		if f := strings.Fields(string(line)); len(f) > 1 && f[0] == name {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n
		}
	}
	return 0
}

// countSockets returns the number of sockets and pipes that a process has open.
func countSockets(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		target, err := os.Readlink(dir + "/" + e.Name())
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}

// unreadBytes returns, by local address, the bytes that the kernel has received on connections and that were not read.
func unreadBytes() map[string]int64 {
	const listen = "0A"
	out := map[string]int64{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil && n > 0 {
			out[socketAddress(fields[1])] += n
		}
	}
	return out
}

// socketAddress converts an address of /proc/net/tcp, whose IP is in the byte order of the machine, to IP:PORT. All
// machines on which the tests run are little-endian.
func socketAddress(hex string) string {
	ip, port, _ := strings.Cut(hex, ":")
	n, _ := strconv.ParseUint(ip, 16, 32)
	p, _ := strconv.ParseUint(port, 16, 16)
	return net.JoinHostPort(net.IPv4(byte(n), byte(n>>8), byte(n>>16), byte(n>>24)).String(), strconv.FormatUint(p, 10))
}
