package cccell

// Config sets up a Cell.
type Config struct {
	// Token fences earlier leaders at the workers; it rises with each leader.
	Token int64
	// LeaseMs is the length of a lease at a worker. Longer ones outlive the loss of a leader, shorter ones let the tasks of
	// a silent worker start again sooner.
	LeaseMs ms
	// PriorLeaseMs is the length of the leases that the leader before gave.
	PriorLeaseMs ms
	// AuthorityMs is how long this leader goes on after it was last confirmed; the leader before does so, unseen, for PriorAuthorityMs.
	AuthorityMs, PriorAuthorityMs ms
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
	// Log takes one line for each decision; it may be nil.
	Log func(event string, kv ...any)
}

// Cell is the state of a leader. It is not safe for concurrent use.
type Cell struct {
	cfg     Config
	jobs    map[string]*job
	workers map[string]*worker
	queues  map[string]*Queue
	// open holds the stages whose turn has come and that are not finished.
	open map[*stage]struct{}
	// scheduled holds the jobs with scheduled runs that have not all begun.
	scheduled map[*job]struct{}
	// dirty holds the jobs that the store has to be told of, in the order of the changes.
	dirty        []*job
	inDirty      map[*job]bool
	orders       Orders
	attemptCount int64
	deposed      bool
	// authority is the time until which this leader may start tasks and renew leases.
	authorityUntil ms
	// handover is the time until which the leader before may learn of new jobs.
	handoverAt ms
	// surveyed is true once all workers that answer were read for the first time.
	initialPollDone     bool
	stragglersCheckedAt ms
	kinds               kindTable
	// usable holds the workers that may get work in the present round.
	usable []*worker
	stats  Stats
}

// Stats counts decisions since the start of the leader.
type Stats struct {
	Starts         int64
	Stops          int64
	Polls          int64 `json:"Looks"`
	AdviceRequests int64 `json:"Asks"`
	Quarantined    int64
	Vanished       int64
	Lapsed         int64
	Failures       int64
	Moved          int64
}

// attemptBits leaves room for the attempts of one leader below its token.
const attemptBits = 24

// New returns an empty cell.
func New(cfg Config, now ms) *Cell {
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	return &Cell{
		cfg: cfg, jobs: map[string]*job{}, workers: map[string]*worker{}, queues: map[string]*Queue{},
		open: map[*stage]struct{}{}, scheduled: map[*job]struct{}{}, inDirty: map[*job]bool{},
		kinds: newKindTable(), handoverAt: now + cfg.PriorAuthorityMs, authorityUntil: now + cfg.AuthorityMs,
	}
}

// ExtendAuthority lets the leader go on until a time: its record was confirmed, or all others vouched for it, AuthorityMs before.
func (c *Cell) ExtendAuthority(until ms) {
	c.authorityUntil = max(c.authorityUntil, until)
}

// RevokeAuthority takes the authority back until it is confirmed anew: the process stood still for a time that its clock did not count.
func (c *Cell) RevokeAuthority() {
	c.authorityUntil = 0
}

// Authority returns the time until which the leader may start tasks and renew leases.
func (c *Cell) Authority() ms {
	return c.authorityUntil
}

// OnPriorLeaderEnded tells that the leader before is known to have ended.
func (c *Cell) OnPriorLeaderEnded(now ms) {
	c.handoverAt = min(c.handoverAt, now)
	for _, w := range c.workers {
		if !w.admitted {
			w.priorLeasesEndAt = min(w.priorLeasesEndAt, now+maxLeaseDuration(c.cfg.PriorLeaseMs))
		}
	}
}

// leaseEnd returns the time in which a lease has ended for certain on the slowest clock.
func maxLeaseDuration(leaseMs ms) ms {
	return ms(float64(leaseMs)/slowestClockRate) + expiryMarginMs
}

// Deposed reports whether a worker told of a higher token.
func (c *Cell) Deposed() bool {
	return c.deposed
}

// TakeOrders returns the orders collected since the last call.
func (c *Cell) TakeOrders() Orders {
	out := c.orders
	c.orders = Orders{}
	return out
}

