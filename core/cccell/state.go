package cccell

import (
	"coriandercross/core/ccfair"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccruntimes"
	"coriandercross/core/ccwork"
)

// job is the in-memory state of a job.
type job struct {
	// spec is shared with the code that accepted the job, so it is read-only.
	spec *Job
	// queue is the newest known configuration of the job's queue.
	queue *Queue
	// account is that of the job's team.
	account *ccquota.Account
	// runs holds the runs that have started, by number, but for scheduled runs that are done; these are in doneRuns. A job
	// without a schedule has only run 0.
	runs     map[int]*run
	doneRuns RunSet
	// withheld is true for a job that is not run; see StoredJob.Unreadable.
	withheld bool
	// All runs below nextRun have started.
	nextRun int
	// runBytes is what the open runs of a scheduled job occupy, in bytes.
	runBytes int64
	// final is the final state as decided, or empty. It is published once it is persisted.
	final State
	// published is the final state as published to callers, or empty. It is persisted.
	published State
	// started is true once a task was started.
	started bool
	// revision is the store revision of the progress record, 0 when there is none.
	revision int64
	// version counts the changes to be written; persisted is the newest version that the store has.
	version, persisted int64
	// adopted is true when a prior leader may have started tasks of the job.
	adopted bool
	// unstored is true until the submission is known to be in the store.
	unstored bool
	// endsStored is true when the store may hold ends of the job's tasks that were found before the job was known.
	endsStored bool
	// source says how the leader has learned of the job.
	source jobSource
	// cancelRequested is true when the store holds a cancel request.
	cancelRequested bool
	// arrivedAt is when this process learned of the job. For an adopted job it is earlier by the job's age, up to
	// maxAdoptedAgeMs.
	arrivedAt ms
	// liveAttempts counts the attempts that hold capacity of a worker, running is what they hold but for long-running
	// ones.
	liveAttempts int
	running      ccwork.Size
	// criticalPathMs is the result of Job.CriticalPathMs. chainMs is that of Cell.learnedChainMs at chainAt.
	criticalPathMs int64
	chainMs        int64
	chainAt        ms
	// team is the account of the job's team, nil for a job without one. acceptedAt is when the job was accepted, as far as
	// the clocks of the processes agree; excess is true for a job beyond the budget of its team.
	team       *ccfair.Team
	acceptedAt ms
	excess     bool
}

// jobSource is how a leader has learned of a job. It appears in logs.
type jobSource string

const (
	// loadedJob: read from the store at the takeover.
	loadedJob jobSource = "Loaded"
	// foundJob: found in the store since, and no process has told of it yet.
	foundJob jobSource = "Found"
	// reportedJob: the process that accepted it has told of it.
	reportedJob jobSource = "Reported"
	// unstoredJob: the process that received it has asked to run it before it is stored.
	unstoredJob jobSource = "Unstored"
)

// run is one run of a job.
type run struct {
	number int
	stages []*stage
	done   bool
}

// stage is the state of one stage in one run.
type stage struct {
	id   StageID
	job  *job
	spec *Stage
	// need is the capacity that a task reserves at a worker.
	need ccwork.Size
	done bitset
	// tasks holds the live attempts of each task, up to the last task that has had one; see live. A job may have a few
	// hundred thousand tasks.
	tasks [][]*attempt
	// failures holds the numbers of the failed attempts of each task. Those of a gang are under task 0.
	failures map[int][]int64
	// crashes holds the crashes of workers under each task. trialWaitSince holds the times since which tasks wait for a
	// worker for their trial.
	crashes        map[int][]Crash
	trialWaitSince map[int]ms
	// checkpoints holds the newest checkpoint of each task. That of a gang is under task 0.
	checkpoints map[int]string
	// lost holds the attempts that were taken for lost.
	lost map[attemptKey]lostAttempt
	// durations holds the durations of completed tasks in ms, scaled to the fastest worker type in the rack of the
	// data.
	durations []float64
	// moves counts how often each task was moved or copied as a straggler.
	moves map[int]int
	// avoid counts, by worker ID, the tasks of the stage that failed there or were moved away as stragglers.
	avoid map[string]int
	// ready is true when the preceding stages are finished.
	ready   bool
	readyAt ms
	// perWorker counts the live attempts on each worker.
	perWorker map[*worker]int
	tickets   tickets
	// held holds the workers that were held for the stage in the last round; see Cell.holdWorkers.
	held map[*worker]bool
	// notBefore is the end of the delay after a start or an advice request that failed.
	notBefore ms
	// unplaced is the number of tasks to be started in this round, ahead that of the stages that are placed before.
	unplaced int
	// overCap is the reason for the delay of the tasks that the cap of the team does not admit in this round, or empty if
	// it admits all.
	overCap string
	ahead   int
	// placementDelay is the time since the stage became ready in which its tasks could not be started.
	placementDelay placementDelay
	// estimatedLeftMs is the result of stage.leftByEstimatesMs, 0 before its first call.
	estimatedLeftMs int64
	// prediction is the result of Cell.predict at predictedAt, 0 for never.
	prediction  ccruntimes.Prediction
	predictedAt ms
}

