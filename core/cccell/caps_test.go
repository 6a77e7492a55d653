package cccell

import (
	"fmt"
	"strings"
	"testing"

	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// capOf returns a team with a cap of a number of tasks of testJob.
func capOf(team string, tasks int64) Team {
	return Team{Name: team, Limits: ccquota.Limits{Weight: 1, Cap: ccwork.Size{MilliCores: 1000 * tasks}}}
}

// teamJob returns a job of a team with one stage.
func teamJob(id, team string, count int) *Job {
	j := testJob(id, count)
	j.Team = team
	return j
}

// cappedCell returns a cell of which all workers are admitted, with one capped team named t.
func cappedCell(t *testing.T, tasks int64, workers ...WorkerInfo) *Cell {
	t.Helper()
	c := readyCell(t, workers...)
	pollAll(t, c, 1000+minPollIntervalMs+10, nil) // The first poll was sent before the handover.
	c.SetTeams([]Team{capOf("t", tasks)})
	return c
}

// runningOf returns what a team has running by the books.
func runningOf(c *Cell, team string) (cores int64, tasks int) {
	size, tasks := c.book.Account(team).Running()
	return size.MilliCores, tasks
}

// endedLists returns the lists of a worker on which the given starts have ended.
func endedLists(starts []StartOrder, end End) *TaskLists {
	l := &TaskLists{}
	for i := range starts {
		l.Ended = append(l.Ended, EndedTask{Number: int64(i + 1), Task: starts[i].Task, Attempt: starts[i].Attempt, End: end})
	}
	return l
}

// A wide stage runs in waves: as many tasks as the cap admits at a time, and the next ones as soon as their ends are read.
func TestWideStageRunsInWaves(t *testing.T) {
	c := cappedCell(t, 4, testWorker("w1"))
	c.AddJob(teamJob("a", "t", 10), 1100, 1100)
	var ended []StartOrder
	now := ms(1100)
	for _, want := range []int{4, 4, 2} {
		got := runStarts(c, now)
		assert.Equal(t, len(got), want)
		assert.Equal(t, len(runStarts(c, now+10)), 0)
		ended = append(ended, got...)
		now += 100
		c.OnPollReply(&PollOrder{worker: c.workers["w1"]}, executedReply(now), endedLists(ended, EndDone), now)
	}
	assert.Equal(t, c.jobs["a"].final, Completed)
	cores, tasks := runningOf(c, "t")
	assert.Equal(t, cores+int64(tasks), int64(0))
}

// What counts against the cap, in the forms that a stage can have. The cap is that of four tasks of one core.
func TestCapCountsEveryForm(t *testing.T) {
	tests := map[string]struct {
		change func(s *Stage)
		want   int
	}{
		"Plain":             {func(*Stage) {}, 4},
		"BestEffort":        {func(s *Stage) { s.BestEffortCPU = true }, 4},
		"LongRunning":       {func(s *Stage) { s.LongRunning = true }, 4},
		"LargerTasks":       {func(s *Stage) { s.Size.MilliCores = 3000 }, 1},
		"LargerThanCap":     {func(s *Stage) { s.Size.MilliCores = 9000 }, 1},
		"GangThatFits":      {func(s *Stage) { s.Gang, s.Count = true, 4 }, 4},
		"GangLargerThanCap": {func(s *Stage) { s.Gang, s.Count = true, 5 }, 0},
		"NoCores":           {func(s *Stage) { s.Size.MilliCores = 0 }, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := cappedCell(t, 4, testWorker("w1"), testWorker("w2"))
			j := teamJob("a", "t", 10)
			test.change(&j.Stages[0])
			c.AddJob(j, 1100, 1100)
			assert.Equal(t, len(runStarts(c, 1100)), test.want)
			c.AddJob(teamJob("b", "t", 1), 1110, 1110)
			c.AddJob(teamJob("c", "free", 1), 1110, 1110)
			c.AddJob(testJob("d", 1), 1110, 1110)
			others := map[string]bool{}
			for _, o := range runStarts(c, 1120) {
				others[o.Task.Job] = true
			}
			size := j.Stages[0].Size.Times(int64(test.want))
			assert.Equal(t, others["b"], size.MilliCores+1000 <= 4000, "the team's next job")
			assert.Assert(t, others["c"] && others["d"], "jobs of others are held up: %v", others)
		})
	}
}

