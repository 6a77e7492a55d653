package ccharness

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"coriandercross/core/ccwork"
	"coriandercross/io/cccaller"
	"coriandercross/io/ccoperator"
	"coriandercross/io/ccstandin"

	"gotest.tools/v3/assert"
)

// loadGenerator sends requests in the background during a test, to the entry processes that a load balancer would use.
type loadGenerator struct {
	t             *testing.T
	c             *Cluster
	callers       *Callers
	mu            sync.Mutex
	outOfRotation map[*Entry]bool
	stop          func()
}

// startLoad starts four callers that send requests until stop is called.
func startLoad(t *testing.T, c *Cluster) *loadGenerator {
	l := &loadGenerator{t: t, c: c, callers: c.NewCallers(), outOfRotation: map[*Entry]bool{}}
	l.stop = l.callers.StartLoad(4, l.inRotation, "bench", "check", "load", payload)
	return l
}

// inRotation returns the entry processes that receive requests.
func (l *loadGenerator) inRotation() []*Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Entry
	for _, e := range l.c.Entries {
		if !l.outOfRotation[e] {
			out = append(out, e)
		}
	}
	return out
}

// addOutOfRotation adds a started entry process to the cluster without sending it requests: a load balancer would not
// use it before it is ready.
func (l *loadGenerator) addOutOfRotation(e *Entry) {
	l.removeFromRotation(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.Entries = append(l.c.Entries, e)
}

func (l *loadGenerator) addToRotation(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outOfRotation, e)
}

func (l *loadGenerator) removeFromRotation(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outOfRotation[e] = true
}

// waitForRuns waits until n more requests have run.
func (l *loadGenerator) waitForRuns(n int) {
	l.t.Helper()
	from := l.ran()
	assert.NilError(l.t, Eventually(eventTimeout, "too few requests ran", func() bool { return l.ran() >= from+n }))
}

// ran returns the number of responses with the outcome Ran so far.
func (l *loadGenerator) ran() int {
	return countOutcome(l.callers.Responses(), ccwork.Ran)
}

func countOutcome(responses []Response, o ccwork.Outcome) int {
	n := 0
	for _, r := range responses {
		if r.Outcome == o {
			n++
		}
	}
	return n
}

// waitForOwners waits until every worker has an owner that runs and may start tasks on it.
func waitForOwners(t *testing.T, c *Cluster) {
	t.Helper()
	assert.NilError(t, Eventually(eventTimeout, "not every worker has a ready owner", func() bool { return c.ReadyWorkers() == len(c.Workers) }))
}

func TestKilledProcess(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := startLoad(t, c)
		l.waitForRuns(50)
		l.removeFromRotation(c.Entries[0])
		c.Entries[0].Kill()
		waitForOwners(t, c)
		l.waitForRuns(50)
		l.stop()
		checkInvariants(t, c, l.callers.Responses())
	})
}

// TestFrozenProcess checks that an entry process that was stopped by a signal does no harm when it continues, after
// others have taken over its workers.
func TestFrozenProcess(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := startLoad(t, c)
		l.waitForRuns(50)
		frozen := c.Entries[0]
		l.removeFromRotation(frozen)
		assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
		others := c.Entries[1:]
		assert.NilError(t, Eventually(eventTimeout, "workers were not taken over", func() bool { return countReadyAt(others) == len(c.Workers) }))
		l.waitForRuns(50)
		assert.NilError(t, frozen.Signal(syscall.SIGCONT))
		l.waitForRuns(50)
		l.stop()
		checkInvariants(t, c, l.callers.Responses())
	})
}

// countReadyAt returns the number of workers on which the given entry processes may start tasks, or 0 if one of them
// does not respond.
func countReadyAt(entries []*Entry) int {
	n := 0
	for _, e := range entries {
		d, err := ccoperator.NewClient(e.Settings.Listen.Operators).Dump()
		if err != nil {
			return 0
		}
		n += countReady(&d)
	}
	return n
}

