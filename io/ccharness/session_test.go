package ccharness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coriandercross/core/ccwork"
	"coriandercross/io/cccaller"
	"coriandercross/io/cccmds"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// transcript records the requests and commands of a test with their results, for comparison with a golden file.
// Addresses and folders, which differ from run to run, are replaced by fixed names.
type transcript struct {
	t       *testing.T
	c       *Cluster
	callers *Callers
	b       strings.Builder
}

func newTranscript(t *testing.T, c *Cluster) *transcript {
	return &transcript{t: t, c: c, callers: c.NewCallers()}
}

// printf adds a line to the transcript.
func (s *transcript) printf(format string, args ...any) {
	fmt.Fprintf(&s.b, format+"\n", args...)
}

// send sends a request to an entry process, and records the request and the response.
func (s *transcript) send(entry int, kind, id, body string) Response {
	r := s.callers.Send(s.c.Entries[entry], "bench", kind, id, body)
	s.printf("caller> POST %s %s %q", kind, id, body)
	s.printf("caller< %d %s %s %q", r.Status, r.Outcome, r.Reason, r.Body)
	return r
}

// runCommand runs a subcommand of coriandercross, and records its output and exit code.
func (s *transcript) runCommand(args ...string) int {
	var out, errs strings.Builder
	command := strings.Join(args, " ")
	code := cccmds.Main(args, &out, &errs)
	text := out.String() + errs.String()
	for i, e := range s.c.Entries {
		command = strings.ReplaceAll(command, e.Settings.Listen.Operators, fmt.Sprintf("OPERATORS-%d", i+1))
		command = strings.ReplaceAll(command, e.Settings.Listen.Callers, fmt.Sprintf("CALLERS-%d", i+1))
	}
	command = strings.ReplaceAll(command, s.c.cfg.Dir, "DIR")
	s.printf("$ coriandercross %s", command)
	s.printf("%s", strings.TrimRight(strings.ReplaceAll(text, s.c.cfg.Dir, "DIR"), "\n"))
	s.printf("exit %d", code)
	return code
}

// finish compares the transcript with its golden file, and checks the invariants.
func (s *transcript) finish(name string) Verdict {
	golden.Assert(s.t, s.b.String(), "session-"+name+".golden")
	return checkInvariants(s.t, s.c, s.callers.Responses())
}

func operatorAddress(c *Cluster, i int) string {
	return c.Entries[i].Settings.Listen.Operators
}

func callerAddress(c *Cluster, i int) string {
	return c.Entries[i].Settings.Listen.Callers
}

func TestSessionInteractive(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		s := newTranscript(t, c)
		s.send(0, "check", "a1", payload("a1"))
		s.send(1, "check", "a2", payload("a2"))
		s.send(2, "check", "a3", "RunMs=1&Bytes=40&Echo=a3")
		s.send(0, "huge", "a4", "")
		s.send(0, "unheard-of", "a5", "")
		s.send(0, "inspection", "a6", "")
		s.send(0, "check", "bad/id", "")
		golden.Assert(t, s.b.String(), "session-interactive.golden")
	})
}

func TestSessionNonIdempotent(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		s := newTranscript(t, c)
		s.send(0, "charge", "c1", payload("c1"))
		s.printf("# the caller retries through another process")
		s.send(1, "charge", "c1", payload("c1"))
		s.send(2, "charge", "c2", payload("c2"))
		v := s.finish("non-idempotent")
		assert.Equal(t, v.StartCounts()["bench/c1"], 1)
	})
}

func TestSessionBatch(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		s := newTranscript(t, c)
		s.runCommand("submit", "--server", callerAddress(c, 0), "--team", "coop", "--kind", "inspection", "--id", "b1", "RunMs=50&Echo=one", "RunMs=10&Echo=two", "Echo=three")
		s.runCommand("status", "--server", callerAddress(c, 1), "--team", "coop", "--wait", "60000", "b1")
		s.printf("# a repeated submission returns the same job")
		s.runCommand("submit", "--server", callerAddress(c, 2), "--team", "coop", "--kind", "inspection", "--id", "b1", "RunMs=50&Echo=one", "RunMs=10&Echo=two", "Echo=three")
		s.printf("# a different job under the same ID is refused")
		s.runCommand("submit", "--server", callerAddress(c, 2), "--team", "coop", "--kind", "inspection", "--id", "b1", "Echo=other")
		s.printf("# a task that fails on every attempt fails its job")
		s.runCommand("submit", "--server", callerAddress(c, 0), "--team", "coop", "--kind", "inspection", "--id", "b2", "Fail=1")
		s.runCommand("status", "--server", callerAddress(c, 1), "--team", "coop", "--wait", "60000", "b2")
		s.printf("# a running job is cancelled")
		s.runCommand("submit", "--server", callerAddress(c, 0), "--team", "coop", "--kind", "inspection", "--id", "b3", "RunMs=600000")
		s.runCommand("cancel", "--server", callerAddress(c, 1), "--team", "coop", "b3")
		s.runCommand("status", "--server", callerAddress(c, 2), "--team", "coop", "b3")
		s.runCommand("status", "--server", callerAddress(c, 2), "--team", "coop", "b9")
		v := s.finish("batch")
		assert.Equal(t, v.StartCounts()["coop/b1#0"], 1)
		assert.NilError(t, Eventually(eventTimeout, "cancelled task was not stopped", func() bool {
			v, err := c.CheckRecords()
			return err == nil && noneRunning(&v, "coop/b3#0")
		}))
	})
}