// An attempt counts from the order of its start until it is certain that it does not run.
func TestCapCountsUntilTheEndIsCertain(t *testing.T) {
	start := func(t *testing.T) (*Cell, []StartOrder) {
		c := cappedCell(t, 1, testWorker("w1"), testWorker("w2"))
		c.AddJob(teamJob("a", "t", 1), 1100, 1100)
		c.Schedule(1100, 1100)
		starts := c.TakeOrders().Starts
		assert.Equal(t, len(starts), 1)
		c.AddJob(teamJob("b", "t", 1), 1100, 1100)
		return c, starts
	}
	counts := func(t *testing.T, c *Cell, now ms) Orders {
		t.Helper()
		out := runRound(c, now)
		assert.Equal(t, len(out.Starts), 0)
		_, tasks := runningOf(c, "t")
		assert.Equal(t, tasks, 1)
		return out
	}
	frees := func(t *testing.T, c *Cell, now ms) {
		t.Helper()
		got := runStarts(c, now)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Task.Job, "b")
	}
	poll := func(c *Cell, id string, lists *TaskLists, now ms) {
		w := c.workers[id]
		c.OnPollReply(&PollOrder{worker: w}, executedReply(now), lists, now)
	}
	t.Run("ReplyPending", func(t *testing.T) {
		c, _ := start(t)
		counts(t, c, 1200)
	})
	t.Run("Refused", func(t *testing.T) {
		c, starts := start(t)
		c.OnStartReply(&starts[0], Reply{Outcome: Refused, Reason: Busy, ClockMs: 1150, IncarnationMs: 1000, Sent: 1149, Received: 1150}, 1150)
		_, tasks := runningOf(c, "t")
		assert.Equal(t, tasks, 0)
		assert.Equal(t, len(runStarts(c, 1160)), 1, "either job")
	})
	t.Run("Cancelled", func(t *testing.T) {
		c, starts := start(t)
		c.OnStartReply(&starts[0], executedReply(1150), 1150)
		c.Cancel("a", 1160)
		c.RemoveEndedJobs(1 << 40)
		out := counts(t, c, 1170)
		assert.Equal(t, len(out.Stops), 1)
		counts(t, c, 1180)
		c.OnStopReply(&out.Stops[0], executedReply(1190), 1190)
		counts(t, c, 1191)
		poll(c, starts[0].WorkerID, endedLists(starts, EndStopped), 1250)
		frees(t, c, 1260)
	})
	t.Run("InDoubt", func(t *testing.T) {
		c, starts := start(t)
		c.OnStartReply(&starts[0], Reply{Outcome: ReplyLost, Sent: 1100, Received: 1150}, 1150)
		c.Cancel("a", 1160)
		poll(c, starts[0].WorkerID, &TaskLists{}, 1165) // It says nothing about a start that may be executed later.
		out := counts(t, c, 1170)
		assert.Equal(t, len(out.Stops), 1)
		c.OnStopReply(&out.Stops[0], executedReply(1190), 1190)
		counts(t, c, 1191)
		poll(c, starts[0].WorkerID, &TaskLists{}, 1250)
		frees(t, c, 1260)
	})
	t.Run("WorkerSilent", func(t *testing.T) {
		c, starts := start(t)
		w := c.workers[starts[0].WorkerID]
		c.OnStartReply(&starts[0], executedReply(1150), 1150)
		c.Cancel("a", 1160)
		now := ms(1200)
		for ; now < 9000; now += 50 {
			losePoll(c, w, now)
			if got := runStarts(c, now); len(got) > 0 {
				assert.Equal(t, got[0].Task.Job, "b")
				break
			}
		}
		assert.Assert(t, now > 1150+4000, "started at %d", now)
		assert.Assert(t, now < 6500, "started at %d", now)
	})
	t.Run("WorkerNotListed", func(t *testing.T) {
		c, starts := start(t)
		c.OnStartReply(&starts[0], executedReply(1150), 1150)
		c.MarkUnlisted(starts[0].WorkerID)
		counts(t, c, 2000)
	})
	t.Run("WorkerRestarted", func(t *testing.T) {
		c, starts := start(t)
		c.OnStartReply(&starts[0], executedReply(1150), 1150)
		c.Cancel("a", 1160)
		r := executedReply(1200)
		r.IncarnationMs = 2000
		c.OnPollReply(&PollOrder{worker: c.workers[starts[0].WorkerID]}, r, &TaskLists{}, 1200)
		frees(t, c, 1210)
	})
	t.Run("WorkerRestartedWithStartPending", func(t *testing.T) {
		c, starts := start(t)
		c.Cancel("a", 1160)
		r := executedReply(1200)
		r.IncarnationMs = 2000
		c.OnPollReply(&PollOrder{worker: c.workers[starts[0].WorkerID]}, r, &TaskLists{}, 1200)
		counts(t, c, 1210)
	})
}

