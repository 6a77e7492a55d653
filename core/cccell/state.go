package cccell

import "coriandercross/core/ccwork"

// job is a job in a cell's memory.
type job struct {
	// spec is shared with whoever accepted the job: it is never written.
	spec *Job
	// queue is the newest known configuration of its queue.
	queue *Queue
	// runs holds the scheduled runs that have begun, by number; a job without a schedule has run 0.
	runs map[int]*run
	// final is set as soon as it is decided; it is shown when the store has it.
	final State
	// shown is the final state that the store has, or empty.
	published State
	// started is true once a task was started.
	started bool
	// revision is that of the stored progress, 0 for none.
	revision int64
	// version counts changes that the store must have; noted is the highest that it has.
	version, persisted int64
	// adopted is true when an earlier leader may have started tasks of the job.
	adopted bool
	// cancelKey is true when the store holds a request to cancel.
	cancelRequested bool
	// arrived is when this process learned of the job.
	arrivedAt ms
	// live counts the attempts that hold room somewhere.
	liveAttempts int
}

// run is one scheduled run of a job.
type run struct {
	number int
	stages []*stage
	done   bool
}

// stage is a stage of one run.
type stage struct {
	id   StageID
	job  *job
	spec *Stage
	// need is what a task takes of a worker's room.
	need ccwork.Size
	done bitset
	// tasks holds the live attempts of each task.
	tasks [][]*attempt
	// failures holds the failed attempts of each task; those of a gang stand under task 0.
	failures map[int][]int64
	// saved holds the newest checkpoint of each task; a gang's stands under task 0.
	checkpoints map[int]string
	// took holds how long tasks that are done took, on the scale of the fastest kind beside the data.
	durations []float64
	// moves counts how often each task was moved for lagging.
	moves map[int]int
	// avoid holds the workers on which a task of the stage failed.
	avoid map[string]int
	// ready is true when the stages before it are done.
	ready   bool
	readyAt ms
	// perWorker counts the live attempts on a worker.
	perWorker map[*worker]int
	tickets   tickets
	// notBefore delays the next attempt of a stage that failed to start.
	notBefore ms
	// missing is the number of tasks that wait.
	unplaced int
	// waits says for how long, since the stage's turn came, tasks could not be started, and why.
	placementDelay placementDelay
}

// waits adds up what a stage waited for, in milliseconds.
type placementDelay struct {
	// lastAt is the end of the time that is added up, lastWhy what it was waited for then.
	lastAt     ms
	lastReason string
	byReason   map[string]ms
	logged     bool
}

// What a stage waits for.
const (
	// waitSettle: workers that an earlier leader used were not read yet.
	delayHandover = "Settle"
	// waitPause: a try failed a moment ago.
	delayRetry = "Pause"
	// waitTicket: the policy service has to answer.
	delayTicket = "Ticket"
	// waitRoom: no worker that may run the tasks has room.
	delayCapacity = "Room"
	// waitTurn: the leader was busy with something else.
	delayRound = "Turn"
)

// waited adds the time since the last call to what was waited for then.
func (d *placementDelay) add(now ms, reason string) {
	if d.byReason == nil {
		d.byReason = map[string]ms{}
		d.lastReason = delayRound
	}
	d.byReason[d.lastReason] += now - d.lastAt
	d.lastAt, d.lastReason = now, reason
}

// idle reports whether task i has to be started: it is not done, and no attempt is live, or only one that lags and may be copied.
func (s *stage) needsStart(i int) bool {
	switch live := s.tasks[i]; {
	case s.done.has(i) || len(live) > 1:
		return false
	case len(live) == 1:
		return s.spec.Speculative && live[0].straggler && !live[0].stopWanted && s.moves[i] == 1
	}
	return true
}

// finished reports whether every task is done.
func (s *stage) finished() bool {
	return s.done.count() >= s.spec.Count
}

// attemptState is what is known of an attempt.
type attemptState int

const (
	// ordered means that a start was sent and not answered yet.
	ordered attemptState = iota
	// inDoubt means that a start was sent and its answer was lost: it may be carried out at any time.
	inDoubt
	// running means that the worker has confirmed the start.
	running
)

// attempt is one start of a task on a worker. It holds room there until its end is certain.
type attempt struct {
	task    TaskID
	number  int64
	stage   *stage // nil when the job is unknown
	worker  *worker
	need    ccwork.Size
	state   attemptState
	percent int
	// movedAt is when percent last grew.
	progressAt ms
	sentAt     ms
	// doubtSince is when the start was given up without an answer.
	inDoubtSince ms
	// surelySince is when the worker confirmed the start, or a stop: a look sent later shows the attempt, or it does not exist.
	confirmedAt ms
	// stopping is true when a stop is wanted; stopSent is when one was last sent and stopped when one was confirmed.
	stopWanted    bool
	stopSentAt    ms
	stopConfirmed bool
	stopInFlight  bool
	// moved is true when the attempt was found to lag.
	straggler bool
	// adopted is true when an earlier leader started the attempt, so that the time of its start is not known.
	adopted bool
}

// attemptKey names an attempt on a worker.
type attemptKey struct {
	task   TaskID
	number int64
}