// TestStoreOutage checks that requests still run while the store is down, that work which needs a write to the store is
// refused, and that the system recovers, also from the loss of an entry process in the outage.
func TestStoreOutage(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := startLoad(t, c)
		l.waitForRuns(20)
		assert.NilError(t, c.SetStoreFaults(ccstandin.StoreFaults{Down: true}))
		// Longer than the read window and the grant period together: the owners keep their shards only if the
		// successors renew their grants during the outage.
		time.Sleep(6 * time.Second)
		before := len(l.callers.Responses())
		l.waitForRuns(100)
		for _, r := range l.callers.Responses()[before:] {
			assert.Equal(t, r.Outcome, ccwork.Ran, "request %s during the outage: %s", r.ID, r.Reason)
		}
		r := l.callers.Send(c.Entries[0], "bench", "charge", "c1", payload("c1"))
		assert.Equal(t, r.Outcome, ccwork.NotRun)
		assert.Equal(t, r.Reason, "Store")
		_, err := cccaller.NewClient(callerAddress(c, 0)).Submit("coop", &cccaller.SubmitRequest{ID: "j", Kind: "inspection", Tasks: []cccaller.SubmitTask{{}}})
		assert.Assert(t, err != nil)
		// A process that starts during the outage gets the configuration from its peers.
		e := c.NewEntry("entry-new", c.cfg.Domains[0])
		assert.NilError(t, c.StartEntry(e))
		l.addOutOfRotation(e)
		assert.NilError(t, c.SetVMs(c.AllVMs()))
		assert.NilError(t, Eventually(eventTimeout, "new process has no configuration", func() bool {
			reply, err := ccoperator.NewClient(e.Settings.Listen.Operators).Config()
			return err == nil && reply.Revision == 1
		}))
		l.removeFromRotation(c.Entries[1])
		c.Entries[1].Kill()
		assert.NilError(t, c.SetStoreFaults(ccstandin.StoreFaults{}))
		waitForOwners(t, c)
		l.waitForRuns(20)
		l.stop()
		v := checkInvariants(t, c, l.callers.Responses())
		assert.Equal(t, v.StartCounts()["bench/c1"], 0)
	})
}

// TestLostReplies checks that writes to the store whose replies are lost neither run work twice nor change the
// configuration twice.
func TestLostReplies(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := c.NewCallers()
		for round := range 5 {
			assert.NilError(t, c.SetStoreFaults(ccstandin.StoreFaults{LoseReplies: 2}))
			id := fmt.Sprint("c", round)
			for i := range 3 {
				l.Send(c.Entries[i], "bench", "charge", id, payload(id))
			}
			assert.NilError(t, c.SetStoreFaults(ccstandin.StoreFaults{LoseReplies: 1}))
			j, err := cccaller.NewClient(callerAddress(c, round%3)).Submit("coop", &cccaller.SubmitRequest{ID: id, Kind: "inspection", Tasks: []cccaller.SubmitTask{{Payload: "Echo=x"}}})
			assert.NilError(t, err)
			assert.Equal(t, j.Tasks, 1)
			assert.NilError(t, c.SetStoreFaults(ccstandin.StoreFaults{LoseReplies: 1}))
			reply, err := c.Operator(round % 3).Apply(&ccoperator.ApplyRequest{Base: uint64(round + 1), By: "x", Document: c.cfg.Document})
			assert.NilError(t, err)
			assert.Equal(t, reply.Revision, uint64(round+2))
		}
		for round := range 5 {
			_, err := cccaller.NewClient(callerAddress(c, 0)).Job("coop", fmt.Sprint("c", round), 60_000)
			assert.NilError(t, err)
		}
		v := checkInvariants(t, c, l.Responses())
		for task, starts := range v.StartCounts() {
			assert.Equal(t, starts, 1, "%s", task)
		}
	})
}

// TestRollingReplacement checks that every request runs while each entry process is replaced by one on a new VM.
func TestRollingReplacement(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := startLoad(t, c)
		l.waitForRuns(50)
		for i := range 3 {
			e := c.NewEntry(fmt.Sprintf("entry-%d-new", i+1), c.cfg.Domains[i%2])
			assert.NilError(t, c.StartEntry(e))
			l.addOutOfRotation(e)
			assert.NilError(t, c.SetVMs(c.LiveVMs()))
			assert.NilError(t, Eventually(eventTimeout, "new process is not ready", func() bool { return hasPeers(e, 4) }))
			l.addToRotation(e)
			old := c.Entries[i]
			l.removeFromRotation(old)
			assert.NilError(t, old.Signal(syscall.SIGTERM))
			assert.Equal(t, old.Wait(eventTimeout), 0)
			assert.NilError(t, c.SetVMs(c.LiveVMs()))
			l.waitForRuns(30)
		}
		l.stop()
		for _, r := range l.callers.Responses() {
			assert.Equal(t, r.Outcome, ccwork.Ran, "request %s through %s: %s", r.ID, r.Entry, r.Reason)
		}
		checkInvariants(t, c, l.callers.Responses())
	})
}

// hasPeers reports whether an entry process has a configuration and knows at least n members, itself included.
func hasPeers(e *Entry, n int) bool {
	d, err := ccoperator.NewClient(e.Settings.Listen.Operators).Dump()
	return err == nil && d.Revision > 0 && len(d.Members) >= n
}