// A copy of a straggler counts beside the straggler, so that it waits at the cap.
func TestCapCountsCopies(t *testing.T) {
	for _, limit := range []int64{1, 2} {
		c := cappedCell(t, limit, testWorker("w1"), testWorker("w2"))
		j := teamJob("a", "t", 1)
		j.Stages[0].Speculative = true
		c.AddJob(j, 1100, 1100)
		got := runStarts(c, 1100)
		assert.Equal(t, len(got), 1)
		s := c.stageOf(got[0].Task)
		s.tasks[0][0].straggler, s.moves[0], s.avoid[got[0].WorkerID] = true, 1, 1
		assert.Equal(t, len(runStarts(c, 1200)), int(limit)-1)
		_, tasks := runningOf(c, "t")
		assert.Equal(t, tasks, int(limit))
	}
}

// A trial may reserve a whole worker; its size is what counts against the cap. Without room it waits, and no worker is
// held for it.
func TestCapCountsTrials(t *testing.T) {
	c := cappedCell(t, 2, testWorker("w1"))
	trial := teamJob("a", "t", 1)
	trial.Queue.Priority = 1 // The job b is placed first.
	c.AddJob(trial, 1100, 1100)
	s := c.stageByID(StageID{Job: "a"})
	s.crashes[0] = []Crash{{Attempt: 1, Address: "x"}, {Attempt: 2, Address: "x"}}
	c.AddJob(teamJob("b", "t", 2), 1100, 1100)
	assert.Equal(t, len(runStarts(c, 1100)), 2)
	assert.Assert(t, c.workers["w1"].heldFor == nil)
	assert.Equal(t, len(s.trialWaitSince), 0)
	c.SetWorker(testWorker("w2"), 1100)
	c.OnPollReply(&PollOrder{worker: c.workers["w2"]}, executedReply(1110), &TaskLists{}, 1110)
	c.SetTeams([]Team{capOf("t", 3)})
	got := runStarts(c, 1120)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, s.tasks[0][0].alone)
	cores, tasks := runningOf(c, "t")
	assert.Equal(t, cores, int64(3000))
	assert.Equal(t, tasks, 3)
}

// A cap that changes. Nothing is stopped for it, and nothing starts until it fits.
func TestCapChanges(t *testing.T) {
	c := cappedCell(t, 4, testWorker("w1"))
	c.AddJob(teamJob("a", "t", 20), 1100, 1100)
	first := runStarts(c, 1100)
	assert.Equal(t, len(first), 4)
	c.SetTeams([]Team{capOf("t", 2)})
	out := runRound(c, 1110)
	assert.Equal(t, len(out.Starts)+len(out.Stops), 0)
	c.SetTeams([]Team{capOf("t", 6)})
	assert.Equal(t, len(runStarts(c, 1120)), 2)
	c.SetTeams(nil)
	assert.Equal(t, len(runStarts(c, 1130)), 0, "a team that was removed keeps its last cap")
	c.SetTeams([]Team{{Name: "t"}})
	assert.Equal(t, len(runStarts(c, 1140)), 10, "without a cap, the worker is filled")
	// Lowered far below what runs: most has to end before the next start.
	c.SetTeams([]Team{capOf("t", 13)})
	w := c.workers["w1"]
	ends := endedLists(first, EndDone)
	c.OnPollReply(&PollOrder{worker: w}, executedReply(1200), &TaskLists{Ended: ends.Ended[:3], Running: runningRows(w, first[:3])}, 1200)
	assert.Equal(t, len(runStarts(c, 1210)), 0, "13 of 13 run")
	c.OnPollReply(&PollOrder{worker: w}, executedReply(1300), &TaskLists{Ended: ends.Ended, Running: runningRows(w, first)}, 1300)
	assert.Equal(t, len(runStarts(c, 1310)), 1)
}

