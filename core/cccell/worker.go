package cccell

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// WorkerInfo is the registration of a worker in the store. The roster stores it under these field names.
type WorkerInfo struct {
	ID      string
	Address string
	Service string
	Zone    string
	// Labels contain the worker type and the rack; see Kind and Rack.
	Labels   []string
	Capacity ccwork.Size
	// IncarnationMs is the start time of the worker's process in Unix milliseconds. It identifies the incarnation.
	IncarnationMs int64 `cbor:"BornMs"`
	Draining      bool
	// DrainLeftMs is the minimum time until a draining worker leaves.
	DrainLeftMs int64
	// LongLease is true in a roster while the worker may hold a lease that is longer than those of the leader record.
	LongLease bool `cbor:",omitempty"`
}

// ErrBadWorker reports a registration that names no worker to use.
var ErrBadWorker = errors.New("worker can't be used")

const (
	// maxNameBytes bounds each text of a registration, and maxLabels the number of labels, so that no registration makes
	// the roster too large for the store.
	maxNameBytes = 256
	maxLabels    = 32
	// maxIncarnationMs bounds the start time of a worker's process, in Unix milliseconds.
	maxIncarnationMs = 1 << 42
)

// largestWorker bounds the capacity of a worker, so that sums over all workers don't overflow.
var largestWorker = ccwork.Size{MilliCores: 1e9, MemoryMB: 1e9, Accelerators: 1e6}

// Check returns ErrBadWorker for a registration that names no worker to use. It does not check that the address can be
// called.
func (w *WorkerInfo) Check() error {
	for _, f := range []struct{ name, value string }{{"ID", w.ID}, {"address", w.Address}, {"service", w.Service}} {
		if f.value == "" {
			return errors.Wrapf(ErrBadWorker, "%s is empty", f.name)
		}
	}
	for _, text := range append([]string{w.ID, w.Address, w.Service, w.Zone}, w.Labels...) {
		if len(text) > maxNameBytes {
			return errors.Wrapf(ErrBadWorker, "a text has %d bytes; use up to %d", len(text), maxNameBytes)
		}
	}
	// A header of HTTP carries the ID. It is trimmed there, so that it could become that of another worker.
	if strings.ContainsFunc(w.ID, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r == utf8.RuneError }) {
		return errors.Wrapf(ErrBadWorker, "ID %q has a space, a control character or bytes that are not UTF-8", w.ID)
	}
	if len(w.Labels) > maxLabels {
		return errors.Wrapf(ErrBadWorker, "%d labels; use up to %d", len(w.Labels), maxLabels)
	}
	if err := w.Capacity.Check(); err != nil {
		return errors.Mark(errors.Wrapf(err, "capacity %+v", w.Capacity), ErrBadWorker)
	}
	if name := w.Capacity.TooLarge(largestWorker); name != "" {
		return errors.Wrapf(ErrBadWorker, "capacity %+v: %s is too large", w.Capacity, name)
	}
	if w.IncarnationMs < 0 || w.IncarnationMs > maxIncarnationMs {
		return errors.Wrapf(ErrBadWorker, "start time %d; use 0 to %d", w.IncarnationMs, int64(maxIncarnationMs))
	}
	return nil
}

