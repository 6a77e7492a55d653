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

// transcript is what callers and operators sent and saw, without what differs from run to run.
type transcript struct {
	t *testing.T
	c *Cluster
	l *Callers
	b strings.Builder
}

func newTranscript(t *testing.T, c *Cluster) *transcript {
	return &transcript{t: t, c: c, l: c.NewCallers()}
}

// note adds a line.
func (s *transcript) note(format string, args ...any) {
	fmt.Fprintf(&s.b, format+"\n", args...)
}

// send sends a request through an entry process and notes the answer.
func (s *transcript) send(entry int, kind, id, body string) Answer {
	a := s.l.Send(s.c.Entries[entry], "bench", kind, id, body)
	s.note("caller> POST %s %s %q", kind, id, body)
	s.note("caller< %d %s %s %q", a.Status, a.Outcome, a.Reason, a.Body)
	return a
}

// cli runs a command of the program and notes what it printed.
func (s *transcript) cli(args ...string) int {
	var out, errs strings.Builder
	shown := strings.Join(args, " ")
	code := cccmds.Main(args, &out, &errs)
	text := out.String() + errs.String()
	for i, e := range s.c.Entries {
		shown = strings.ReplaceAll(shown, e.Settings.Listen.Operators, fmt.Sprintf("OPERATORS-%d", i+1))
		shown = strings.ReplaceAll(shown, e.Settings.Listen.Callers, fmt.Sprintf("CALLERS-%d", i+1))
	}
	shown = strings.ReplaceAll(shown, s.c.cfg.Dir, "DIR")
	s.note("$ coriandercross %s", shown)
	s.note("%s", strings.TrimRight(strings.ReplaceAll(text, s.c.cfg.Dir, "DIR"), "\n"))
	s.note("exit %d", code)
	return code
}

// done compares the transcript with its golden file, and the records with the promises.
func (s *transcript) done(name string) Verdict {
	golden.Assert(s.t, s.b.String(), "session-"+name+".golden")
	return judge(s.t, s.c, s.l.Answers())
}

func operators(c *Cluster, i int) string {
	return c.Entries[i].Settings.Listen.Operators
}

func callers(c *Cluster, i int) string {
	return c.Entries[i].Settings.Listen.Callers
}

func TestSessionInteractive(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
		s := newTranscript(t, c)
		s.send(0, "check", "a1", script("a1"))
		s.send(1, "check", "a2", script("a2"))
		s.send(2, "check", "a3", "RunMs=1&Bytes=40&Echo=a3")
		s.send(0, "huge", "a4", "")
		s.send(0, "unheard-of", "a5", "")
		s.send(0, "inspection", "a6", "")
		s.send(0, "check", "bad/id", "")
		golden.Assert(t, s.b.String(), "session-interactive.golden")
	})
}

func TestSessionNonIdempotent(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
		s := newTranscript(t, c)
		s.send(0, "charge", "c1", script("c1"))
		s.note("# the caller repeats it through another process")
		s.send(1, "charge", "c1", script("c1"))
		s.send(2, "charge", "c2", script("c2"))
		v := s.done("non-idempotent")
		assert.Equal(t, v.Runs()["bench/c1"], 1)
	})
}

func TestSessionBatch(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
		s := newTranscript(t, c)
		s.cli("submit", "--server", callers(c, 0), "--team", "coop", "--kind", "inspection", "--id", "b1", "RunMs=50&Echo=one", "RunMs=10&Echo=two", "Echo=three")
		s.cli("status", "--server", callers(c, 1), "--team", "coop", "--wait", "60000", "b1")
		s.note("# a repeat is the same job")
		s.cli("submit", "--server", callers(c, 2), "--team", "coop", "--kind", "inspection", "--id", "b1", "RunMs=50&Echo=one", "RunMs=10&Echo=two", "Echo=three")
		s.note("# other work under the same ID is refused")
		s.cli("submit", "--server", callers(c, 2), "--team", "coop", "--kind", "inspection", "--id", "b1", "Echo=other")
		s.note("# a task that fails everywhere ends its job")
		s.cli("submit", "--server", callers(c, 0), "--team", "coop", "--kind", "inspection", "--id", "b2", "Fail=1")
		s.cli("status", "--server", callers(c, 1), "--team", "coop", "--wait", "60000", "b2")
		s.note("# a job is withdrawn while it runs")
		s.cli("submit", "--server", callers(c, 0), "--team", "coop", "--kind", "inspection", "--id", "b3", "RunMs=600000")
		s.cli("cancel", "--server", callers(c, 1), "--team", "coop", "b3")
		s.cli("status", "--server", callers(c, 2), "--team", "coop", "b3")
		s.cli("status", "--server", callers(c, 2), "--team", "coop", "b9")
		v := s.done("batch")
		assert.Equal(t, v.Runs()["coop/b1#0"], 1)
		assert.NilError(t, Eventually(patience, "cancelled task was not stopped", func() bool {
			v, err := c.Judge()
			return err == nil && stoppedAll(&v, "coop/b3#0")
		}))
	})
}