// runningRows returns the rows of all attempts on a worker but those of the given starts.
func runningRows(w *worker, without []StartOrder) []RunningTask {
	var out []RunningTask
	for key := range w.attempts {
		ended := false
		for i := range without {
			ended = ended || without[i].Task == key.task
		}
		if !ended {
			out = append(out, RunningTask{Task: key.task, Attempt: key.number})
		}
	}
	return out
}

// Before the leader has a configuration, a team may have a cap, so none of its tasks start.
func TestNoStartBeforeCapsAreKnown(t *testing.T) {
	c := cappedCell(t, 1, testWorker("w1"))
	c.book = ccquota.NewBook() // As before the first configuration.
	c.AddJob(teamJob("a", "t", 1), 1100, 1100)
	c.AddJob(testJob("b", 1), 1100, 1100)
	got := runStarts(c, 1100)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task.Job, "b")
	assert.Equal(t, len(c.capWaits), 0, "no team is at its cap as far as is known")
	c.SetTeams(nil)
	assert.Equal(t, len(runStarts(c, 1110)), 1)
}

// A new leader places jobs that arrive after the end of the prior leader's authority at once, as far as the caps admit them
// beside all that a worker which has not answered may run until its leases have ended: 16 cores, and 16 of best-effort
// tasks.
func TestNewLeaderCountsSilentWorkers(t *testing.T) {
	tests := map[string]struct {
		team string
		// limit is the cap in cores.
		limit int64
		// answers is when the worker answers, 0 for never; running is true if it then runs a task of the team.
		answers ms
		running bool
		// orphan is true if it runs a task of a job that ended.
		orphan bool
		// from and until bound the start of the new job.
		from, until ms
	}{
		"NoTeam":              {team: "", limit: 1, from: 4000, until: 4100},
		"NoCap":               {team: "free", limit: 1, from: 4000, until: 4100},
		"Silent":              {team: "t", limit: 1, from: 4000 + 4000, until: 4000 + 4500},
		"SilentAndNoRoom":     {team: "t", limit: 32, from: 4000 + 4000, until: 4000 + 4500},
		"SilentAndRoom":       {team: "t", limit: 33, from: 4000, until: 4100},
		"OrphanAndNoRoom":     {team: "t", limit: 32, answers: 5000, orphan: true, from: 8500, until: 9000},
		"OrphanAndRoom":       {team: "t", limit: 33, answers: 3000, orphan: true, from: 4000, until: 4100},
		"AnswersAtOnce":       {team: "t", answers: 4000, from: 4000, until: 4000 + silentPollIntervalMs + 100},
		"AnswersBeforeTheEnd": {team: "t", answers: 3000, from: 4000, until: 4200},
		"Answers":             {team: "t", answers: 5000, from: 5000, until: 5500},
		"AnswersAndRunsATask": {team: "t", answers: 5000, running: true, from: 8500, until: 9000},
		"AnswersWithAnOrphan": {team: "t", answers: 5000, orphan: true, from: 8500, until: 9000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.ExtendAuthority(1 << 40)
			c.SetTeams([]Team{capOf("t", max(test.limit, 1))})
			c.SetWorker(testWorker("w1"), 1000)
			c.SetWorker(testWorker("w2"), 1000)
			c.Adopt(StoredJob{Job: teamJob("old", "t", 1)}, 1000, 1000)
			task := RunningTask{Task: TaskID{Job: "old"}, Attempt: 1<<attemptBits + 1}
			if test.orphan {
				task.Task.Job = "ended"
			}
			started := ms(0)
			for now := ms(1000); now < 12_000 && started == 0; now += 20 {
				if now == 4000 {
					c.AddJob(teamJob("new", test.team, 1), now, now)
				}
				c.Cancel("old", now) // Only the new job is to be started.
				c.Schedule(now, now)
				out := c.TakeOrders()
				for i := range out.Polls {
					o, lists := &out.Polls[i], &TaskLists{}
					if o.WorkerID == "w1" && (test.answers == 0 || now < test.answers) {
						c.OnPollReply(o, Reply{Outcome: ReplyLost, Sent: now, Received: now}, nil, now)
						continue
					}
					if o.WorkerID == "w1" && (test.running || test.orphan) && now < 8500 {
						lists.Running = []RunningTask{task}
					}
					r := executedReply(now)
					r.Sent = now
					c.OnPollReply(o, r, lists, now)
				}
				for i := range out.Stops {
					c.OnStopReply(&out.Stops[i], Reply{Outcome: ReplyLost, Sent: now, Received: now}, now)
				}
				if len(out.Starts) > 0 {
					started = now
					assert.Equal(t, out.Starts[0].Task.Job, "new")
				}
			}
			assert.Assert(t, started >= test.from && started <= test.until, "started at %d, want %d to %d", started, test.from, test.until)
		})
	}
}

