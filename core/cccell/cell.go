package cccell

import (
	"coriandercross/core/ccfair"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccruntimes"
	"coriandercross/core/ccwork"
)

// Config configures a Cell.
type Config struct {
	// Token is the fencing token of this leader, higher than that of each leader before it. Workers refuse calls with a
	// lower token than they have seen.
	Token int64
	// RestartTokens is the number of tokens directly below Token that are this leader's as well; see tokenFor. With 0, the
	// incarnations of a worker are not fenced from each other.
	RestartTokens int64
	// LeaseMs is the length of a lease at a worker. With a longer lease, tasks survive a longer time without a leader;
	// with a shorter one, the tasks of a worker that does not reply start elsewhere sooner.
	LeaseMs ms
	// MaxLeaseMs is the length to which workers shorten a lease; 0 stands for LeaseMs.
	MaxLeaseMs ms
	// PriorLeaseMs is the length of the leases that the prior leader gave.
	PriorLeaseMs ms
	// AuthorityMs is the time for which this leader may give orders. PriorAuthorityMs is the same for the prior leader,
	// which may still give orders for that time without contact with this process; see SetHandover.
	AuthorityMs, PriorAuthorityMs ms
	// RemoteFactor is the ratio of a task's duration outside the rack of its data to its duration inside.
	RemoteFactor float64
	// PriorUnstored is true if a prior leader may have run jobs that were not stored: if there was one, since it may have
	// been the only process that did not reach the store.
	PriorUnstored bool
	// AwaitRoster is true if tasks start only on workers that SetRecorded has named.
	AwaitRoster bool
	// Ended reports whether a job that the cell does not have is known to have ended; it may be nil.
	Ended func(id string) bool
	// RunTimes learns how long tasks take; nil to rely on the callers' estimates.
	RunTimes *ccruntimes.Learner
	// ObserveRunTime is called for each task that is done with the factors by which the prediction and the estimate of its
	// run time were off; it may be nil.
	ObserveRunTime func(queue string, predicted, estimated float64)
	// JobMemory is the memory for large jobs and for runs of scheduled ones, in bytes; 0 for no bound.
	JobMemory int64
	// Log is called with an event name and key-value pairs for each decision; it may be nil.
	Log func(event string, kv ...any)
}

// Cell is the scheduling state of a leader. It is not safe for concurrent use.
type Cell struct {
	cfg     Config
	jobs    map[string]*job
	workers map[string]*worker
	// recorded holds the IDs of the workers that the next leader will know, see SetRecorded.
	recorded map[string]bool
	queues   map[string]*Queue
	// hasTeams is true while the configuration has teams.
	hasTeams bool
	// book holds what each team has running; see caps.go. capWaits holds the teams with stages that wait for a cap.
	book     *ccquota.Book
	capWaits map[*ccquota.Account]*capWait
	// unknownRunning bounds what each team may have running in the current round beside the attempts in memory.
	unknownRunning ccwork.Size
	shares         *ccfair.Shares
	// arrivals holds the jobs that settleArrivals has not charged yet, knownExcess those of them that an earlier leader
	// has found to be excess.
	arrivals    []*job
	knownExcess map[string]bool
	// excessLoggedAt is when logExcess last logged each team.
	excessLoggedAt map[string]ms
	// open holds the unfinished stages whose predecessors are finished.
	open map[*stage]struct{}
	// scheduled holds the jobs with scheduled runs that are not due yet.
	scheduled map[*job]struct{}
	// dirty holds the jobs with changes that NextWrites has not returned yet, oldest change first.
	dirty        []*job
	inDirty      map[*job]bool
	orders       Orders
	attemptCount int64
	deposed      bool
	// priorRanUnstored is true from when a process has told that the prior leader ran unstored jobs until the handover is
	// complete.
	priorRanUnstored bool
	// unstoredSeen is true once it is known that a prior leader has run jobs that were not stored.
	unstoredSeen bool
	// unclaimed holds the IDs of the jobs that a worker has shown to have been run by a prior leader, and of which nobody has
	// told this one, until the handover is complete.
	unclaimed map[string]bool
	// unstoredCount is the number of unstored jobs; unknownJobs holds the ends of tasks of unknown jobs, by job.
	unstoredCount int
	unknownJobs   map[string]*unknownJob
	// begunBefore holds the IDs of jobs that MarkBegun has named and the cell did not have, until the handover is complete.
	begunBefore map[string]bool
	// authorityUntil is the time until which this leader may start tasks and renew leases.
	authorityUntil ms
	// startsHeld is true while no task may be started; see HoldStarts.
	startsHeld bool
	// pollIdle is true while workers that run nothing are polled as well, see PollIdle.
	pollIdle bool
	// handoverAt is the time at which the prior leader's authority ends. Until then the prior leader may still accept
	// jobs and start tasks.
	handoverAt ms
	// unknownWorkers is true if there may be workers of the prior leader that this one does not know.
	unknownWorkers bool
	// initialPollDone is true once every worker was admitted or is silent.
	initialPollDone bool
	// roundAt is the time of the current round, or of the last one.
	roundAt             ms
	stragglersCheckedAt ms
	workerTypes         workerTypeTable
	// usable holds the workers that may get tasks in the current round.
	usable []*worker
	// restarts counts the restarts of workers that this leader has found, by the IDs of the workers.
	restarts map[string]int64
	// answering holds the ID of the last worker that has answered a poll of this leader at an address, by the address.
	answering map[string]string
	// suspects refers to the crashes that are not confirmed, by the address of the worker.
	suspects map[string][]suspect
	// held counts the workers that are held in the current round, by service.
	held  map[string]int
	stats Stats
	// jobBytes is the result of JobBytes.
	jobBytes int64
	// liveAttempts is the number of live attempts at the begin of the round and of starts since. startsPending is the number
	// of starts without a reply.
	liveAttempts, startsPending int64
}