// noneRunning reports whether no execution of a task is still running.
func noneRunning(v *Verdict, task string) bool {
	for _, e := range v.Executions {
		if StripAttempt(e.Task) == task && e.State == ccwork.Running {
			return false
		}
	}
	return true
}

func TestSessionGang(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		s := newTranscript(t, c)
		args := []string{"submit", "--server", callerAddress(c, 0), "--team", "coop", "--kind", "panel", "--id", "g1"}
		for i := range 8 {
			args = append(args, fmt.Sprintf("RunMs=6000&Echo=%d", i))
		}
		s.runCommand(args...)
		s.runCommand("status", "--server", callerAddress(c, 1), "--team", "coop", "--wait", "60000", "g1")
		s.printf("# a gang larger than the fleet stays queued, and none of its tasks starts")
		args = []string{"submit", "--server", callerAddress(c, 0), "--team", "coop", "--kind", "panel", "--id", "g2"}
		for i := range 40 {
			args = append(args, fmt.Sprintf("RunMs=100&Echo=%d", i))
		}
		s.runCommand(args...)
		s.runCommand("status", "--server", callerAddress(c, 1), "--team", "coop", "--wait", "3000", "g2")
		s.runCommand("cancel", "--server", callerAddress(c, 1), "--team", "coop", "g2")
		v := s.finish("gang")
		var starts, ends []int64
		for _, e := range v.Executions {
			task := StripAttempt(e.Task)
			assert.Assert(t, !strings.HasPrefix(task, "coop/g2"), "a task of the gang that does not fit was started: %s", task)
			starts = append(starts, e.StartMs)
			ends = append(ends, e.EndMs)
		}
		assert.Equal(t, len(starts), 8)
		for _, at := range starts {
			for _, end := range ends {
				assert.Assert(t, at < end, "a task of the gang ended before another started")
			}
		}
	})
}

func TestSessionConfiguration(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		s := newTranscript(t, c)
		original, err := os.ReadFile("../../_fixtures/cell.yaml")
		assert.NilError(t, err)
		write := func(name, from, to string) string {
			file := filepath.Join(c.cfg.Dir, name)
			text := strings.Replace(string(original), from, to, 1)
			assert.NilError(t, os.WriteFile(file, []byte(text), 0o644))
			return file
		}
		anna := write("anna.yaml", "RetryPercent: 50", "RetryPercent: 20")
		ben := write("ben.yaml", "Urgency: 7", "Urgency: 8")
		bad := write("bad.yaml", "Class: Gang", "Klass: Gang")
		s.runCommand("check", bad)
		s.runCommand("diff", "--server", operatorAddress(c, 0), anna)
		s.runCommand("apply", "--server", operatorAddress(c, 0), "--by", "anna", "--base", "1", anna)
		s.printf("# ben edits the same revision through another process")
		s.runCommand("apply", "--server", operatorAddress(c, 1), "--by", "ben", "--base", "1", ben)
		s.runCommand("apply", "--server", operatorAddress(c, 1), "--by", "ben", "--base", "2", "--wait", "--wait-ms", "60000", ben)
		for i := range c.Entries {
			reply, err := c.Operator(i).Config()
			assert.NilError(t, err)
			assert.Equal(t, reply.Revision, uint64(3))
		}
		s.runCommand("diff", "--server", operatorAddress(c, 2), ben)
		s.finish("configuration")
	})
}

func TestSessionPlannedStop(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		s := newTranscript(t, c)
		slow := make(chan Response)
		go func() { slow <- s.callers.Send(c.Entries[0], "bench", "check", "slow", "RunMs=2500&Echo=slow") }()
		assert.NilError(t, Eventually(eventTimeout, "request did not start", func() bool {
			v, err := c.CheckRecords()
			return err == nil && v.StartCounts()["bench/slow"] == 1
		}))
		s.runCommand("drain", "--server", operatorAddress(c, 0))
		r := <-slow
		s.printf("caller< the request in progress: %d %s %q", r.Status, r.Outcome, r.Body)
		s.printf("process ended with %d", c.Entries[0].Wait(eventTimeout))
		s.send(1, "check", "after", payload("after"))
		s.finish("planned-stop")
		assert.NilError(t, Eventually(eventTimeout, "workers of the stopped process have no ready owner", func() bool { return c.ReadyWorkers() == len(c.Workers) }))
	})
}

// TestJobSurvivesItsProcesses checks that a job and all its tasks succeed although every entry process that ran at its
// submission is killed.
func TestJobSurvivesItsProcesses(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		body := &cccaller.SubmitRequest{ID: "long", Kind: "inspection"}
		for i := range 24 {
			body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: fmt.Sprintf("RunMs=1500&Echo=%d", i)})
		}
		_, err := cccaller.NewClient(callerAddress(c, 0)).Submit("coop", body)
		assert.NilError(t, err)
		// Replace each entry process by one on a new VM, the next one only when the remaining processes own all
		// workers.
		for i := range 3 {
			c.Entries[i].Kill()
			e := c.NewEntry(fmt.Sprintf("entry-%d-new", i+1), c.cfg.Domains[i%2])
			c.Entries = append(c.Entries, e)
			assert.NilError(t, c.StartEntry(e))
			assert.NilError(t, c.SetVMs(c.LiveVMs()))
			assert.NilError(t, Eventually(eventTimeout, "workers were not taken over", func() bool { return c.ReadyWorkers() == len(c.Workers) }))
		}
		j, err := cccaller.NewClient(callerAddress(c, 4)).Job("coop", "long", 60_000)
		assert.NilError(t, err)
		assert.Equal(t, string(j.State), "Succeeded")
		v := checkInvariants(t, c, nil)
		assert.Equal(t, len(v.Succeeded()), 24)
	})
}