// Long after the handover, a worker that is new and does not answer holds up no team: it can't run tasks of a prior
// leader.
func TestNewWorkerHoldsUpNoTeam(t *testing.T) {
	c := cappedCell(t, 1, testWorker("w1"))
	now := ms(1000) + maxLeaseDuration(4000)
	c.SetWorker(testWorker("w2"), now)
	c.AddJob(teamJob("a", "t", 1), now, now)
	assert.Equal(t, len(runStarts(c, now)), 1)
}

// The running tasks that a new leader reads count, whether their job was read from the store or their start was not
// confirmed to the prior leader.
func TestAdoptedTasksCount(t *testing.T) {
	c := testCell(2, 1000)
	c.SetHandover(1000)
	c.ExtendAuthority(1 << 40)
	c.SetTeams([]Team{capOf("t", 4)})
	c.SetWorker(testWorker("w1"), 1000)
	c.Adopt(StoredJob{Job: teamJob("a", "t", 8)}, 1000, 1000)
	lists := &TaskLists{}
	for i := range 3 {
		lists.Running = append(lists.Running, RunningTask{Task: TaskID{Job: "a", Index: i}, Attempt: 1<<attemptBits + int64(i) + 1})
	}
	out := pollAll(t, c, 1010, map[string]*TaskLists{"w1": lists})
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(runStarts(c, 1020)), 1)
}

// A stage at the cap of its team requests no tickets and holds no workers. The tickets are requested once there is room,
// for as many tasks as the cap admits.
func TestStageAtCapRequestsNothing(t *testing.T) {
	c := cappedCell(t, 16, testWorker("w1"), testWorker("w2"), testWorker("w3"))
	c.AddJob(teamJob("a", "t", 16), 1100, 1100)
	first := runStarts(c, 1100)
	assert.Equal(t, len(first), 16)
	advised := teamJob("b", "t", 40)
	advised.Queue.Name = "advised"
	advised.Queue.Advice = &AdviceConfig{DecideMs: 1000, PerWorkerMs: 10}
	advised.Stages[0].Size.MilliCores = 16_000 // Large tasks, for which workers are held.
	c.AddJob(advised, 1110, 1110)
	for now := ms(1110); now < 1110+2*holdAfterMs; now += 200 {
		out := runRound(c, now)
		assert.Equal(t, len(out.AdviceRequests), 0)
		for id, w := range c.workers {
			assert.Assert(t, w.heldFor == nil, "%s is held", id)
		}
	}
	now := ms(1110 + 2*holdAfterMs)
	s := c.stageByID(StageID{Job: "b"})
	assert.Assert(t, s.placementDelay.byReason[delayCap] >= holdAfterMs)
	c.OnPollReply(&PollOrder{worker: c.workers[first[0].WorkerID]}, executedReply(now), endedLists(first, EndDone), now)
	out := runRound(c, now)
	assert.Equal(t, len(out.AdviceRequests), 1)
	assert.Equal(t, s.unplaced, 1)
}