// Stats counts decisions since the start of the leader.
type Stats struct {
	// Starts, Stops, Polls and AdviceRequests count orders, including those that failed.
	Starts         int64
	Stops          int64
	Polls          int64 `json:"Looks"`
	AdviceRequests int64 `json:"Asks"`
	// AdviceLost counts the calls to the policy service whose results did not arrive in time.
	AdviceLost int64
	// Quarantined counts quarantines of workers.
	Quarantined int64
	// Vanished, Lapsed and Failures count the ends EndVanished, EndLapsed and EndFailed of attempts whose jobs had not
	// ended.
	Vanished int64
	Lapsed   int64
	Failures int64
	// LostDone counts the attempts that were taken for lost and that their workers listed as done later.
	LostDone int64
	// Crashes counts crashes of workers with attempts, GivenUp the tasks that were given up because of them.
	Crashes int64
	GivenUp int64
	// Moved counts stragglers that were stopped or are to be copied.
	Moved int64
	// Backfilled counts starts on workers that were held for another stage.
	Backfilled int64
}

// attemptBits is the number of low bits of an attempt number that count the attempts of one leader. The bits above hold
// the leader's token, so that a later leader's numbers are higher.
const attemptBits = 24

// New returns a cell without jobs and workers.
func New(cfg Config, now ms) *Cell {
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	return &Cell{
		cfg: cfg, roundAt: now, jobs: map[string]*job{}, workers: map[string]*worker{}, queues: map[string]*Queue{},
		open: map[*stage]struct{}{}, scheduled: map[*job]struct{}{}, inDirty: map[*job]bool{}, suspects: map[string][]suspect{}, restarts: map[string]int64{}, answering: map[string]string{},
		unknownJobs: map[string]*unknownJob{}, begunBefore: map[string]bool{}, unclaimed: map[string]bool{},
		book: ccquota.NewBook(), capWaits: map[*ccquota.Account]*capWait{},
		workerTypes: newWorkerTypeTable(), shares: ccfair.New(), excessLoggedAt: map[string]ms{}, handoverAt: now + cfg.PriorAuthorityMs, authorityUntil: now + cfg.AuthorityMs,
	}
}

// ExtendAuthority allows the leader to give orders until a time, the result of ccquorum.Term.Authority.
func (c *Cell) ExtendAuthority(until ms) {
	c.authorityUntil = max(c.authorityUntil, until)
}

// RevokeAuthority withdraws the authority until the next confirmation. It is called after the process was suspended for
// a time that its clock did not count.
func (c *Cell) RevokeAuthority() {
	c.authorityUntil = 0
}

// HoldStarts stops the starts of tasks, or permits them again. Leases are renewed meanwhile. It is called while the
// registrations of the workers may have changed and can be read soon.
func (c *Cell) HoldStarts(held bool) {
	c.startsHeld = held
}

// Authority returns the time until which the leader may start tasks and renew leases.
func (c *Cell) Authority() ms {
	return c.authorityUntil
}

// SetHandover sets the time at which the authority of the prior leaders ends. A later time than that known is ignored.
func (c *Cell) SetHandover(at ms) {
	if at >= c.handoverAt {
		return
	}
	c.handoverAt = at
	for _, w := range c.workers {
		w.priorLeasesEndAt = min(w.priorLeasesEndAt, at+maxLeaseDuration(c.priorLease(w, w.newestIncarnation())))
	}
}

// maxLeaseDuration returns the time after which a lease has ended even on the slowest clock, including the time to kill
// its tasks.
func maxLeaseDuration(leaseMs ms) ms {
	return ms(float64(leaseMs)/slowestClockRate) + expiryMarginMs
}