// TestWorkersKilledAndFrozen checks that a job succeeds although one worker is killed and another is stopped by a
// signal, and that no task of the second worker overlaps with its retry when the worker continues.
func TestWorkersKilledAndFrozen(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		body := &cccaller.SubmitRequest{ID: "j", Kind: "inspection"}
		for i := range 20 {
			body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: fmt.Sprintf("RunMs=3000&Echo=%d", i)})
		}
		_, err := cccaller.NewClient(callerAddress(c, 0)).Submit("coop", body)
		assert.NilError(t, err)
		assert.NilError(t, Eventually(eventTimeout, "tasks did not start", func() bool {
			v, err := c.CheckRecords()
			return err == nil && len(v.Executions) == 20
		}))
		killed, frozen := c.Workers[0], c.Workers[1]
		killed.Kill()
		assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
		var j *cccaller.JobReply
		assert.NilError(t, Eventually(eventTimeout, "job did not end", func() bool {
			j, err = cccaller.NewClient(callerAddress(c, 1)).Job("coop", "j", 1_000)
			return err == nil && j.State.Ended()
		}))
		assert.Equal(t, string(j.State), "Succeeded")
		assert.NilError(t, frozen.Signal(syscall.SIGCONT))
		time.Sleep(time.Second)
		checkInvariants(t, c, nil)
	})
}

func TestLeavingWorker(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := startLoad(t, c)
		l.waitForRuns(50)
		leaving := c.Workers[0]
		leaving.VM.Leaving = true
		assert.NilError(t, c.SetVMs(c.AllVMs()))
		assert.NilError(t, Eventually(eventTimeout, "an owner does not know that the worker is leaving", func() bool {
			for _, d := range c.Dumps() {
				for _, w := range d.Workers {
					if w.ID == leaving.VM.ID && !w.Leaving {
						return false
					}
				}
			}
			return true
		}))
		// A start that was decided before the owner knew may arrive up to flightMs later.
		const flightMs = 2_000
		known := time.Now().UnixMilli()
		l.waitForRuns(100)
		time.Sleep(3 * time.Second)
		l.stop()
		v := checkInvariants(t, c, l.callers.Responses())
		for _, e := range v.Executions {
			assert.Assert(t, e.Worker != leaving.VM.ID || e.StartMs < known+flightMs, "task %s started on a leaving worker", e.Task)
		}
	})
}

// TestOperatorsRace checks that of concurrent edits of one revision only one is accepted, and that no process goes back
// to an older revision.
func TestOperatorsRace(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		const edits = 10
		var wg sync.WaitGroup
		var mu sync.Mutex
		var accepted []uint64
		highest := make([]uint64, len(c.Entries))
		done := make(chan struct{})
		watched := make(chan string, 1)
		go func() { watched <- watchRevisions(c, highest, done) }()
		for operator := range 3 {
			wg.Go(func() {
				for n := 0; n < edits; {
					current, err := c.Operator(operator).Config()
					if err != nil {
						continue
					}
					reply, err := c.Operator(operator).Apply(&ccoperator.ApplyRequest{Base: current.Revision, By: fmt.Sprint("op", operator), Document: c.cfg.Document})
					if err != nil {
						continue
					}
					n++
					mu.Lock()
					accepted = append(accepted, reply.Revision)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		close(done)
		assert.Equal(t, <-watched, "")
		slices.Sort(accepted)
		for i, r := range accepted {
			assert.Equal(t, r, uint64(i+2), "two edits got the same revision, or an accepted edit was lost")
		}
		last := accepted[len(accepted)-1]
		assert.NilError(t, Eventually(eventTimeout, "last revision is not in force everywhere", func() bool {
			for i := range c.Entries {
				if reply, err := c.Operator(i).Config(); err != nil || reply.Revision != last {
					return false
				}
			}
			return true
		}))
	})
}

// watchRevisions polls the revision of all entry processes until done is closed, and stores the highest of each in
// highest. It returns "" or, as soon as a process reports a lower revision than before, a description of that.
func watchRevisions(c *Cluster, highest []uint64, done chan struct{}) string {
	for {
		select {
		case <-done:
			return ""
		default:
		}
		for i := range c.Entries {
			reply, err := c.Operator(i).Config()
			if err != nil {
				continue
			}
			if reply.Revision < highest[i] {
				return fmt.Sprintf("process %d went back from revision %d to %d", i, highest[i], reply.Revision)
			}
			highest[i] = reply.Revision
		}
	}
}

func TestFailingWorkerAndTruncatedResponses(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		l := startLoad(t, c)
		l.waitForRuns(20)
		bad, cut := busiestWorkers(t, c)
		assert.NilError(t, c.SetWorkerFaults(bad, ccstandin.WorkerFaults{FailAll: true}))
		assert.NilError(t, c.SetWorkerFaults(cut, ccstandin.WorkerFaults{Truncate: true}))
		assert.NilError(t, Eventually(eventTimeout, "no worker went into quarantine", func() bool {
			for _, d := range c.Dumps() {
				for _, w := range d.Workers {
					if w.Quarantined {
						return true
					}
				}
			}
			return false
		}))
		l.waitForRuns(50)
		l.stop()
		// A truncated response must have the outcome Unknown; checkInvariants fails if one counts as Ran.
		checkInvariants(t, c, l.callers.Responses())
	})
}

