package cccell

import (
	"slices"

	"coriandercross/core/ccwork"
)

// Crashed workers. Load: a task crashes each worker that starts it. All tasks that run there are lost with it, so a task
// that is simply started again takes down worker after worker. Every task that ran on a crashed worker is a suspect,
// and most of them are innocent: a rack that lost its power must not fail jobs. So a suspect gets a trial: it starts on
// a worker without another trial, and on an empty one if possible, where nothing else is started until the task has
// run for trialMs. A crash during a trial on such a worker can't be the fault of another task.

const (
	// recentStartMs is the running time up to which an attempt is the likely cause of a crash.
	recentStartMs ms = 1000
	// trialMs is the time for which a task has to run until its trial is over.
	trialMs ms = 500
	// maxEmptyWaitMs is the longest wait of a task for an empty worker, maxTrialWaitMs that for one without another trial.
	// Long-running tasks may leave no worker empty, and a small service has few workers for the trials of many tasks.
	maxEmptyWaitMs ms = 1000
	maxTrialWaitMs ms = 1500
	// crashesBeforeEmpty is the number of crashes after which a task waits for an empty worker.
	crashesBeforeEmpty = 2
	// crashesToBlame is the number of crashes after which a task is given up if each of them is its fault by all that is
	// known, or the last one is for certain. One more than two, since a worker that was cut off may have crashed much later
	// than it fell silent, when the task had ended.
	crashesToBlame = 3
	// maxCrashes is the number of crashes after which a task is given up without further evidence. The platform allows
	// two starts after the third crash; one of them is left for crashes that a change of the leader hides.
	maxCrashes = 4
	// suspectAllPolls is the number of polls that fail in a row until all attempts of a worker are suspects. A connection
	// that was reset fails one.
	suspectAllPolls = 2
	// A worker is lost together with others when lostTogetherWorkers or more fall silent within lostTogetherMs of it.
	lostTogetherWorkers    = 2
	lostTogetherMs      ms = 500
)

// Crash is the crash of a worker while an attempt at a task may have run there.
type Crash struct {
	Attempt int64 `cbor:"1,keyasint"`
	// RanMs is how long the attempt had run.
	RanMs int64 `cbor:"2,keyasint,omitempty"`
	// Alone is true when no other task ran on the worker.
	Alone bool `cbor:"3,keyasint,omitempty"`
	// Confirmed is true once a process that was started later was found at the address of the worker. Until then, the
	// worker may have been cut off.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Address and IncarnationMs are those of the worker.
	Address       string `cbor:"5,keyasint"`
	IncarnationMs int64  `cbor:"6,keyasint"`
	// Together is true when several other workers were lost at the same time, as with a rack.
	Together bool `cbor:"7,keyasint,omitempty"`
	// Started is true when the worker had confirmed the start. The attempt may not have run otherwise.
	Started bool `cbor:"8,keyasint,omitempty"`
}

// recent reports whether the attempt had just started.
func (k *Crash) recent() bool {
	return ms(k.RanMs) < recentStartMs
}

// incriminating reports whether the crash speaks against the task: it ran, had just started, and no other workers were
// lost then.
func (k *Crash) incriminating() bool {
	return k.Started && k.recent() && !k.Together
}

// blamed reports whether a task with these crashes is given up: all of them speak against it; or the last one does, and
// it was alone on the worker; or there are too many.
func blamed(crashes []Crash) bool {
	n, all := 0, true
	var last *Crash
	for i := range crashes {
		if k := &crashes[i]; k.Confirmed {
			n++
			all = all && k.incriminating()
			last = k
		}
	}
	return n >= maxCrashes || (n >= crashesToBlame && (all || (last.Alone && last.incriminating())))
}

// onTrial reports whether the next attempt at task i is a trial. Crashes that are not confirmed count.
func (s *stage) onTrial(i int, now ms) bool {
	if s.spec.Gang || s.waitedForTrial(i, now) >= maxTrialWaitMs {
		return false // The tasks of a gang can only run all at the same time.
	}
	crashes := s.crashes[i]
	return len(crashes) >= crashesBeforeEmpty || (len(crashes) > 0 && crashes[len(crashes)-1].recent())
}

