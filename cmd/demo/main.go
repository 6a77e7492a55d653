// Command demo starts a complete system on loopback, sends it interactive requests, a batch job, a gang and
// non-idempotent requests through seven entry processes, and kills one of them meanwhile. At the end it checks that
// nothing was lost, run twice or overcommitted.
package main

import (
	"fmt"
	"os"
	"time"

	"coriandercross/core/ccjob"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccaller"
	"coriandercross/io/ccharness"
	"coriandercross/io/ccsettings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Program string `long:"program" description:"path of the coriandercross binary" default:"bin/coriandercross"`
	Standin string `long:"standin" description:"path of the standin binary" default:"bin/standin"`
	Cell    string `long:"cell" description:"cell configuration to apply" default:"examples/agency/cell.yaml"`
}

const (
	entries               = 7
	workers               = 16
	callers               = 8
	batchTasks            = 40
	gangTasks             = 12
	nonIdempotentRequests = 10
	readyTimeout          = 60 * time.Second
	jobWaitMs             = 60_000
	loadBeforeKill        = 3 * time.Second
	loadAfterKill         = 6 * time.Second
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	ok, err := run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// session is a running demo.
type session struct {
	cluster *ccharness.Cluster
	callers *ccharness.Callers
	// killed is the entry process that was killed, or nil.
	killed *ccharness.Entry
	// jobs holds the number of tasks of each submitted job, by job ID.
	jobs map[string]int
}

// run runs the demo. It returns true if nothing was lost, run twice or overcommitted.
func run(o *options) (bool, error) {
	doc, diagnostics, err := ccsettings.LoadDocument(o.Cell)
	if err != nil || len(diagnostics) > 0 {
		return false, errors.Newf("%s: %v %v", o.Cell, diagnostics, err)
	}
	dir, err := os.MkdirTemp("", "coriandercross-demo-")
	if err != nil {
		return false, errors.Wrap(err, "creating a temporary folder")
	}
	fmt.Println("starting", entries, "entry processes and", workers, "workers")
	c, err := ccharness.Start(ccharness.Config{
		Dir: dir, Program: o.Program, Standin: o.Standin, Entries: entries, Workers: workers, WorkersPerRack: 2,
		Domains: []ccharness.Domain{
			{Region: "osrednja", Name: "osrednja-a"}, {Region: "osrednja", Name: "osrednja-b"}, {Region: "stajerska", Name: "stajerska-a"},
		},
		Capacity: ccwork.Size{MilliCores: 16_000, MemoryMB: 64_000, Slots: 8, Connections: 64},
		Document: doc, VMListLagMs: 2_000,
	})
	defer c.Stop()
	if err != nil {
		return false, err
	}
	if err := c.Ready(readyTimeout); err != nil {
		return false, errors.Wrapf(err, "logs are in %s", dir)
	}
	s := &session{cluster: c, callers: c.NewCallers(), jobs: map[string]int{}}
	if err := s.sendWork(); err != nil {
		return false, errors.Wrapf(err, "logs are in %s", dir)
	}
	ok, err := s.check()
	if ok && err == nil {
		return true, os.RemoveAll(dir)
	}
	return false, errors.Wrapf(errors.CombineErrors(errors.New("the check failed"), err), "logs are in %s", dir)
}

// liveEntries returns the entry processes that a load balancer would send requests to: all but the killed one.
func (s *session) liveEntries() []*ccharness.Entry {
	var out []*ccharness.Entry
	for _, e := range s.cluster.Entries {
		if e != s.killed {
			out = append(out, e)
		}
	}
	return out
}

// sendWork sends requests and jobs, kills an entry process meanwhile, and waits for the jobs to end.
func (s *session) sendWork() error {
	stop := s.callers.StartLoad(callers, s.liveEntries, "workshops", "surface-check", "check", func(id string) string { return "RunMs=30&Echo=" + id })
	defer func() { stop() }()
	time.Sleep(loadBeforeKill)
	if err := s.submit("batch", "inspection", batchTasks, 400); err != nil {
		return err
	}
	if err := s.submit("gang", "panel", gangTasks, 1_500); err != nil {
		return err
	}
	victim := s.cluster.Entries[0]
	fmt.Println("killing", victim.Name)
	s.killed = victim
	victim.Kill()
	for i := range nonIdempotentRequests {
		id := fmt.Sprintf("order-%d", i)
		up := s.liveEntries()
		s.callers.Send(up[i%len(up)], "workshops", "certificate-charge", id, "RunMs=20&Echo="+id)
		// Repeat the non-idempotent request through another process: it must not run again.
		s.callers.Send(up[(i+1)%len(up)], "workshops", "certificate-charge", id, "RunMs=20&Echo="+id)
	}
	time.Sleep(loadAfterKill)
	stop()
	stop = func() {}
	return s.waitForJobs()
}

// submit submits a job, and retries with the same ID until it is accepted.
func (s *session) submit(id, kind string, tasks int, runMs int) error {
	body := &cccaller.SubmitRequest{ID: id, Kind: kind}
	for i := range tasks {
		body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: fmt.Sprintf("RunMs=%d&Echo=%s-%d", runMs, id, i)})
	}
	s.jobs[id] = tasks
	e := s.liveEntries()[0]
	return ccharness.Eventually(readyTimeout, "job was not accepted", func() bool {
		_, err := cccaller.NewClient(e.Settings.Listen.Callers).Submit("cooperatives", body)
		return err == nil
	})
}

// waitForJobs waits until all jobs have ended, at most jobWaitMs for each. It returns an error if one has not succeeded
// by then.
func (s *session) waitForJobs() error {
	client := cccaller.NewClient(s.liveEntries()[0].Settings.Listen.Callers)
	for id := range s.jobs {
		j, err := client.Job("cooperatives", id, jobWaitMs)
		if err != nil {
			return err
		}
		fmt.Printf("job %s: %s, %d of %d tasks succeeded\n", id, j.State, j.Succeeded, j.Tasks)
		if j.State != ccjob.Succeeded {
			return errors.Newf("job %s is %s", id, j.State)
		}
	}
	return nil
}

// check compares the responses that the callers received with the workers' records, and prints the counts. It returns
// true if no property was violated. A request counts as lost if its response has the wrong body, or if it ran although
// all its responses say that it did not; a task of a job counts as lost if no worker recorded its success.
func (s *session) check() (bool, error) {
	v, err := s.cluster.CheckRecords()
	if err != nil {
		return false, err
	}
	responses := s.callers.Responses()
	t := ccharness.CheckResponses("workshops", responses, &v, func(id string) string { return "done " + id })
	runs, succeeded := v.StartCounts(), v.Succeeded()
	lost := len(t.WrongBody) + len(t.FalseNotRun)
	accepted := t.Sent
	for id, tasks := range s.jobs {
		accepted += tasks
		for i := range tasks {
			if !succeeded[fmt.Sprintf("cooperatives/%s#%d", id, i)] {
				lost++
			}
			t.Ran++
		}
	}
	ranTwice := len(v.RanConcurrently)
	for i := range nonIdempotentRequests {
		if runs[fmt.Sprintf("workshops/order-%d", i)] > 1 {
			ranTwice++
		}
	}
	fmt.Printf("DEMO Accepted=%d Ran=%d NotRun=%d Unknown=%d Lost=%d Doubled=%d Overcommitted=%d\n",
		accepted, t.Ran, t.NotRun, t.Unknown, lost, ranTwice, len(v.Overcommitted))
	return lost+ranTwice+len(v.Overcommitted) == 0, nil
}