// busiestWorkers returns the two workers that have run the most tasks. The load is light, so an owner may send nothing to
// its other workers.
func busiestWorkers(t *testing.T, c *Cluster) (first, second *Worker) {
	t.Helper()
	v, err := c.CheckRecords()
	assert.NilError(t, err)
	runs := map[string]int{}
	for i := range v.Executions {
		runs[v.Executions[i].Worker]++
	}
	workers := slices.Clone(c.Workers)
	slices.SortStableFunc(workers, func(a, b *Worker) int { return runs[b.VM.ID] - runs[a.VM.ID] })
	return workers[0], workers[1]
}

// TestCancellationBurst checks that interactive requests run while many jobs are cancelled at the same time.
func TestCancellationBurst(t *testing.T) {
	withCluster(t, testConfig(t), func(c *Cluster) {
		const jobs, tasks = 20, 50
		l := startLoad(t, c)
		for i := range jobs {
			body := &cccaller.SubmitRequest{ID: fmt.Sprint("j", i), Kind: "inspection"}
			for range tasks {
				body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: "RunMs=600000"})
			}
			_, err := cccaller.NewClient(callerAddress(c, i%3)).Submit("coop", body)
			assert.NilError(t, err)
		}
		l.waitForRuns(20)
		var wg sync.WaitGroup
		for i := range jobs {
			wg.Go(func() {
				_, err := cccaller.NewClient(callerAddress(c, i%3)).Cancel("coop", fmt.Sprint("j", i))
				assert.Check(t, err)
			})
		}
		wg.Wait()
		l.waitForRuns(20)
		assert.NilError(t, Eventually(eventTimeout, "cancelled tasks still run", func() bool {
			for _, d := range c.Dumps() {
				for _, b := range d.Buckets {
					if b.Placed+b.Placing+b.Doubtful > 0 {
						return false
					}
				}
			}
			return true
		}))
		l.stop()
		for _, r := range l.callers.Responses() {
			assert.Equal(t, r.Outcome, ccwork.Ran, "request %s: %s", r.ID, r.Reason)
		}
		v := checkInvariants(t, c, l.callers.Responses())
		assert.Assert(t, len(v.Succeeded()) > 0)
	})
}

// TestRequestsBehindLongWork guards against requests that wait until their deadline while there is capacity elsewhere.
// This happened after shards had moved: an owner could get only workers that were full of long tasks.
func TestRequestsBehindLongWork(t *testing.T) {
	cfg := testConfig(t)
	cfg.Entries = 1
	withCluster(t, cfg, func(c *Cluster) {
		body := &cccaller.SubmitRequest{ID: "long", Kind: "inspection"}
		for range 60 {
			body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: "RunMs=600000"})
		}
		_, err := cccaller.NewClient(callerAddress(c, 0)).Submit("coop", body)
		assert.NilError(t, err)
		assert.NilError(t, Eventually(eventTimeout, "long tasks did not fill the workers", func() bool {
			v, err := c.CheckRecords()
			return err == nil && len(v.Executions) >= 40
		}))
		for i := range 2 {
			e := c.NewEntry(fmt.Sprintf("entry-%d", i+2), c.cfg.Domains[i%2])
			c.Entries = append(c.Entries, e)
			assert.NilError(t, c.StartEntry(e))
		}
		assert.NilError(t, c.SetVMs(c.AllVMs()))
		assert.NilError(t, Eventually(eventTimeout, "shards did not move", func() bool {
			d := c.Dumps()
			return c.converged() && len(d[1].Workers) > 0 && len(d[2].Workers) > 0
		}))
		waitForOwners(t, c)
		l := startLoad(t, c)
		l.waitForRuns(100)
		l.stop()
		for _, r := range l.callers.Responses() {
			assert.Equal(t, r.Outcome, ccwork.Ran, "request %s: %s", r.ID, r.Reason)
		}
		checkInvariants(t, c, l.callers.Responses())
	})
}
