package cccell

import (
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Caps of teams. What counts against a cap is every attempt from the order of its start until it is certain that it does
// not run, at its full size: while the reply is pending or lost, while it is being stopped, and while its worker is
// silent. Load: a team hands in far more than its cap while workers fall silent and leaders change.

// ErrOverCap reports a job that the cap of its team will never admit.
var ErrOverCap = errors.New("job needs more than the cap of its team at a time")

// capLeftMs is the time without a stage that waited for the cap after which a team has left its cap. A wide stage that
// runs in waves has room for a moment in each.
const capLeftMs ms = 2000

// CheckCap returns ErrOverCap for a job with a gang that is larger than the cap of the job's team. A single task that is
// larger runs while its team has nothing else running.
func (c *Configuration) CheckCap(j *Job) error {
	if j.Team == "" {
		return nil
	}
	for i := range c.Teams {
		if t := &c.Teams[i]; t.Name == j.Team {
			return checkCap(&t.Limits, j)
		}
	}
	return nil
}

// checkCap returns ErrOverCap for a job with a gang that limits never admit.
func checkCap(l *ccquota.Limits, j *Job) error {
	for i := range j.Stages {
		s := &j.Stages[i]
		if s.Gang && s.Count > 1 && !l.Admits(s.Size, s.Count) {
			return errors.Wrapf(ErrOverCap, "stage %d is a gang of %d tasks of %+v, and the cap of team %q is %+v", i, s.Count, s.Size, j.Team, l.Cap)
		}
	}
	return nil
}

// SetTeams activates the limits of teams. A team that is left out keeps its last known limits while its jobs run on.
// Before the first call, no task of a team is started.
func (c *Cell) SetTeams(teams []Team) {
	c.hasTeams = len(teams) > 0
	limits := make(map[string]ccquota.Limits, len(teams))
	weights := make(map[string]int64, len(teams))
	for i := range teams {
		t := &teams[i]
		limits[t.Name], weights[t.Name] = t.Limits, t.Limits.Weight
		if a := c.book.Account(t.Name); c.book.Known() && a.Limits().Cap != t.Limits.Cap {
			running, tasks := a.Running()
			c.cfg.Log("cap of the team changed", "Team", t.Name, "Before", a.Limits().Cap, "Cap", t.Limits.Cap, "Running", running, "Tasks", tasks)
		}
	}
	c.book.SetLimits(limits)
	c.shares.SetWeights(weights)
}

// teamField returns the log field with the team of a job, none without a team.
func teamField(j *Job) []any {
	if j.Team == "" {
		return nil
	}
	return []any{"Team", j.Team}
}

// capWait is the time in which stages of a team wait for its cap.
type capWait struct {
	since, lastAt ms
}

// boundUnknownRunning returns an upper bound of what any one team may have running beside the attempts in memory. A worker
// that has not answered yet may run tasks of prior leaders until their leases have ended. The jobs of these tasks may have
// ended, so that no record names them: the team and the size of an orphan are not known. So all capacity that may be in
// use there counts, for each team.
func (c *Cell) boundUnknownRunning(now ms) ccwork.Size {
	var out ccwork.Size
	if !c.book.HasTeams() {
		return out
	}
	// A prior leader gives no lease that ends later, also not at a worker that this leader learned of later.
	lapsed := now >= c.handoverAt+maxLeaseDuration(c.longestPriorLease())
	for _, w := range c.workers {
		if w.orphans > 0 || (!lapsed && c.mayRunUnknown(w) && now < w.priorLeasesEndAt) {
			out = out.Plus(w.mayRunMore())
		}
	}
	return out
}

// mayRunMore bounds what runs on the worker beside the attempts in memory. A prior leader has placed as much as the worker
// has capacity for, and best-effort tasks that could use all of its cores once more.
func (w *worker) mayRunMore() ccwork.Size {
	out := w.largest.Minus(w.used).Max(ccwork.Size{})
	out.MilliCores += max(w.largest.MilliCores-w.bestEffort, 0)
	return out
}

// bestEffortCores returns the cores in thousandths that a task uses if they are idle, 0 unless it is a best-effort task.
func (s *Stage) bestEffortCores() int64 {
	return s.Size.MilliCores - s.Reserved().MilliCores
}

// bestEffortRoom returns how many of n best-effort tasks fit on the worker. More than could use all of its cores would make
// no progress, and the cap could not be kept by a new leader that does not reach the worker. One that is larger than the
// worker may run alone.
func (w *worker) bestEffortRoom(milliCores int64, n int) int {
	if w.bestEffort == 0 && milliCores > w.info.Capacity.MilliCores {
		return min(n, 1)
	}
	return int(fit(w.info.Capacity.MilliCores-w.bestEffort, milliCores, int64(n)))
}

// capRoom returns how many of n tasks of a stage the cap of its team admits now; of a gang all or none.
func (c *Cell) capRoom(s *stage, n int) int {
	return s.capRoomBeside(c.unknownRunning, n)
}

// capRoomBeside is capRoom while more may run than the attempts in memory.
func (s *stage) capRoomBeside(unknown ccwork.Size, n int) int {
	room := s.job.account.Fitting(s.spec.Size, n, unknown)
	if s.spec.Gang && room < n {
		return 0
	}
	return room
}

// limitToCap limits the tasks of a stage that are placed in this round to those that the cap of its team admits. It
// returns false if there are none: the stage then requests no tickets and holds no workers.
func (c *Cell) limitToCap(s *stage, now ms) bool {
	room := c.capRoom(s, s.unplaced)
	s.overCap = ""
	if room == s.unplaced {
		return true
	}
	s.overCap = delayHandover
	if c.unknownRunning == (ccwork.Size{}) || s.capRoomBeside(ccwork.Size{}, s.unplaced) == room {
		s.overCap = delayCap
		if c.book.Known() {
			c.noteCapWait(s, now)
		}
	}
	s.unplaced = room
	if room > 0 {
		return true
	}
	s.held = nil
	s.placementDelay.add(now, s.overCap)
	c.logWaiting(s, now)
	return false
}

// noteCapWait records that a stage waits for the cap of its team.
func (c *Cell) noteCapWait(s *stage, now ms) {
	a := s.job.account
	wait := c.capWaits[a]
	if wait == nil {
		wait = &capWait{since: now}
		c.capWaits[a] = wait
		running, tasks := a.Running()
		c.cfg.Log("team at its cap", "Team", a.Team(), "Running", running, "Tasks", tasks, "Cap", a.Limits().Cap)
	}
	wait.lastAt = now
}

// endCapWaits logs the teams that have left their caps.
func (c *Cell) endCapWaits(now ms) {
	for a, wait := range c.capWaits {
		if now-wait.lastAt < capLeftMs {
			continue
		}
		delete(c.capWaits, a)
		running, tasks := a.Running()
		c.cfg.Log("team below its cap", "Team", a.Team(), "Running", running, "Tasks", tasks, "Cap", a.Limits().Cap, "ForMs", wait.lastAt-wait.since)
	}
}

// TeamSummary is what a team has running, as shown in the state dump and in the metrics.
type TeamSummary struct {
	Team string
	// Tasks is the number of attempts that count against the cap, Running their total size.
	Tasks   int
	Running ccwork.Size
	// Cap is what the team may have running; a value of 0 means no limit.
	Cap ccwork.Size
	// Waiting is the number of tasks that could start now.
	Waiting int
	// AtCapMs is the time for which tasks have waited for the cap, 0 if none do.
	AtCapMs int64
}

// Teams returns the summaries of all teams, ordered by name.
func (c *Cell) Teams(now ms) []TeamSummary {
	if !c.book.HasTeams() {
		return nil
	}
	waiting := map[*ccquota.Account]int{}
	for s := range c.open {
		waiting[s.job.account] += s.countUnplaced()
	}
	var out []TeamSummary
	for _, a := range c.book.Accounts() {
		if a.Team() == "" {
			continue
		}
		t := TeamSummary{Team: a.Team(), Cap: a.Limits().Cap, Waiting: waiting[a]}
		t.Running, t.Tasks = a.Running()
		if wait := c.capWaits[a]; wait != nil {
			t.AtCapMs = int64(now - wait.since)
		}
		out = append(out, t)
	}
	return out
}