// Deposed reports whether a worker has seen a higher token than this leader's.
func (c *Cell) Deposed() bool {
	return c.deposed
}

// TakeOrders returns the orders collected since the last call and clears them.
func (c *Cell) TakeOrders() Orders {
	out := c.orders
	c.orders = Orders{}
	return out
}

// SetQueues activates a configuration. A job whose queue it does not contain keeps the last configuration of that
// queue.
func (c *Cell) SetQueues(queues []Queue) {
	c.queues = map[string]*Queue{}
	for i := range queues {
		c.queues[queues[i].Name] = &queues[i]
	}
}

// queue returns the newest configuration of a job's queue.
func (c *Cell) queue(j *job) *Queue {
	if q := c.queues[j.spec.Queue.Name]; q != nil {
		j.queue = q // Used after the queue is removed from the configuration.
	}
	return j.queue
}

// AddJob adds an accepted job that was found in the store, or marks it as stored when the cell has it already.
func (c *Cell) AddJob(spec *Job, now, nowUnix ms) {
	c.addStored(spec, foundJob, false, now, nowUnix)
}

// AddReportedJob adds an accepted job of which the process that accepted it has told, or marks it as stored. begun is
// true if a prior leader may have started tasks of it.
func (c *Cell) AddReportedJob(spec *Job, begun bool, now, nowUnix ms) {
	c.addStored(spec, reportedJob, begun, now, nowUnix)
	if j := c.jobs[spec.ID]; j.source == foundJob {
		j.source = reportedJob
	}
}

// addStored adds an accepted job, or marks it as stored. begun is true if a prior leader may have started tasks of it.
func (c *Cell) addStored(spec *Job, source jobSource, begun bool, now, nowUnix ms) {
	if j := c.jobs[spec.ID]; j != nil {
		j.adopted = j.adopted || begun
		c.markStored(j, now)
		return
	}
	j := c.insert(spec, source, begun, now, nowUnix)
	c.cfg.Log("job accepted", append([]any{"Job", spec.ID, "Queue", spec.Queue.Name, "Stages", len(spec.Stages), "Tasks", spec.Stages[0].Count, "ChainMs", j.criticalPathMs, "Lasting", spec.LongRunning(), "Source", source, "MayHaveBegun", j.adopted}, teamField(spec)...)...)
	c.publishState(j)
	c.startDueRuns(j, now, nowUnix)
	c.attachOrphans(j, now)
}

// HasJob reports whether the cell has a job that is stored.
func (c *Cell) HasJob(id string) bool {
	j := c.jobs[id]
	return j != nil && !j.unstored
}

// insert adds a job to memory, without runs. begun is true if a prior leader may have started tasks of it.
func (c *Cell) insert(spec *Job, source jobSource, begun bool, now, nowUnix ms) *job {
	j := &job{
		spec: spec, source: source, queue: &spec.Queue, account: c.book.Account(spec.Team), team: c.shares.Team(spec.Team), runs: map[int]*run{},
		arrivedAt: now, acceptedAt: now - spec.age(nowUnix), criticalPathMs: spec.CriticalPathMs(), adopted: begun || now < c.handoverAt || c.begunBefore[spec.ID],
	}
	delete(c.unclaimed, spec.ID)
	c.jobs[spec.ID] = j
	c.jobBytes += spec.LargeBytes()
	if j.team != nil {
		c.arrivals = append(c.arrivals, j)
	}
	return j
}

const (
	// maxOpenRuns bounds the runs of a job that are started at a time, and maxOpenTasks the tasks of these runs. A single
	// run of any size is started.
	maxOpenRuns  = 1000
	maxOpenTasks = MaxStages * maxTasks
)

// openRunLimit returns how many runs of the job may be started at a time.
func (j *job) openRunLimit() int {
	tasks := 0
	for i := range j.spec.Stages {
		tasks += j.spec.Stages[i].Count
	}
	return max(1, min(maxOpenRuns, maxOpenTasks/tasks))
}

// openRuns returns the number of runs that have started and are not done.
func (j *job) openRuns() int {
	n := 0
	for _, r := range j.runs {
		if !r.done {
			n++
		}
	}
	return n
}

// startDueRuns starts the runs of a job that are due. If these are very many, the later ones start when earlier ones are
// done.
func (c *Cell) startDueRuns(j *job, now, nowUnix ms) {
	if j.final != "" || j.withheld {
		return
	}
	if j.spec.ScheduledRuns == 0 {
		if j.runs[0] == nil {
			c.advanceRun(c.newRun(j, 0), now)
		}
		return
	}
	notYet := false
	open, limit := j.openRuns(), j.openRunLimit()
	for ; j.nextRun < j.spec.ScheduledRuns; j.nextRun++ {
		if j.runs[j.nextRun] != nil || j.doneRuns.Has(j.nextRun) {
			continue
		}
		if int64(nowUnix) < j.spec.FirstRunMs+int64(j.nextRun)*j.spec.PeriodMs || open >= limit || !c.hasRoomForRun(j, open) {
			notYet = true
			break
		}
		c.advanceRun(c.newRun(j, j.nextRun), now)
		open++
	}
	if notYet {
		c.scheduled[j] = struct{}{}
	} else {
		delete(c.scheduled, j)
	}
}

