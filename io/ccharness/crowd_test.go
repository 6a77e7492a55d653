package ccharness

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"coriandercross/core/ccwork"
	"coriandercross/io/ccsettings"

	"gotest.tools/v3/assert"
)

const (
	// crowdMemoryMB is the target for the memory of a process, crowdSockets the bound of its descriptors in the test.
	crowdMemoryMB = 128
	crowdSockets  = 500
	crowdSize     = 600
	// crowdBodyBytes is the size limit of a request body, the default of MaxBodyKB.
	crowdBodyBytes = 1 << 20
)

// TestCrowdOnOwnDeployment is TestCrowd of platform/ccsoak for the product's own deployment.
func TestCrowdOnOwnDeployment(t *testing.T) {
	callers := func(e *Entry) string { return e.Settings.Listen.Callers }
	operators := func(e *Entry) string { return e.Settings.Listen.Operators }
	peers := func(e *Entry) string { return e.Settings.Listen.Peers }
	request := func(n, bytes int) string {
		return fmt.Sprintf("POST /v1/teams/bench/kinds/check/requests HTTP/1.1\r\nHost: x\r\nRequest-Id: crowd-%d\r\n%s\r\n\r\n", n, ContentLength(bytes))
	}
	tests := map[string]struct {
		address func(e *Entry) string
		send    func(c net.Conn, n int)
	}{
		"BodiesStoppedShort": {callers, func(c net.Conn, n int) {
			SendAll(c, request(n, crowdBodyBytes)+strings.Repeat("x", crowdBodyBytes-1))
		}},
		"WholeJobsOfManyTasks": {callers, func(c net.Conn, n int) {
			body := fmt.Sprintf(`{"ID":"crowd-%d","Kind":"check","Tasks":[`, n) + strings.Repeat("{},", crowdBodyBytes/3-100) + `{}]}`
			SendAll(c, "POST /v1/teams/bench/jobs HTTP/1.1\r\nHost: x\r\n"+ContentLength(len(body))+"\r\n\r\n"+body)
		}},
		"SilentConnections": {callers, func(net.Conn, int) {}},
		"EditsStoppedShort": {operators, func(c net.Conn, _ int) {
			SendAll(c, "PUT /v1/config HTTP/1.1\r\nHost: x\r\n"+ContentLength(crowdBodyBytes)+"\r\n\r\n{"+strings.Repeat(" ", crowdBodyBytes-2))
		}},
		"WholeEditsOfManyTeams": {operators, func(c net.Conn, _ int) {
			body := strings.Builder{}
			body.WriteString(`{"By":"x","Base":0,"Document":{"Teams":{`)
			for i := 0; body.Len() < crowdBodyBytes-100; i++ {
				fmt.Fprintf(&body, `"%x":{},`, i)
			}
			body.WriteString(`"x":{}}}}`)
			SendAll(c, "PUT /v1/config HTTP/1.1\r\nHost: x\r\n"+ContentLength(body.Len())+"\r\n\r\n"+body.String())
		}},
		"PeerConnections": {peers, func(net.Conn, int) {}},
	}
	program := filepath.Join(t.TempDir(), "coriandercross")
	out, err := exec.Command("go", "build", "-o", program, "coriandercross/cmd/coriandercross").CombinedOutput()
	assert.NilError(t, err, string(out))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t)
			cfg.Program = program
			cfg.Settings = func(s *ccsettings.Settings) {
				s.Timing.VMListMs = 300
				s.Limits.RequestMemoryMB, s.Limits.MaxConnections = crowdMemoryMB/4, crowdSockets/2
			}
			withCluster(t, cfg, func(c *Cluster) {
				e := c.Entries[0]
				var watched []Watched
				for _, e := range c.Entries {
					l := e.Settings.Listen
					watched = append(watched, Watched{Name: e.Name, PID: e.PID(), Addresses: []string{l.Callers, l.Operators, l.Peers}})
				}
				stop := WatchUsage(watched)
				leave := Crowd{Address: test.address(e), Size: crowdSize, Send: test.send}.Connect()
				checkOrdinaryRequest(t, c, e, "beside")
				leave()
				checkOrdinaryRequest(t, c, e, "after")
				for _, e := range c.Entries {
					assert.Check(t, !e.Exited(), "%s has ended", e.Name)
				}
				for name, u := range stop() {
					t.Logf("%s: memory %d MB, unread %d MB, sockets %d", name, u.MemoryKB>>10, u.UnreadBytes>>20, u.Sockets)
					assert.Check(t, u.MemoryKB<<10+u.UnreadBytes <= crowdMemoryMB<<20, "%s: memory %d KB, unread %d bytes", name, u.MemoryKB, u.UnreadBytes)
					assert.Check(t, u.Sockets <= crowdSockets, "%s: %d sockets", name, u.Sockets)
				}
			})
		})
	}
}

// checkOrdinaryRequest sends a request to an entry process, with retries like an ordinary caller, and checks that it ran.
func checkOrdinaryRequest(t *testing.T, c *Cluster, e *Entry, id string) {
	t.Helper()
	callers := c.NewCallers()
	assert.Check(t, Eventually(eventTimeout, "an ordinary request was not served", func() bool {
		return callers.Send(e, "bench", "check", id, payload(id)).Outcome == ccwork.Ran
	}))
}