// A gang that does not fit under the cap holds up neither other teams nor the smaller jobs of its own team.
func TestGangAtCapHoldsUpNobody(t *testing.T) {
	c := cappedCell(t, 4, testWorker("w1"))
	c.AddJob(teamJob("a", "t", 2), 1100, 1100)
	assert.Equal(t, len(runStarts(c, 1100)), 2)
	gang := teamJob("g", "t", 3)
	gang.Stages[0].Gang = true
	c.AddJob(gang, 1110, 1110)
	c.AddJob(teamJob("b", "t", 1), 1120, 1120)
	c.AddJob(testJob("c", 1), 1130, 1130)
	assert.Equal(t, len(runStarts(c, 1130)), 2)
}

// The log has one line when a team reaches its cap and one when it has left it, however many rounds and waves lie
// between. The summary shows what runs and what waits.
func TestCapIsLoggedAndShown(t *testing.T) {
	c := cappedCell(t, 2, testWorker("w1"))
	var lines []string
	c.cfg.Log = func(event string, kv ...any) {
		if strings.HasPrefix(event, "team") || event == "stage waits" {
			lines = append(lines, fmt.Sprint(event, kv))
		}
	}
	c.AddJob(teamJob("a", "t", 40), 1100, 1100)
	w := c.workers["w1"]
	var ended []StartOrder
	now := ms(1100)
	for ; c.jobs["a"].final == "" && now < 20_000; now += 400 {
		ended = append(ended, runStarts(c, now)...)
		if now == 1100 {
			assert.DeepEqual(t, c.Summary(now+10).Teams, []TeamSummary{{
				Team: "t", Tasks: 2, Running: ended[0].attempt.stage.spec.Size.Times(2), Cap: ccwork.Size{MilliCores: 2000}, Waiting: 38, AtCapMs: 10,
			}})
		}
		c.OnPollReply(&PollOrder{worker: w}, executedReply(now+10), endedLists(ended, EndDone), now+10)
	}
	runRound(c, now+capLeftMs)
	assert.Equal(t, len(lines), 3, "%v", lines)
	assert.Assert(t, strings.HasPrefix(lines[0], "team at its cap"), lines[0])
	assert.Assert(t, strings.HasPrefix(lines[1], "stage waits") && strings.Contains(lines[1], "CapMs"), lines[1])
	assert.Assert(t, strings.HasPrefix(lines[2], "team below its cap"), lines[2])
	assert.DeepEqual(t, c.Teams(now+capLeftMs), []TeamSummary{{Team: "t", Cap: ccwork.Size{MilliCores: 2000}}})
}

func TestCheckCap(t *testing.T) {
	config := &Configuration{Teams: []Team{capOf("t", 4), {Name: "free"}}}
	tests := map[string]struct {
		team  string
		gang  bool
		count int
		over  bool
	}{
		"WideStage":       {team: "t", count: 50},
		"GangThatFits":    {team: "t", gang: true, count: 4},
		"GangOverCap":     {team: "t", gang: true, count: 5, over: true},
		"GangWithoutCap":  {team: "free", gang: true, count: 50},
		"GangUnknownTeam": {team: "other", gang: true, count: 50},
		"GangWithoutTeam": {gang: true, count: 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := teamJob("a", test.team, test.count)
			j.Stages = append([]Stage{{Count: 1}}, j.Stages...)
			j.Stages[1].Gang = test.gang
			assert.Equal(t, errors.Is(config.CheckCap(j), ErrOverCap), test.over)
		})
	}
	larger := teamJob("a", "t", 1)
	larger.Stages[0].Gang, larger.Stages[0].Size.MilliCores = true, 5000
	assert.NilError(t, config.CheckCap(larger))
}

// Before the handover is complete, tickets are requested early, but not for tasks that the cap does not admit beside what
// is known to run.
func TestEarlyAdviceIsLimitedToTheCap(t *testing.T) {
	for _, limit := range []int64{1, 2} {
		c := testCell(2, 1000)
		c.SetTeams([]Team{capOf("t", limit)})
		c.SetWorker(testWorker("w1"), 1000)
		j := teamJob("a", "t", 4)
		j.Queue.Advice = &AdviceConfig{DecideMs: 10, PerWorkerMs: 1}
		c.Adopt(StoredJob{Job: j}, 1000, 1000)
		running := &TaskLists{Running: []RunningTask{{Task: TaskID{Job: "a"}, Attempt: 1<<attemptBits + 1}}}
		pollAll(t, c, 1010, map[string]*TaskLists{"w1": running})
		assert.Equal(t, len(pollAll(t, c, 1050, map[string]*TaskLists{"w1": running}).AdviceRequests), int(limit)-1)
	}
}

