package cccell

import (
	"fmt"
	"slices"
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// resized returns a registration with another capacity.
func resized(w WorkerInfo, capacity ccwork.Size) WorkerInfo {
	w.Capacity = capacity
	return w
}

// A worker shrinks below what runs there. Tasks that need nothing of the resource of which it has too little were
// started there all the same, and best-effort tasks on a worker without cores. When the worker has grown again, the
// tasks that waited start.
func TestTasksStartedOnShrunkWorker(t *testing.T) {
	// The tasks that run hold 8,000 milli cores, 800 MB and 8 accelerators.
	runningNeed := ccwork.Size{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}
	full := ccwork.Size{MilliCores: 16000, MemoryMB: 16000, Accelerators: 16}
	tests := map[string]struct {
		running    int
		stopping   bool
		capacity   ccwork.Size
		need       ccwork.Size
		bestEffort bool
		want       int
	}{
		"BelowRunning":            {running: 8, capacity: ccwork.Size{MilliCores: 4000, MemoryMB: 16000, Accelerators: 16}, need: runningNeed},
		"ToRunning":               {running: 8, capacity: ccwork.Size{MilliCores: 8000, MemoryMB: 16000, Accelerators: 16}, need: runningNeed},
		"RoomForOne":              {running: 8, capacity: ccwork.Size{MilliCores: 9500, MemoryMB: 16000, Accelerators: 16}, need: runningNeed, want: 1},
		"StoppedStillCount":       {running: 8, stopping: true, capacity: ccwork.Size{MilliCores: 8500, MemoryMB: 16000, Accelerators: 16}, need: runningNeed},
		"ToNothing":               {running: 8, need: runningNeed},
		"EmptyToNothing":          {need: runningNeed},
		"EmptyToLessThanOneTask":  {capacity: ccwork.Size{MilliCores: 900, MemoryMB: 16000, Accelerators: 16}, need: runningNeed},
		"NeedsNoCores":            {running: 8, capacity: ccwork.Size{MilliCores: 4000, MemoryMB: 16000, Accelerators: 16}, need: ccwork.Size{MemoryMB: 100}},
		"NeedsNoMemory":           {running: 8, capacity: ccwork.Size{MilliCores: 16000, MemoryMB: 400, Accelerators: 16}, need: ccwork.Size{MilliCores: 1000}},
		"NeedsNoAccelerators":     {running: 8, capacity: ccwork.Size{MilliCores: 16000, MemoryMB: 16000, Accelerators: 4}, need: ccwork.Size{MilliCores: 1000, MemoryMB: 100}},
		"BestEffortBelowRunning":  {running: 8, capacity: ccwork.Size{MilliCores: 4000, MemoryMB: 16000, Accelerators: 16}, need: ccwork.Size{MilliCores: 1000, MemoryMB: 100}, bestEffort: true},
		"BestEffortToRunning":     {running: 8, capacity: ccwork.Size{MilliCores: 8000, MemoryMB: 16000, Accelerators: 16}, need: ccwork.Size{MilliCores: 1000, MemoryMB: 100}, bestEffort: true, want: 6},
		"BestEffortWithoutCores":  {capacity: ccwork.Size{MemoryMB: 16000, Accelerators: 16}, need: ccwork.Size{MilliCores: 1000, MemoryMB: 100}, bestEffort: true},
		"BestEffortWithoutMemory": {capacity: ccwork.Size{MilliCores: 16000}, need: ccwork.Size{MilliCores: 1000, MemoryMB: 100}, bestEffort: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, resized(testWorker("w"), full))
			if test.running > 0 {
				j := testJob("running", test.running)
				j.Stages[0].Size = runningNeed
				c.AddJob(j, 1100, 1100)
				assert.Equal(t, len(runStarts(c, 1100)), test.running)
			}
			if test.stopping {
				c.Cancel("running", 1150)
				assert.Equal(t, len(runRound(c, 1150).Stops), test.running)
			}
			c.SetWorker(resized(testWorker("w"), test.capacity), 1200)
			j := testJob("waiting", 6)
			j.Stages[0].Size, j.Stages[0].BestEffortCPU = test.need, test.bestEffort
			c.AddJob(j, 1200, 1200)
			started := 0
			for now := ms(1250); now < 1500; now += 50 {
				started += len(runStarts(c, now))
			}
			assert.Equal(t, started, test.want)
			assert.Equal(t, c.jobs["waiting"].final, State(""))
			c.SetWorker(resized(testWorker("w"), full), 1500)
			started += len(runStarts(c, 1550))
			assert.Equal(t, started, 6, "grown again")
		})
	}
}

