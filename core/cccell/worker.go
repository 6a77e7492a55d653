package cccell

import (
	"strings"

	"coriandercross/core/ccwork"
)

// WorkerInfo is what a worker says of itself in the store.
type WorkerInfo struct {
	ID      string
	Address string
	Service string
	Zone    string
	// Kind and Rack are read from the labels.
	Labels   []string
	Capacity ccwork.Size
	// IncarnationMs is the Unix time of the worker's start: it tells one life from the next.
	IncarnationMs int64 `cbor:"BornMs"`
	Draining      bool
	// DrainLeftMs is the least time until a draining worker leaves.
	DrainLeftMs int64
}

// Rack returns the label that names the rack, "" when there is none. A rack's label has a dash.
func (w *WorkerInfo) Rack() string {
	for _, l := range w.Labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// Kind returns the label that names the kind of worker, "" when there is none.
func (w *WorkerInfo) Kind() string {
	for _, l := range w.Labels {
		if !strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// has reports whether the worker carries a label.
func (w *WorkerInfo) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// worker is one worker in a cell's memory.
type worker struct {
	info WorkerInfo
	rack string
	kind string
	// listed is false when the store has no entry of the worker any more.
	listed bool
	// looked is true when this leader has read the worker's lists in its present life.
	admitted bool
	// life is the start that the worker named in its last answer; 0 before the first.
	incarnation int64
	used        ccwork.Size
	attempts    map[attemptKey]*attempt
	// unknown counts attempts of unknown size: nothing is started beside them.
	orphans int
	// clock and clockAt pair the worker's clock with ours: at clockAt or before, the worker's clock stood at clock.
	clock   int64
	clockAt ms
	// until is the latest lease that was ever sent, on the worker's clock.
	leaseUntil int64
	// seen is the number of the last end that the store and this process are done with, heard the last one read.
	ackedEnd, readEnd int64
	// told is the highest number that the worker was told to forget up to.
	confirmedAck int64
	unackedEnds  []unackedEnd
	pollInFlight bool
	// hurried is true while a second look, that does not wait, is under way: one that waits can't tell what a stop has settled.
	urgentPollInFlight bool
	// readAt is when the last look that was answered was sent.
	answeredPollSentAt ms
	// listedAt is the worker's clock at the newest lists that were read. Older ones may arrive later.
	listsClock int64
	pollSentAt ms
	pollDoneAt ms
	// silentSince is when calls began to go unanswered, 0 while they are answered.
	silentSince ms
	// drainSince is when the worker was first seen to drain, 0 when it does not.
	drainSince ms
	// freeAt is when every lease of an earlier leader must have lapsed, for a worker that was never reached.
	priorLeasesEndAt ms
	health           health
	slowdown         slowdown
}

// endDep says that an end may be forgotten when the store has a version of a job.
type unackedEnd struct {
	number  int64
	job     *job
	version int64
}

// born returns the start of the worker's present life, as far as it is known.
func (w *worker) newestIncarnation() int64 {
	return max(w.incarnation, w.info.IncarnationMs)
}

// free returns the room that is left.
func (w *worker) free() ccwork.Size {
	return w.info.Capacity.Minus(w.used)
}

// usable reports whether tasks may be started on the worker at all.
func (w *worker) usable(now ms) bool {
	return w.listed && w.admitted && w.drainSince == 0 && w.silentSince == 0 && w.orphans == 0 && w.health.usable(now)
}

// hold puts an attempt on the worker's books.
func (w *worker) addAttempt(a *attempt) {
	w.attempts[attemptKey{a.task, a.number}] = a
	w.used = w.used.Plus(a.need)
	if a.stage == nil {
		w.orphans++
		return
	}
	s := a.stage
	s.tasks[a.task.Index] = append(s.tasks[a.task.Index], a)
	s.perWorker[w]++
	s.job.liveAttempts++
}

// release takes an attempt off the books.
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
	list := s.tasks[a.task.Index]
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
}

// clockNow returns a lower bound of the worker's clock; ok is false before the first answer.
func (w *worker) clockNow(now ms) (clock int64, ok bool) {
	if w.clockAt == 0 {
		return 0, false
	}
	return w.clock + int64(float64(now-w.clockAt)*slowestClockRate), true
}

// lapsed reports whether every lease that was sent to the worker must have ended by now.
func (w *worker) leasesExpired(now ms) bool {
	if clock, ok := w.clockNow(now); ok {
		return now >= w.priorLeasesEndAt && clock > w.leaseUntil+expiryMarginMs
	}
	return now >= w.priorLeasesEndAt
}

// nextUntil returns the end of a lease that begins now, on the worker's clock, and 0 when the clock is unknown.
func (w *worker) nextLeaseEnd(now ms, lease ms) int64 {
	if w.clockAt == 0 {
		return 0
	}
	// Counted from the lower bound, so that no lease is longer than its length on any clock.
	clock, _ := w.clockNow(now)
	return max(w.leaseUntil, clock+int64(lease))
}

const (
	// slowestClock is the rate of the slowest worker clock that the platform allows: 2 % slow.
	slowestClockRate = 0.98
	// lapseMarginMs covers the time that a worker takes to kill what has lapsed.
	expiryMarginMs = 250
)