// placementDelay adds up the time in which a stage had tasks that could not be started, by reason.
type placementDelay struct {
	// lastAt is the end of the time added so far; lastReason is the reason for the delay since then, or empty while
	// there is none.
	lastAt     ms
	lastReason string
	byReason   map[string]ms
	// logged and waitLogged are true once logPlacementDelay and logWaiting have logged the stage.
	logged, waitLogged bool
}

// Reasons for a placement delay. With the suffix Ms, the values are log keys.
const (
	// delayHandover: the handover from the prior leader is not complete.
	delayHandover = "Settle"
	// delayRetry: a start or an advice request has failed, and the time of the retry is not reached.
	delayRetry = "Pause"
	// delayTicket: the reply of the policy service is pending.
	delayTicket = "Ticket"
	// delayCapacity: the workers that may run the tasks have too little free capacity for all of them.
	delayCapacity = "Room"
	// delayCap: the team has as much running as its cap admits.
	delayCap = "Cap"
	// delayTrial: a task that was lost with its worker waits for a worker without another trial, or for an empty one.
	delayTrial = "Trial"
	// delayRound: no scheduling round has processed the stage since it became ready.
	delayRound = "Turn"
)

// add adds the time since the last call under the reason that was passed then, and keeps the reason for the next call.
func (d *placementDelay) add(now ms, reason string) {
	if d.byReason == nil {
		d.byReason = map[string]ms{}
		d.lastReason = delayRound
	}
	d.byReason[d.lastReason] += now - d.lastAt
	d.lastAt, d.lastReason = now, reason
}

// needsStart reports whether task i has to be started: it is not done and has no live attempt, or its only attempt is a
// straggler that may be copied.
func (s *stage) needsStart(i int) bool {
	switch live := s.live(i); {
	case s.done.has(i) || len(live) > 1:
		return false
	case len(live) == 1:
		return s.spec.Speculative && len(s.crashes[i]) == 0 && live[0].straggler && !live[0].stopWanted && s.moves[i] == 1
	}
	return true
}

// live returns the live attempts of task i.
func (s *stage) live(i int) []*attempt {
	if i >= len(s.tasks) {
		return nil
	}
	return s.tasks[i]
}

// finished reports whether every task is done.
func (s *stage) finished() bool {
	return s.done.count() >= s.spec.Count
}

// attemptState says what is known about the start of an attempt.
type attemptState int

const (
	// ordered means that the start was sent and the reply is pending.
	ordered attemptState = iota
	// inDoubt means that the reply to the start was lost: the worker may execute it at any time.
	inDoubt
	// running means that the worker has confirmed the start.
	running
)

// attempt is one start of a task on a worker. It holds capacity there until it is certain that it has ended.
type attempt struct {
	task    TaskID
	number  int64
	stage   *stage // nil for an orphan: no job in memory has the task
	worker  *worker
	need    ccwork.Size
	state   attemptState
	percent int
	// progressAt is when percent last increased.
	progressAt ms
	sentAt     ms
	// inDoubtSince is when the start became in doubt.
	inDoubtSince ms
	// confirmedAt is when the worker confirmed the start or a stop, 0 before that. A poll sent later shows the attempt
	// if it exists.
	confirmedAt ms
	// incarnation is the incarnation of the worker that is known to have executed the start, 0 for none. confirmedClock is
	// the worker's clock in a confirmation of the start that names no incarnation.
	incarnation    int64
	confirmedClock int64
	// priorIncarnation is an earlier incarnation that may have executed the start instead of the present one, 0 for none.
	priorIncarnation int64
	// stopWanted is true when the attempt has to be stopped. stopSentAt is when a stop was last sent, stopInFlight is
	// true while its reply is pending, and stopConfirmed is true once a stop was confirmed.
	stopWanted    bool
	stopSentAt    ms
	stopConfirmed bool
	stopInFlight  bool
	// trial is true until a task that was lost with an earlier worker has run for trialMs. alone is true while the
	// attempt holds the whole capacity of its worker for that.
	trial, alone bool
	// straggler is true when the attempt was found to be a straggler.
	straggler bool
	// adopted is true when a prior leader started the attempt, so that the time of its start is not known.
	adopted bool
	// resumed is true when the attempt continues from a checkpoint.
	resumed bool
	// expectedMs is the predicted duration, scaled to the fastest worker type in the rack of the data, 0 for none.
	expectedMs float64
}

// attemptKey identifies an attempt on a worker.
type attemptKey struct {
	task   TaskID
	number int64
}
