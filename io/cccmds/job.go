package cccmds

import (
	"fmt"
	"time"

	"coriandercross/core/ccjob"
	"coriandercross/io/cccaller"

	"github.com/cockroachdb/errors"
)

// callerOptions are the options that all commands about a job share.
type callerOptions struct {
	Server string `long:"server" description:"callers' IP:PORT of any process" default:"127.0.0.1:7100"`
	Team   string `long:"team" description:"team that the job belongs to" required:"yes"`
}

// client returns a client of the process.
func (o *callerOptions) client() *cccaller.Client {
	return cccaller.NewClient(o.Server)
}

// submitCommand submits a job.
type submitCommand struct {
	callerOptions
	Kind string `long:"kind" description:"kind of work" required:"yes"`
	ID   string `long:"id" description:"ID of the job; submitting it again does not create a second job" required:"yes"`
	Args struct {
		Payloads []string `positional-arg-name:"PAYLOAD" description:"payload of a task" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// run implements runner.
func (c *submitCommand) run(o *output) error {
	body := &cccaller.SubmitRequest{ID: c.ID, Kind: c.Kind}
	for _, p := range c.Args.Payloads {
		body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: p})
	}
	reply, err := c.client().Submit(c.Team, body)
	if errors.Is(err, cccaller.ErrInDoubt) {
		return errors.Mark(err, ErrUnknownEffect)
	}
	if err != nil {
		return err
	}
	printJob(o, reply)
	return nil
}

// printJob prints a job on one line.
func printJob(o *output, j *cccaller.JobReply) {
	_, _ = fmt.Fprintf(o.out, "%s %s: %d of %d tasks succeeded %s\n", j.ID, j.State, j.Succeeded, j.Tasks, j.Reason)
}

// statusCommand prints the state of a job.
type statusCommand struct {
	callerOptions
	WaitMs int64 `long:"wait" description:"longest wait for the job's end, in milliseconds" default:"0"`
	Args   struct {
		ID string `positional-arg-name:"ID" description:"ID of the job"`
	} `positional-args:"yes" required:"yes"`
}

// progressMs is the time between two updates of the progress line, in ms.
const progressMs = 1_000

// run implements runner.
func (c *statusCommand) run(o *output) error {
	client := c.client()
	deadline := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for {
		left := max(time.Until(deadline).Milliseconds(), 0)
		reply, err := client.Job(c.Team, c.Args.ID, min(left, progressMs))
		if err != nil {
			return err
		}
		if reply.State.Ended() || left == 0 {
			printJob(o, reply)
			return jobError(reply, c.WaitMs > 0)
		}
		if isTerminal(o.err) {
			_, _ = fmt.Fprintf(o.err, "\r%d of %d tasks", reply.Succeeded, reply.Tasks)
		}
	}
}

// jobError returns an error if the command has waited for the job's end and the job has not succeeded.
func jobError(j *cccaller.JobReply, waited bool) error {
	if waited && j.State != ccjob.Succeeded {
		return errors.Newf("job %s is %s", j.ID, j.State)
	}
	return nil
}

// cancelCommand cancels a job.
type cancelCommand struct {
	callerOptions
	Args struct {
		ID string `positional-arg-name:"ID" description:"ID of the job"`
	} `positional-args:"yes" required:"yes"`
}

// run implements runner.
func (c *cancelCommand) run(o *output) error {
	reply, err := c.client().Cancel(c.Team, c.Args.ID)
	if err != nil {
		return err
	}
	printJob(o, reply)
	return nil
}