// SetQueues puts a configuration in force. Jobs of a queue that is gone go on as they were accepted.
func (c *Cell) SetQueues(queues []Queue) {
	c.queues = map[string]*Queue{}
	for i := range queues {
		c.queues[queues[i].Name] = &queues[i]
	}
}

// queue returns the newest known configuration of a job's queue.
func (c *Cell) queue(j *job) *Queue {
	if q := c.queues[j.spec.Queue.Name]; q != nil {
		j.queue = q // Kept for the time when the queue is gone.
	}
	return j.queue
}

// StoredJob is a job as the store has it.
type StoredJob struct {
	Job      *Job
	Progress *Progress
	// Revision is that of the progress, 0 for none.
	Revision int64
	// CancelRequested is true when the store holds a request to cancel.
	CancelRequested bool
}

// Adopt takes in a job read at a take-over; nowUnix is the time of day.
func (c *Cell) Adopt(s StoredJob, now, nowUnix ms) {
	if c.jobs[s.Job.ID] != nil {
		return
	}
	j := c.insert(s.Job, now)
	j.adopted = true
	// Its turn goes by its age, which a leader that has just begun knows from the time of day only.
	if age := nowUnix - ms(s.Job.AcceptedMs); s.Job.AcceptedMs > 0 && age > 0 {
		j.arrivedAt -= min(age, maxAdoptedAgeMs)
	}
	j.revision = s.Revision
	if s.Progress != nil {
		c.restore(j, s.Progress, now)
	}
	if s.CancelRequested {
		j.cancelRequested = true
	}
	c.startDueRuns(j, now, nowUnix)
	if s.CancelRequested && j.final == "" {
		c.finish(j, Cancelled, now)
	}
}

// maxAdoptedAgeMs bounds the age of an adopted job, since clocks may be wrong; no job of a queue with a priority waits for so long.
const maxAdoptedAgeMs ms = 600_000

// restore sets a job from its stored progress.
func (c *Cell) restore(j *job, p *Progress, now ms) {
	j.final, j.published = p.State, p.State
	for n, rp := range p.Runs {
		r := c.newRun(j, n)
		r.done = rp.Done
		for i, s := range r.stages {
			s.restore(rp.Stages[i])
		}
		if len(rp.Stages) > 0 || rp.Done {
			j.started = true
		}
	}
	for _, r := range j.runs {
		if !r.done && j.final == "" {
			c.advanceRun(r, now)
		}
	}
}

// AddJob takes in a job that was accepted. A job that is known already stays as it is.
func (c *Cell) AddJob(spec *Job, now, nowUnix ms) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.insert(spec, now)
	j.adopted = now < c.handoverAt
	c.cfg.Log("job accepted", "Job", spec.ID, "Queue", spec.Queue.Name, "Stages", len(spec.Stages), "Tasks", spec.Stages[0].Count, "ChainMs", spec.CriticalPathMs(), "Lasting", spec.LongRunning())
	c.publishState(j)
	c.startDueRuns(j, now, nowUnix)
}

// HasJob reports whether the cell has a job.
func (c *Cell) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// insert puts a job into memory.
func (c *Cell) insert(spec *Job, now ms) *job {
	j := &job{spec: spec, queue: &spec.Queue, runs: map[int]*run{}, arrivedAt: now}
	c.jobs[spec.ID] = j
	return j
}

// begin begins the runs of a job that are due.
func (c *Cell) startDueRuns(j *job, now, nowUnix ms) {
	if j.final != "" {
		return
	}
	if j.spec.ScheduledRuns == 0 {
		if j.runs[0] == nil {
			c.advanceRun(c.newRun(j, 0), now)
		}
		return
	}
	notDue := false
	for n := 0; n < j.spec.ScheduledRuns; n++ {
		if j.runs[n] != nil {
			continue
		}
		if int64(nowUnix) < j.spec.FirstRunMs+int64(n)*j.spec.PeriodMs {
			notDue = true
			break
		}
		c.advanceRun(c.newRun(j, n), now)
	}
	if notDue {
		c.scheduled[j] = struct{}{}
	} else {
		delete(c.scheduled, j)
	}
}