// trials returns the tasks to be started of which the start is a trial.
func (s *stage) trials(now ms) []int {
	if len(s.crashes) == 0 {
		return nil
	}
	var out []int
	for i := range s.spec.Count {
		if s.needsStart(i) && s.onTrial(i, now) {
			out = append(out, i)
		}
	}
	return out
}

// waitsForEmpty reports whether the trial of task i is not started on a worker with other tasks.
func (s *stage) waitsForEmpty(i int, now ms) bool {
	return len(s.crashes[i]) >= crashesBeforeEmpty && s.waitedForTrial(i, now) < maxEmptyWaitMs
}

// waitedForTrial returns how long task i has waited for a worker for its trial.
func (s *stage) waitedForTrial(i int, now ms) ms {
	if since, waits := s.trialWaitSince[i]; waits {
		return now - since
	}
	return 0
}

// suspectRecent records the attempts that started shortly before a worker fell silent. The next leader then knows them
// if this one ends before the worker's leases do.
func (c *Cell) suspectRecent(w *worker, now ms) {
	for _, a := range w.attempts {
		if a.ranUntilSilentMs(now) < recentStartMs {
			c.suspectCrash(a, now)
		}
	}
}

// suspectAll records the attempts on a worker that is lost.
func (c *Cell) suspectAll(w *worker, now ms) {
	for _, a := range w.attempts {
		c.suspectCrash(a, now)
	}
}

// suspectCrash records for an attempt that its worker may have crashed.
func (c *Cell) suspectCrash(a *attempt, now ms) {
	w, s := a.worker, a.stage
	ran := a.ranUntilSilentMs(now)
	if a.adopted {
		ran = max(ran, recentStartMs) // It has run since before this leader's term.
	}
	switch {
	case s == nil || s.job.final != "" || s.done.has(a.task.Index):
		return
	case w.drainSince != 0:
		return // The worker has left.
	case s.spec.LongRunning && a.percent >= 100 && ran >= recentStartMs:
		return // A task that crashes workers when it starts does not get that far.
	}
	i := a.task.Index
	if s.crash(i, a.number) != nil {
		return // Recorded when the worker fell silent.
	}
	k := Crash{
		Attempt: a.number, RanMs: int64(ran), Started: a.state == running, Alone: a.alone, Together: c.lostTogether(w, a.task.Job, now),
		Address: w.info.Address, IncarnationMs: w.incarnation,
	}
	if a.priorIncarnation != 0 {
		k.IncarnationMs = a.priorIncarnation
	}
	s.crashes[i] = append(s.crashes[i], k)
	c.markDirty(s.job)
	c.addSuspect(s, i, &k)
}

// addSuspect adds a crash that is not confirmed to the index by address.
func (c *Cell) addSuspect(s *stage, index int, k *Crash) {
	c.suspects[k.Address] = append(c.suspects[k.Address], suspect{stage: s, index: index, attempt: k.Attempt})
}

// suspect refers to a crash that is not confirmed.
type suspect struct {
	stage   *stage
	index   int
	attempt int64
}

// ranUntilSilentMs returns how long an attempt had run when its worker was last known to be alive.
func (a *attempt) ranUntilSilentMs(now ms) ms {
	if a.worker.silentSince != 0 {
		now = a.worker.silentSince
	}
	return max(now-a.sentAt, 0)
}

// lostTogether reports whether several other workers fell silent at about the same time as a worker with an attempt at a
// job. Those with a trial of the same job don't count: several tasks of a job may crash their workers at the same time.
func (c *Cell) lostTogether(w *worker, job string, now ms) bool {
	at := now
	if w.silentSince != 0 {
		at = w.silentSince
	}
	n := 0
	for _, other := range c.workers {
		if other != w && other.fellSilentAt != 0 && other.silentTrialJob != job && max(other.fellSilentAt-at, at-other.fellSilentAt) < lostTogetherMs {
			n++
		}
	}
	return n >= lostTogetherWorkers
}