// Trials and the other tasks of their stage share the room under the cap, and no worker is held for what does not fit.
func TestTrialsStayWithinTheCap(t *testing.T) {
	crashed := []Crash{{Attempt: 1, Address: "x"}, {Attempt: 2, Address: "x"}}
	start := func(t *testing.T, limit int64, tasks int, onTrial ...int) (*Cell, []StartOrder) {
		c := cappedCell(t, limit, testWorker("w1"), testWorker("w2"), testWorker("w3"))
		c.AddJob(teamJob("a", "t", tasks), 1100, 1100)
		for _, i := range onTrial {
			c.stageByID(StageID{Job: "a"}).crashes[i] = crashed
		}
		return c, runStarts(c, 1100)
	}
	t.Run("SeveralTrials", func(t *testing.T) {
		_, got := start(t, 2, 3, 0, 1, 2)
		assert.Equal(t, len(got), 2)
	})
	t.Run("TrialAndOthers", func(t *testing.T) {
		_, got := start(t, 3, 8, 0)
		assert.Equal(t, len(got), 3)
	})
	t.Run("TrialThatWaitsForAnEmptyWorker", func(t *testing.T) {
		c := cappedCell(t, 1, testWorker("w1"))
		c.AddJob(testJob("busy", 2), 1100, 1100)
		assert.Equal(t, len(runStarts(c, 1100)), 2)
		c.AddJob(teamJob("a", "t", 2), 1110, 1110)
		c.stageByID(StageID{Job: "a"}).crashes[1] = crashed
		assert.Equal(t, len(runStarts(c, 1110)), 1)
		assert.Assert(t, c.workers["w1"].heldFor == nil)
	})
}