// newRun adds a run with all its stages.
func (c *Cell) newRun(j *job, number int) *run {
	r := &run{number: number}
	for i := range j.spec.Stages {
		spec := &j.spec.Stages[i]
		r.stages = append(r.stages, &stage{
			id: StageID{Job: j.spec.ID, Run: number, Stage: i}, job: j, spec: spec, need: spec.Reserved(), done: newBitset(spec.Count),
			tasks: make([][]*attempt, spec.Count), failures: map[int][]int64{}, checkpoints: map[int]string{}, avoid: map[string]int{}, moves: map[int]int{},
			perWorker: map[*worker]int{}, tickets: newTickets(),
		})
	}
	j.runs[number] = r
	return r
}

// advance opens the stages whose turn has come, and closes the run and the job when all is done.
func (c *Cell) advanceRun(r *run, now ms) {
	allFinished := true
	for _, s := range r.stages {
		if s.finished() {
			delete(c.open, s)
			continue
		}
		allFinished = false
		if s.ready {
			continue
		}
		s.ready = true
		for _, after := range s.spec.After {
			s.ready = s.ready && r.stages[after].finished()
		}
		if s.ready {
			s.readyAt, s.placementDelay.lastAt = now, now
			c.open[s] = struct{}{}
		}
	}
	if !allFinished || r.done {
		return
	}
	r.done = true
	j := r.stages[0].job
	c.markDirty(j)
	done := 0
	for _, other := range j.runs {
		if other.done {
			done++
		}
	}
	if done >= max(j.spec.ScheduledRuns, 1) {
		c.finish(j, Completed, now)
	}
}

// touch marks a job as changed for the store.
func (c *Cell) markDirty(j *job) {
	j.version++
	if !c.inDirty[j] {
		c.inDirty[j] = true
		c.dirty = append(c.dirty, j)
	}
}

// finish decides a job's final state; it is shown once the store has it.
func (c *Cell) finish(j *job, state State, now ms) {
	if j.final != "" {
		return
	}
	j.final = state
	delete(c.scheduled, j)
	for _, r := range j.runs {
		for _, s := range r.stages {
			delete(c.open, s)
			for _, list := range s.tasks {
				for _, a := range list {
					a.stopWanted = true
				}
			}
		}
	}
	c.cfg.Log("job decided", "Job", j.spec.ID, "State", state, "AgeMs", now-j.arrivedAt, "LiveAttempts", j.liveAttempts)
	c.markDirty(j)
}

// Cancel cancels a job unless it has ended. It returns false when the job is not known.
func (c *Cell) Cancel(id string, now ms) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	j.cancelRequested = true
	c.finish(j, Cancelled, now)
	return true
}

// change tells the present state of a job to whoever answers callers.
func (c *Cell) publishState(j *job) {
	c.orders.Changes = append(c.orders.Changes, StateChange{Job: j.spec.ID, State: c.stateOf(j)})
}

// stateOf returns the state that callers may see.
func (c *Cell) stateOf(j *job) State {
	switch {
	case j.published != "":
		return j.published
	case j.started:
		return Running
	}
	return Queued
}

// States returns the state of every job.
func (c *Cell) States() []StateChange {
	out := make([]StateChange, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, StateChange{Job: j.spec.ID, State: c.stateOf(j)})
	}
	return out
}

// QueuedJobs returns, for each queue, the number of accepted jobs of which no task has started.
func (c *Cell) QueuedJobs() map[string]int {
	out := map[string]int{}
	for _, j := range c.jobs {
		if !j.started && j.final == "" {
			out[j.spec.Queue.Name]++
		}
	}
	return out
}

// RemoveEndedJobs drops jobs that arrived before a time, have ended, and hold nothing any more.
func (c *Cell) RemoveEndedJobs(arrivedBefore ms) {
	for id, j := range c.jobs {
		if j.published != "" && j.liveAttempts == 0 && j.arrivedAt < arrivedBefore {
			delete(c.jobs, id)
		}
	}
}