// A gang starts when all of its tasks fit on the present capacities, whichever worker has shrunk.
func TestGangOnShrunkWorkers(t *testing.T) {
	tests := map[string]struct {
		first, second int64 // cores in thousandths
		want          int
	}{
		"OneToNothing":       {16000, 0, 0},
		"OneBelowItsShare":   {15000, 4900, 0},
		"OneToItsShare":      {15000, 5000, 4},
		"BothToTwoTasks":     {10000, 10000, 4},
		"FreeInAllNotInEach": {11000, 9000, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"), testWorker("w2"))
			c.SetWorker(resized(testWorker("w1"), ccwork.Size{MilliCores: test.first, MemoryMB: 16000}), 1100)
			c.SetWorker(resized(testWorker("w2"), ccwork.Size{MilliCores: test.second, MemoryMB: 16000}), 1100)
			gang := testJob("g", 4)
			gang.Stages[0].Gang, gang.Stages[0].Size.MilliCores = true, 5000
			c.AddJob(gang, 1150, 1150)
			assert.Equal(t, len(runStarts(c, 1200)), test.want)
			if test.want == 0 {
				c.SetWorker(testWorker("w1"), 1300)
				c.SetWorker(testWorker("w2"), 1300)
				assert.Equal(t, len(runStarts(c, 1350)), 4, "grown again")
			}
		})
	}
}

// No worker is held for a stage of which no task fits there, also when it is empty, and workers without cores do not
// raise the number of workers that may be held.
func TestShrunkWorkersAreNotHeld(t *testing.T) {
	tests := map[string]struct {
		// capacity is that of the first shrunk workers out of ten, all of which are full when the stage arrives.
		capacity ccwork.Size
		shrunk   int
		want     int
	}{
		"NoneShrunk":      {shrunk: 0, want: 3},
		"AllToNothing":    {shrunk: 10, want: 0},
		"SevenToNothing":  {shrunk: 7, want: 0},
		"FourToNothing":   {shrunk: 4, want: 1},
		"AllToTooLittle":  {capacity: ccwork.Size{MilliCores: 15000, MemoryMB: 16000}, shrunk: 10, want: 0},
		"NineToTooLittle": {capacity: ccwork.Size{MilliCores: 15000, MemoryMB: 16000}, shrunk: 9, want: 1},
		"AllToNoMemory":   {capacity: ccwork.Size{MilliCores: 16000}, shrunk: 10, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const workers = 10
			var infos []WorkerInfo
			for i := range workers {
				infos = append(infos, testWorker(fmt.Sprintf("w%d", i)))
			}
			c := readyCell(t, infos...)
			c.AddJob(testJob("small", 16*workers), 1100, 1100)
			assert.Equal(t, len(runStarts(c, 1100)), 16*workers)
			for i := range test.shrunk {
				c.SetWorker(resized(infos[i], test.capacity), 1150)
			}
			large := testJob("large", workers)
			large.Stages[0].Size.MilliCores = 16000
			c.AddJob(large, 1200, 1200)
			assert.Equal(t, len(runStarts(c, 1200+holdAfterMs)), 0)
			s := c.stageOf(TaskID{Job: "large"})
			assert.Equal(t, len(s.held), test.want)
			for w := range s.held {
				assert.Assert(t, s.need.Fits(&w.info.Capacity), "%s is held", w.info.ID)
			}
		})
	}
}

// The policy service is not asked about workers that are too small for one task, and not at all if all are.
func TestShrunkWorkersAreNotNamedToPolicyService(t *testing.T) {
	c := readyCell(t, testWorker("w1"), testWorker("w2"))
	j := testJob("a", 1)
	j.Queue.Advice = &AdviceConfig{DecideMs: 370, PerWorkerMs: 5.3, ValidMs: 2000}
	c.SetWorker(resized(testWorker("w1"), ccwork.Size{}), 1050)
	c.SetWorker(resized(testWorker("w2"), ccwork.Size{MilliCores: 900, MemoryMB: 16000}), 1050)
	c.AddJob(j, 1100, 1100)
	assert.Equal(t, len(runRound(c, 1100).AdviceRequests), 0)
	c.SetWorker(testWorker("w2"), 1200)
	out := runRound(c, 1200)
	assert.Equal(t, len(out.AdviceRequests), 1)
	assert.DeepEqual(t, out.AdviceRequests[0].Workers, []string{"w2"})
	// The worker shrinks while the call is in flight: the ticket is of no use until it has grown again.
	c.SetWorker(resized(testWorker("w2"), ccwork.Size{MemoryMB: 16000}), 1300)
	c.OnAdviceReply(&AdviceReply{Stage: out.AdviceRequests[0].Stage, Workers: []string{"w2"}, Tickets: map[string]string{"w2": "ticket"}, ValidMs: 2000}, 1400)
	assert.Equal(t, len(runStarts(c, 1450)), 0)
	c.SetWorker(testWorker("w2"), 1500)
	assert.Equal(t, len(runStarts(c, 1550)), 1)
}