// stoppedAll reports whether no run of a work goes on.
func stoppedAll(v *Verdict, work string) bool {
	for _, i := range v.Intervals {
		if WorkOf(i.Task) == work && i.State == ccwork.Running {
			return false
		}
	}
	return true
}

func TestSessionGang(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
		s := newTranscript(t, c)
		args := []string{"submit", "--server", callers(c, 0), "--team", "coop", "--kind", "panel", "--id", "g1"}
		for i := range 8 {
			args = append(args, fmt.Sprintf("RunMs=6000&Echo=%d", i))
		}
		s.cli(args...)
		s.cli("status", "--server", callers(c, 1), "--team", "coop", "--wait", "60000", "g1")
		s.note("# a gang larger than the fleet waits and starts no part")
		args = []string{"submit", "--server", callers(c, 0), "--team", "coop", "--kind", "panel", "--id", "g2"}
		for i := range 40 {
			args = append(args, fmt.Sprintf("RunMs=100&Echo=%d", i))
		}
		s.cli(args...)
		s.cli("status", "--server", callers(c, 1), "--team", "coop", "--wait", "3000", "g2")
		s.cli("cancel", "--server", callers(c, 1), "--team", "coop", "g2")
		v := s.done("gang")
		var starts, ends []int64
		for _, i := range v.Intervals {
			work := WorkOf(i.Task)
			assert.Assert(t, !strings.HasPrefix(work, "coop/g2"), "part of a gang was started: %s", work)
			starts = append(starts, i.StartMs)
			ends = append(ends, i.EndMs)
		}
		assert.Equal(t, len(starts), 8)
		for _, at := range starts {
			for _, end := range ends {
				assert.Assert(t, at < end, "a task of the gang ended before another began")
			}
		}
	})
}

func TestSessionConfiguration(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
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
		s.cli("check", bad)
		s.cli("diff", "--server", operators(c, 0), anna)
		s.cli("apply", "--server", operators(c, 0), "--by", "anna", "--base", "1", anna)
		s.note("# ben edited the same revision through another process")
		s.cli("apply", "--server", operators(c, 1), "--by", "ben", "--base", "1", ben)
		s.cli("apply", "--server", operators(c, 1), "--by", "ben", "--base", "2", "--wait", "--wait-ms", "60000", ben)
		for i := range c.Entries {
			reply, err := c.Operator(i).Config()
			assert.NilError(t, err)
			assert.Equal(t, reply.Revision, uint64(3))
		}
		s.cli("diff", "--server", operators(c, 2), ben)
		s.done("configuration")
	})
}

func TestSessionPlannedStop(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
		s := newTranscript(t, c)
		slow := make(chan Answer)
		go func() { slow <- s.l.Send(c.Entries[0], "bench", "check", "slow", "RunMs=2500&Echo=slow") }()
		assert.NilError(t, Eventually(patience, "request did not start", func() bool {
			v, err := c.Judge()
			return err == nil && v.Runs()["bench/slow"] == 1
		}))
		s.cli("drain", "--server", operators(c, 0))
		a := <-slow
		s.note("caller< the request in progress: %d %s %q", a.Status, a.Outcome, a.Body)
		s.note("process ended with %d", c.Entries[0].Wait(patience))
		s.send(1, "check", "after", script("after"))
		s.done("planned-stop")
		assert.NilError(t, Eventually(patience, "workers were not handed over", func() bool { return c.ReadyWorkers() == len(c.Workers) }))
	})
}

func TestJobSurvivesItsProcesses(t *testing.T) {
	withCluster(t, fixture(t), func(c *Cluster) {
		body := &cccaller.SubmitRequest{ID: "long", Kind: "inspection"}
		for i := range 24 {
			body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: fmt.Sprintf("RunMs=1500&Echo=%d", i)})
		}
		_, err := cccaller.NewClient(callers(c, 0)).Submit("coop", body)
		assert.NilError(t, err)
		// Every process is replaced by one on a new VM, each once the job goes on without it.
		for i := range 3 {
			c.Entries[i].Kill()
			e := c.NewEntry(fmt.Sprintf("entry-%d-new", i+1), c.cfg.Domains[i%2])
			c.Entries = append(c.Entries, e)
			assert.NilError(t, c.StartEntry(e))
			assert.NilError(t, c.SetVMs(c.ListAlive()))
			assert.NilError(t, Eventually(patience, "workers were not taken over", func() bool { return c.ReadyWorkers() == len(c.Workers) }))
		}
		j, err := cccaller.NewClient(callers(c, 4)).Job("coop", "long", 60_000)
		assert.NilError(t, err)
		assert.Equal(t, string(j.State), "Succeeded")
		v := judge(t, c, nil)
		assert.Equal(t, len(v.Succeeded()), 24)
	})
}