// confirmCrashes confirms the crashes of workers at an address, given that a process that was started at incarnationMs
// now has it, and fails the jobs of the tasks that are to blame.
func (c *Cell) confirmCrashes(address string, incarnationMs int64, now ms) {
	list := c.suspects[address]
	if len(list) == 0 {
		return
	}
	delete(c.suspects, address)
	confirmed, recent := 0, 0
	for _, u := range list {
		k := u.stage.crash(u.index, u.attempt)
		switch {
		case k == nil || u.stage.job.final != "":
		case k.IncarnationMs >= incarnationMs:
			c.suspects[address] = append(c.suspects[address], u)
		default:
			k.Confirmed = true
			confirmed++
			if k.recent() {
				recent++
			}
			c.markDirty(u.stage.job)
		}
	}
	if confirmed == 0 {
		return
	}
	c.stats.Crashes++
	c.cfg.Log("worker crashed", "Address", address, "Born", incarnationMs, "Attempts", confirmed, "Recent", recent)
	for _, u := range list {
		c.blame(u.stage, u.index, now)
	}
}

// blame fails the job of a task that is to blame for crashes.
func (c *Cell) blame(s *stage, index int, now ms) {
	if s.job.final != "" || s.done.has(index) {
		return
	}
	if crashes := s.crashes[index]; blamed(crashes) {
		last := &crashes[len(crashes)-1]
		c.stats.GivenUp++
		c.cfg.Log("task given up: it crashes workers", "Job", s.id.Job, "Run", s.id.Run, "Stage", s.id.Stage, "Index", index, "Crashes", len(crashes),
			"LastAttempt", last.Attempt, "LastRanMs", last.RanMs, "LastAlone", last.Alone)
		c.finish(s.job, Failed, now)
	}
}

// crash returns the record of a crash, or nil.
func (s *stage) crash(index int, attempt int64) *Crash {
	for n := range s.crashes[index] {
		if k := &s.crashes[index][n]; k.Attempt == attempt {
			return k
		}
	}
	return nil
}

// withdrawCrashes removes the suspicions against the tasks of a worker that has replied: it was only cut off.
func (c *Cell) withdrawCrashes(w *worker) {
	list := c.suspects[w.info.Address]
	if len(list) == 0 {
		return
	}
	for _, u := range list {
		if k := u.stage.crash(u.index, u.attempt); k != nil && k.IncarnationMs == w.incarnation {
			u.stage.removeCrash(u.index, u.attempt)
			c.markDirty(u.stage.job)
		}
	}
	c.forgetSuspects(w.info.Address)
}

// removeCrash removes the record of a crash.
func (s *stage) removeCrash(index int, attempt int64) {
	s.crashes[index] = slices.DeleteFunc(s.crashes[index], func(k Crash) bool { return k.Attempt == attempt })
	if len(s.crashes[index]) == 0 {
		delete(s.crashes, index)
	}
}

// adoptCrashes adds the crashes of an adopted job that are not confirmed to the index, and confirms those that the
// registrations confirm.
func (c *Cell) adoptCrashes(j *job, now ms) {
	addresses := map[string]bool{}
	for _, r := range j.runs {
		for _, s := range r.stages {
			for i, list := range s.crashes {
				for n := range list {
					if k := &list[n]; !k.Confirmed {
						c.addSuspect(s, i, k)
						addresses[k.Address] = true
					}
				}
			}
		}
	}
	for address := range addresses {
		c.confirmKnownCrashes(address, now)
	}
}

// confirmKnownCrashes confirms the crashes of workers at an address from the workers that have it now.
func (c *Cell) confirmKnownCrashes(address string, now ms) {
	if len(c.suspects[address]) == 0 {
		return
	}
	for _, w := range c.workers {
		if w.info.Address == address {
			c.confirmCrashes(address, w.newestIncarnation(), now)
		}
	}
}

// forgetSuspects drops the suspicions at an address that were withdrawn, and those of jobs that have ended.
func (c *Cell) forgetSuspects(address string) {
	list := slices.DeleteFunc(c.suspects[address], func(u suspect) bool { return u.stage.job.final != "" || u.stage.crash(u.index, u.attempt) == nil })
	if len(list) == 0 {
		delete(c.suspects, address)
		return
	}
	c.suspects[address] = list
}