// A new leader finds more running on a worker than its present capacity. The capacity of the registration counts, not
// that of the prior leader's roster, in whichever order they are read.
func TestTakeoverOfShrunkWorker(t *testing.T) {
	shrunk := resized(testWorker("w"), ccwork.Size{MilliCores: 3000, MemoryMB: 16000})
	tests := map[string]func(c *Cell){
		"RegistrationFirst": func(c *Cell) {
			c.SetWorker(shrunk, 1000)
			c.AdoptWorker(testWorker("w"), 1000)
		},
		"RosterFirst": func(c *Cell) {
			c.AdoptWorker(testWorker("w"), 1000)
			c.SetWorker(shrunk, 1010)
		},
		"ReadAgain": func(c *Cell) {
			c.SetWorker(testWorker("w"), 1000)
			c.SetWorkers([]WorkerInfo{shrunk}, nil, 1010)
		},
	}
	for name, read := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			c.ExtendAuthority(1 << 40)
			read(c)
			c.Adopt(StoredJob{Job: testJob("a", 6)}, 1000, 1000)
			lists := &TaskLists{}
			for i := range 4 {
				lists.Running = append(lists.Running, RunningTask{Task: TaskID{Job: "a", Index: i}, Attempt: int64(1<<attemptBits + i)})
			}
			pollAll(t, c, 1050, map[string]*TaskLists{"w": lists})
			assert.Equal(t, len(runStarts(c, 1100)), 0)
			assert.Equal(t, c.workers["w"].free().MilliCores, int64(-1000))
			// Two of the four end: there is capacity for one task.
			for i := range 2 {
				c.endAttempt(c.stageOf(TaskID{Job: "a"}).tasks[i][0], EndDone, "", 1150)
			}
			assert.Equal(t, len(runStarts(c, 1200)), 1)
			c.SetWorker(testWorker("w"), 1250)
			assert.Equal(t, len(runStarts(c, 1300)), 1)
		})
	}
}

// A worker that has restarted with less capacity gets no more than that. A start in doubt from before the restart still
// counts.
func TestRestartWithLessCapacity(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	c.AddJob(testJob("a", 4), 1100, 1100)
	out := runRound(c, 1100)
	assert.Equal(t, len(out.Starts), 4)
	for i := range out.Starts {
		r := executedReply(1110)
		if i == 0 {
			r = Reply{Outcome: ReplyLost, Sent: 1100, Received: 1110}
		}
		c.OnStartReply(&out.Starts[i], r, 1110)
	}
	restarted := resized(testWorker("w"), ccwork.Size{MilliCores: 3000, MemoryMB: 16000})
	restarted.IncarnationMs = 3000
	c.SetWorker(restarted, 3000) // Later than recentStartMs after the starts, so that no task gets a trial.
	c.Schedule(3050, 3050)
	polls := c.TakeOrders().Polls
	assert.Equal(t, len(polls), 1)
	r := executedReply(3060)
	r.IncarnationMs = 3000
	c.OnPollReply(&polls[0], r, &TaskLists{}, 3060)
	got := runStarts(c, 3000+refusalDelayMs+100)
	assert.Equal(t, len(got), 2)
	assert.Assert(t, !slices.ContainsFunc(got, func(o StartOrder) bool { return o.Task == out.Starts[0].Task }))
}

// A copy of a straggler is not started on a worker that has shrunk.
func TestCopyOfStragglerOnShrunkWorker(t *testing.T) {
	c := readyCell(t, testWorker("w1"), testWorker("w2"))
	j := testJob("a", 1)
	j.Stages[0].Speculative = true
	c.AddJob(j, 1100, 1100)
	got := runStarts(c, 1100)
	assert.Equal(t, len(got), 1)
	other := map[string]string{"w1": "w2", "w2": "w1"}[got[0].WorkerID]
	c.SetWorker(resized(testWorker(other), ccwork.Size{MilliCores: 900, MemoryMB: 16000}), 1150)
	s := c.stageOf(got[0].Task)
	c.move(s, s.tasks[0][0], "lags", 5000, 500, 1200)
	assert.Equal(t, len(runStarts(c, 1250)), 0)
	c.SetWorker(testWorker(other), 1300)
	copies := runStarts(c, 1350)
	assert.Equal(t, len(copies), 1)
	assert.Equal(t, copies[0].WorkerID, other)
}

// Each change of a worker's capacity is logged once, with the old and the new one.
func TestCapacityChangeIsLogged(t *testing.T) {
	var got []string
	c := New(Config{Token: 1, LeaseMs: 4000, PriorLeaseMs: 4000, Log: func(event string, kv ...any) {
		if event == "worker capacity changed" {
			got = append(got, fmt.Sprint(kv[:6]...))
		}
	}}, 1000)
	full := testWorker("w")
	shrunk := resized(full, ccwork.Size{MemoryMB: 5})
	for _, w := range []WorkerInfo{full, full, shrunk, shrunk, full} {
		c.SetWorker(w, 1000)
	}
	assert.DeepEqual(t, got, []string{
		fmt.Sprint("Worker", "w", "Before", full.Capacity, "Capacity", shrunk.Capacity),
		fmt.Sprint("Worker", "w", "Before", shrunk.Capacity, "Capacity", full.Capacity),
	})
}