// No worker is held for the tasks of a wide stage that wait for the cap while others of it run.
func TestNoWorkerIsHeldForTheNextWave(t *testing.T) {
	c := cappedCell(t, 16, testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
	j := teamJob("a", "t", 3)
	j.Stages[0].Size.MilliCores = 16_000
	c.AddJob(j, 1100, 1100)
	now := 1100 + holdAfterMs
	assert.Equal(t, len(runStarts(c, now)), 1)
	for id, w := range c.workers {
		assert.Assert(t, w.heldFor == nil, "%s is held", id)
	}
}

// A team whose jobs fill its cap again and again, with moments between in which nothing waits, is logged once.
func TestCapIsNotLoggedInEachWave(t *testing.T) {
	c := cappedCell(t, 2, testWorker("w1"))
	var lines []string
	c.cfg.Log = func(event string, _ ...any) {
		if strings.HasPrefix(event, "team") && event != "team exceeds its weight" {
			lines = append(lines, event)
		}
	}
	now := ms(1100)
	var ended []StartOrder
	for i := range 20 {
		c.AddJob(teamJob(fmt.Sprint("j", i), "t", 3), now, now)
		for range 2 {
			ended = append(ended, runStarts(c, now)...)
			c.OnPollReply(&PollOrder{worker: c.workers["w1"]}, executedReply(now+50), endedLists(ended, EndDone), now+50)
			now += 100
		}
		assert.Equal(t, len(ended), 3*(i+1))
	}
	runRound(c, now+capLeftMs)
	assert.DeepEqual(t, lines, []string{"team at its cap", "team below its cap"})
}

// What a worker may run that has not answered: all that it has capacity for, by the largest registration that was seen,
// and as much again of best-effort tasks; less what is known to run.
func TestBoundOfUnknownRunning(t *testing.T) {
	cores := func(n int64) ccwork.Size { return ccwork.Size{MilliCores: 1000 * n, MemoryMB: 16_000} }
	tests := map[string]struct {
		prepare func(c *Cell)
		want    ccwork.Size
	}{
		"Silent":        {func(*Cell) {}, cores(32)},
		"Shrunk":        {func(c *Cell) { c.SetWorker(resized(testWorker("w1"), cores(4)), 1010) }, cores(32)},
		"Grown":         {func(c *Cell) { c.SetWorker(resized(testWorker("w1"), cores(20)), 1010) }, cores(40)},
		"RosterLarger":  {func(c *Cell) { c.AdoptWorker(resized(testWorker("w1"), cores(18)), 1010) }, cores(36)},
		"NotListed":     {func(c *Cell) { c.MarkUnlisted("w1") }, cores(32)},
		"TwoWorkers":    {func(c *Cell) { c.AdoptWorker(testWorker("w2"), 1010) }, cores(32).Times(2)},
		"LeasesEnded":   {func(c *Cell) { c.workers["w1"].priorLeasesEndAt = 1020 }, ccwork.Size{}},
		"LeasesLapsed":  {func(c *Cell) { c.handoverAt = 1020 - maxLeaseDuration(4000) }, ccwork.Size{}},
		"KnownTasks":    {func(c *Cell) { c.adoptAttempt(c.workers["w1"], &RunningTask{Task: TaskID{Job: "a"}, Attempt: 1}, 1010) }, ccwork.Size{MilliCores: 31_000, MemoryMB: 15_900}},
		"KnownIdleTask": {func(c *Cell) { c.adoptAttempt(c.workers["w1"], &RunningTask{Task: TaskID{Job: "b"}, Attempt: 1}, 1010) }, ccwork.Size{MilliCores: 31_000, MemoryMB: 15_900}},
		"Answered":      {func(c *Cell) { w := c.workers["w1"]; w.admitted, w.answeredPollSentAt = true, c.handoverAt }, ccwork.Size{}},
		"Orphan": {func(c *Cell) {
			w := c.workers["w1"]
			w.admitted, w.answeredPollSentAt = true, c.handoverAt
			c.adoptAttempt(w, &RunningTask{Task: TaskID{Job: "gone"}, Attempt: 1}, 1010)
		}, cores(32)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetWorker(testWorker("w1"), 1000)
			c.Adopt(StoredJob{Job: teamJob("a", "t", 1)}, 1000, 1000)
			idle := teamJob("b", "t", 1)
			idle.Stages[0].BestEffortCPU = true
			c.Adopt(StoredJob{Job: idle}, 1000, 1000)
			test.prepare(c)
			assert.Equal(t, c.boundUnknownRunning(1020), test.want)
		})
	}
}

// Best-effort tasks of teams could at most use all cores of their worker, so that a new leader knows how many may run there.
func TestBestEffortTasksAreBounded(t *testing.T) {
	tests := map[string]struct {
		team  string
		cores int64
		want  int
	}{
		"Small":            {"t", 1000, 16},
		"NotAMultiple":     {"t", 5000, 3},
		"LargerThanWorker": {"t", 17_000, 1},
		"NoTeam":           {"", 1000, 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := cappedCell(t, 1000, testWorker("w1"))
			for i := range 2 {
				j := teamJob(fmt.Sprint("j", i), test.team, 20)
				j.Stages[0].BestEffortCPU, j.Stages[0].Size.MilliCores = true, test.cores
				c.AddJob(j, 1100, 1100)
			}
			got := runStarts(c, 1100)
			assert.Equal(t, len(got), test.want)
			c.OnPollReply(&PollOrder{worker: c.workers["w1"]}, executedReply(1200), endedLists(got, EndStopped), 1200)
			assert.Equal(t, c.workers["w1"].bestEffort, int64(0))
		})
	}
}

// A change of a cap is logged with what runs; the caps that a new leader starts with are not.
func TestCapChangesAreLogged(t *testing.T) {
	c := testCell(1, 1000)
	var lines []string
	c.cfg.Log = func(event string, kv ...any) { lines = append(lines, fmt.Sprint(event, kv)) }
	c.SetTeams([]Team{capOf("t", 4), capOf("u", 4)})
	assert.Equal(t, len(lines), 0)
	c.SetTeams([]Team{capOf("t", 4), capOf("u", 2)})
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.HasPrefix(lines[0], "cap of the team changed[Team u Before {4000"), lines[0])
}