// Rack returns the label that names the rack, or "". The label of a rack contains a dash.
func (w *WorkerInfo) Rack() string {
	for _, l := range w.Labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// Kind returns the label that names the worker type, or "". It is the first label without a dash.
func (w *WorkerInfo) Kind() string {
	for _, l := range w.Labels {
		if !strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

func (w *WorkerInfo) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// worker is the in-memory state of a worker.
type worker struct {
	info       WorkerInfo
	rack       string
	workerType string
	// knownAt is when this leader learned of the worker.
	knownAt ms
	// listed is false when the worker's registration was removed from the store.
	listed bool
	// recorded is false while the next leader might not know of the worker, so that it gets no tasks; see Cell.SetRecorded.
	recorded bool
	// admitted is true when this leader has read the task lists of the worker's current incarnation. Only an admitted
	// worker gets tasks.
	admitted bool
	// incarnation is the newest incarnation that a reply of the worker has named, 0 before the first; incarnationAt is
	// when the leader learned of it.
	incarnation   int64
	incarnationAt ms
	used          ccwork.Size
	// bestEffort is the number of cores in thousandths that best-effort tasks would use if they were idle. They are not
	// part of used.
	bestEffort int64
	// largest is the largest capacity that this leader has seen registered.
	largest  ccwork.Size
	attempts map[attemptKey]*attempt
	// orphans counts attempts whose job is not in memory. Their size is not known, so no task is placed while there are
	// any.
	orphans int
	// clock is the worker's clock as reported by the newest reply, which arrived at clockAt. The worker read its clock
	// at clockAt or earlier.
	clock   int64
	clockAt ms
	leases  leases
	// ackedEnd is the highest end number whose change is persisted, so that the worker may forget it; readEnd is the
	// highest one read.
	ackedEnd, readEnd int64
	// confirmedAck is the highest AckedEnd of a poll that the worker answered.
	confirmedAck int64
	unackedEnds  []unackedEnd
	pollInFlight bool
	// urgentPollInFlight is true while a second poll, which the worker answers at once, is in flight. It is sent when a
	// stop was confirmed during a long poll, whose reply can't be trusted to show the effect of the stop.
	urgentPollInFlight bool
	// answeredPollSentAt is the time at which the newest answered poll was sent, readPollSentAt that of the newest one whose reply
	// had all ends.
	answeredPollSentAt, readPollSentAt ms
	// moreEnds is true if the worker may have ends that it has not listed: it lists the next ones once it has forgotten those
	// before.
	moreEnds bool
	// listsClock is the worker's clock at the newest lists that were read. Replies with older lists may arrive later.
	listsClock int64
	pollSentAt ms
	pollDoneAt ms
	// failedPolls counts the polls that failed since the last one that the worker executed.
	failedPolls int
	// failedPollSentAt is when the newest poll that failed was sent.
	failedPollSentAt ms
	// replyDelayMs is the time that replies to polls have needed lately, beyond what the poll allowed.
	replyDelayMs ms
	// silentSince is when a poll first failed, for any reason, or a start did not reach the worker. It is 0 again after
	// the next poll or stop that the worker executes, or start that it replies to.
	silentSince ms
	// fellSilentAt is the last time at which silentSince was set, silentTrialJob the job that had a trial there then.
	fellSilentAt   ms
	silentTrialJob string
	// drainSince is when the worker was first seen to drain, 0 when it does not drain.
	drainSince ms
	// priorLeasesEndAt is when the leases of prior leaders have ended at a worker that this leader has not reached.
	priorLeasesEndAt ms
	// priorInfo is the worker in the prior leader's roster, without ID if it is not there.
	priorInfo WorkerInfo
	health    health
	slowdown  slowdown
	// heldFor is the stage that the worker is held for in this round, or nil; see Cell.holdWorkers.
	heldFor *stage
	// heldMs is the time after which the worker is needed for heldFor, 0 when it is not known.
	heldMs int64
}

// unackedEnd is an end that the worker may forget once the store has a version of a job, or of the ends of an unknown
// job. Both are nil when there is nothing to be stored.
type unackedEnd struct {
	number  int64
	job     *job
	unknown *unknownJob
	version int64
}

// stored reports whether the store has what the end has changed.
func (e *unackedEnd) stored() bool {
	switch {
	case e.job != nil:
		return e.job.persisted >= e.version
	case e.unknown != nil:
		return e.unknown.persisted >= e.version
	}
	return true
}

// newestIncarnation returns the newest incarnation that the worker or the store has reported.
func (w *worker) newestIncarnation() int64 {
	return max(w.incarnation, w.info.IncarnationMs)
}

// free returns the capacity that no attempt holds.
func (w *worker) free() ccwork.Size {
	return w.info.Capacity.Minus(w.used)
}

// usable reports whether tasks may be started on the worker, in quarantine only those that no other may run. On a worker without
// cores even best-effort tasks would make no progress.
func (w *worker) usable(now ms) bool {
	return w.listed && w.recorded && w.admitted && w.drainSince == 0 && w.silentSince == 0 && !w.repliesLate() && w.orphans == 0 && w.info.Capacity.MilliCores > 0 && (w.health.usable(now) || w.health.lastResort(now))
}

// usableWorker reports whether tasks may be started on a worker as far as its earlier incarnations are concerned, too.
func (c *Cell) usableWorker(w *worker, now ms) bool {
	return w.usable(now) && !c.awaitsLeaseRecord(w, now) && !c.unfenced(w)
}

// addAttempt adds an attempt, which holds capacity from then on.
func (w *worker) addAttempt(a *attempt) {
	w.attempts[attemptKey{a.task, a.number}] = a
	w.used = w.used.Plus(a.need)
	if a.stage == nil {
		w.orphans++
		return
	}
	s := a.stage
	for len(s.tasks) <= a.task.Index {
		s.tasks = append(s.tasks, nil)
	}
	s.tasks[a.task.Index] = append(s.tasks[a.task.Index], a)
	s.perWorker[w]++
	s.job.liveAttempts++
	s.job.account.Charge(s.spec.Size)
	s.use(a.need)
	w.bestEffort += s.spec.bestEffortCores()
}

// removeAttempt removes an attempt and frees its capacity. It does nothing when the attempt was removed already.
func (w *worker) removeAttempt(a *attempt) {
	key := attemptKey{a.task, a.number}
	if w.attempts[key] != a {
		return
	}
	delete(w.attempts, key)
	w.used = w.used.Minus(a.need)
	if a.stage == nil {
		w.orphans--
		return
	}
	s := a.stage
	list := s.live(a.task.Index)
	for i, other := range list {
		if other == a {
			s.tasks[a.task.Index] = append(list[:i], list[i+1:]...)
			break
		}
	}
	s.perWorker[w]--
	if s.perWorker[w] == 0 {
		delete(s.perWorker, w)
	}
	s.job.liveAttempts--
	s.job.account.Release(s.spec.Size)
	s.release(a.need)
	w.bestEffort -= s.spec.bestEffortCores()
}

// clockNow returns a lower bound of the worker's clock; ok is false before the first reply.
func (w *worker) clockNow(now ms) (clock int64, ok bool) {
	if w.clockAt == 0 {
		return 0, false
	}
	return w.clock + int64(float64(now-w.clockAt)*slowestClockRate), true
}

// leasesExpired reports whether all leases at the worker have ended for certain and its tasks are killed.
func (w *worker) leasesExpired(now ms) bool {
	if clock, ok := w.clockNow(now); ok {
		return now >= w.priorLeasesEndAt && w.leases.expired(clock)
	}
	return now >= w.priorLeasesEndAt
}

// giveLease returns the end of the lease that an order gives which is sent now, on the worker's clock, or 0 when that clock is
// not known.
func (w *worker) giveLease(now ms, length ms) int64 {
	// The lower bound of the clock is used so that the lease is not longer than the given length on the worker's clock.
	clock, known := w.clockNow(now)
	if !known {
		return 0
	}
	until := w.leases.next(clock, length)
	w.leases.give(until)
	return until
}

const (
	// slowestClockRate is the rate of the slowest worker clock that the platform allows: 2 % slow.
	slowestClockRate = 0.98
	// expiryMarginMs covers the time that a worker takes to kill the tasks of an ended lease.
	expiryMarginMs = 250
)