// newRun adds a run with all its stages to a job.
func (c *Cell) newRun(j *job, number int) *run {
	r := &run{number: number}
	for i := range j.spec.Stages {
		spec := &j.spec.Stages[i]
		r.stages = append(r.stages, &stage{
			id: StageID{Job: j.spec.ID, Run: number, Stage: i}, job: j, spec: spec, need: spec.Reserved(), done: newBitset(spec.Count),
			failures: map[int][]int64{}, crashes: map[int][]Crash{}, trialWaitSince: map[int]ms{}, checkpoints: map[int]string{}, avoid: map[string]int{}, moves: map[int]int{},
			perWorker: map[*worker]int{}, tickets: newTickets(), lost: map[attemptKey]lostAttempt{},
		})
	}
	j.runs[number] = r
	c.chargeRun(j)
	return r
}

// runOf returns a run of a job, nil if the job has no such run, or the run is done, or the job has ended. It begins a scheduled
// run that is not due by this leader's clock, since a prior leader has: the caller has found tasks of it.
func (c *Cell) runOf(j *job, number int, now ms) *run {
	if r := j.runs[number]; r != nil {
		return r
	}
	if j.final != "" || j.withheld || number < 0 || number >= j.spec.ScheduledRuns || j.doneRuns.Has(number) {
		return nil
	}
	r := c.newRun(j, number)
	c.advanceRun(r, now)
	return r
}

// advanceRun opens the stages whose predecessors are finished. It marks the run as done when all stages are finished,
// and the job as completed when all runs are done.
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
	if j.spec.ScheduledRuns > 0 {
		delete(j.runs, r.number)
		c.creditRuns(j, j.spec.runBytes())
		j.doneRuns.add(r.number)
	}
	if j.doneRuns.Count() >= j.spec.ScheduledRuns {
		c.finish(j, Completed, now)
	}
}

// markDirty records that a job has changes to be written.
func (c *Cell) markDirty(j *job) {
	j.version++
	if !c.inDirty[j] {
		c.inDirty[j] = true
		c.dirty = append(c.dirty, j)
	}
}

// finish sets the final state of a job. Callers see it once it is persisted.
func (c *Cell) finish(j *job, state State, now ms) {
	if j.final != "" {
		return
	}
	j.final = state
	delete(c.scheduled, j)
	c.creditRuns(j, j.runBytes)
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

// Cancel cancels a job unless it has ended. It returns false when the cell does not have the job.
func (c *Cell) Cancel(id string, now ms) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	j.cancelRequested = true
	c.finish(j, Cancelled, now)
	return true
}

// publishState adds the current state of a job to the orders, for the processes that reply to callers. An unstored job
// has no state for them.
func (c *Cell) publishState(j *job) {
	if j.unstored {
		return
	}
	c.orders.Changes = append(c.orders.Changes, StateChange{Job: j.spec.ID, State: c.stateOf(j), Team: j.spec.Team})
}

// stateOf returns the state of a job as published to callers.
func (c *Cell) stateOf(j *job) State {
	switch {
	case j.published != "":
		return j.published
	case j.started:
		return Running
	}
	return Queued
}

// States returns the published state of every job.
func (c *Cell) States() []StateChange {
	out := make([]StateChange, 0, len(c.jobs))
	for _, j := range c.jobs {
		if !j.unstored {
			out = append(out, StateChange{Job: j.spec.ID, State: c.stateOf(j), Team: j.spec.Team})
		}
	}
	return out
}

// QueuedJobs returns the number of accepted jobs without a started task, by queue.
func (c *Cell) QueuedJobs() map[string]int {
	out := map[string]int{}
	for _, j := range c.jobs {
		if !j.started && j.final == "" && !j.unstored {
			out[j.spec.Queue.Name]++
		}
	}
	return out
}

// RemoveEndedJobs drops the jobs that arrived before a time, whose final state is published, and that have no live
// attempts.
func (c *Cell) RemoveEndedJobs(arrivedBefore ms) {
	for address := range c.suspects {
		c.forgetSuspects(address)
	}
	for id, j := range c.jobs {
		if j.published != "" && j.liveAttempts == 0 && j.arrivedAt < arrivedBefore {
			delete(c.jobs, id)
			c.jobBytes -= j.spec.LargeBytes()
		}
	}
}