// trialJob returns the job that has a trial under way on the worker, or "" if there is none.
func (w *worker) trialJob() string {
	for _, a := range w.attempts {
		if a.trial {
			return a.task.Job
		}
	}
	return ""
}

// placeTrials starts the tasks of a stage that are on trial, each on a worker of its own. It requests tickets when the
// workers with a ticket are not suitable. It returns true if no other tasks of the stage are left to be started.
func (c *Cell) placeTrials(s *stage, advised bool, now ms) (done bool) {
	trials := s.trials(now)
	if len(trials) == 0 {
		return false
	}
	list, _ := c.candidates(s, advised, now)
	waiting := 0
	for _, i := range trials {
		if c.capRoom(s, 1) == 0 {
			break
		}
		w := c.trialWorker(s, list, s.waitsForEmpty(i, now))
		if w == nil {
			if _, waits := s.trialWaitSince[i]; !waits {
				s.trialWaitSince[i] = now
			}
			waiting++
			continue
		}
		a := c.start(s, i, w, c.nextAttempt(), now)
		a.trial = true
		if len(w.attempts) == 1 {
			a.alone = true
			w.reserve(a, w.info.Capacity.Max(s.need))
		}
		c.cfg.Log("trial of a task that was lost with its worker", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "Crashes", len(s.crashes[i]), "Alone", a.alone)
	}
	left := s.countUnplaced()
	s.unplaced = c.capRoom(s, left)
	if waiting > 0 {
		s.placementDelay.add(now, delayTrial)
		if advised {
			c.requestAdvice(s, now)
		}
	}
	return left == waiting || s.unplaced == 0
}

// trialWorker returns the worker for a trial: an empty one, or else, unless it has to be empty, the one with the fewest
// tasks. It returns nil if there is none.
func (c *Cell) trialWorker(s *stage, list []candidate, empty bool) *worker {
	var best *candidate
	for i := range list {
		cand := &list[i]
		n := len(cand.w.attempts)
		if c.fitting(s, cand.w) == 0 || (empty && n > 0) || cand.w.trialJob() != "" {
			continue
		}
		if best == nil || n < len(best.w.attempts) || (n == len(best.w.attempts) && cand.cost < best.cost) {
			best = cand
		}
	}
	if best == nil {
		return nil
	}
	return best.w
}

// reserve sets the capacity that an attempt holds.
func (w *worker) reserve(a *attempt, need ccwork.Size) {
	w.used = w.used.Minus(a.need).Plus(need)
	a.need = need
}

// endTrial ends the trial of an attempt that has run for long enough. Others may then run beside it.
func (w *worker) endTrial(a *attempt, now ms) {
	if !a.trial || now-a.sentAt < trialMs {
		return
	}
	a.trial, a.alone = false, false
	w.reserve(a, a.stage.need)
}

// holdForTrial holds a worker for a task that waits for an empty one: the worker that will be empty first.
func (c *Cell) holdForTrial(s *stage, now ms) {
	if c.capRoom(s, 1) == 0 {
		return
	}
	if !slices.ContainsFunc(s.trials(now), func(i int) bool { return s.waitsForEmpty(i, now) }) {
		return
	}
	var best *worker
	var bestMs int64
	for _, w := range c.usable {
		if !c.mayHold(s, w, now) {
			continue
		}
		if busyMs, ends := c.untilEmptyMs(w, now); ends && (best == nil || busyMs < bestMs || (busyMs == bestMs && w.info.ID < best.info.ID)) {
			best, bestMs = w, busyMs
		}
	}
	if best != nil {
		best.heldFor, best.heldMs = s, 0
	}
}

// untilEmptyMs returns the expected time until a worker is empty, and false if it runs a task that does not end by itself.
func (c *Cell) untilEmptyMs(w *worker, now ms) (busyMs int64, ends bool) {
	for _, a := range w.attempts {
		if a.stage == nil || a.stage.spec.LongRunning {
			return 0, false
		}
		busyMs = max(busyMs, c.remainingMs(a, now))
	}
	return busyMs, true
}
