package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// pagedWorker is a worker that ends the tasks of "j" one after the other, and lists one end in a reply.
type pagedWorker struct {
	ends  int   // The number of its ends.
	acked int64 // The last end that it has forgotten.
	// silentFrom is when it falls silent, 0 for never.
	silentFrom ms
}

// reply returns the reply to a poll.
func (w *pagedWorker) reply(o *PollOrder, now ms) (Reply, *TaskLists) {
	if w.silentFrom > 0 && now >= w.silentFrom {
		return Reply{Outcome: ReplyLost, Sent: now, Received: now}, &TaskLists{}
	}
	w.acked = max(w.acked, o.AckedEnd)
	lists := &TaskLists{}
	if next := w.acked + 1; next <= int64(w.ends) {
		lists.Ended = []EndedTask{{Number: next, Task: TaskID{Job: "j", Index: int(next) - 1}, Attempt: 1<<attemptBits + next, End: EndDone}}
		lists.EndsCutOff = true
	}
	return executedReply(now), lists
}

// Tasks whose ends a worker had not listed in its first reply were started again by a new leader. It reads on as fast as the ends are
// written, starts nothing of their job before, and does not hold up new jobs.
func TestEndsBeyondTheFirstReplyAreRead(t *testing.T) {
	const (
		ends, tasks    = 20, 22
		writeMs     ms = 30
		stepMs      ms = 10
		unknownMs   ms = unknownWriteAfterMs
		// readMs is the time in which all ends are read: one after the other, each as soon as the one before is written.
		readMs = ends*(writeMs+minPollIntervalMs+2*stepMs) + 200
		// usualMs is the time within which a job starts that waits for nothing.
		usualMs ms = 100
	)
	tests := map[string]struct {
		unknown    bool // The job becomes known only after unknownMs.
		silentFrom ms
		// missing is the time from the handover within which the tasks without an end start, notBefore that before which they don't.
		missing, notBefore ms
		// newJob is the time within which another job starts that comes 100 ms after the handover.
		newJob ms
	}{
		"Known":        {missing: readMs, newJob: usualMs},
		"FallsSilent":  {silentFrom: handoverAtMs + 300, notBefore: 4000, missing: maxLeaseDuration(silentLeaseMs) + 1000, newJob: usualMs},
		"JobIsUnknown": {unknown: true, missing: readMs + unknownMs, newJob: readMs}, // It could be the unknown one.
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: silentLeaseMs, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, handoverAtMs)
			c.SetHandover(handoverAtMs)
			c.SetWorker(testWorker("paged"), handoverAtMs)
			c.SetWorker(testWorker("other"), handoverAtMs)
			paged := &pagedWorker{ends: ends, silentFrom: test.silentFrom}
			if !test.unknown {
				c.Adopt(StoredJob{Job: testJob("j", tasks)}, handoverAtMs, handoverAtMs)
			}
			started := map[int]ms{}
			var writes []ProgressWrite
			var writtenAt ms
			running := map[string][]RunningTask{}
			newStartedAt := ms(0)
			for now := handoverAtMs; now < handoverAtMs+test.missing; now += stepMs {
				if test.unknown && now == handoverAtMs+unknownMs {
					c.AddJob(testJob("j", tasks), now, now)
				}
				if now == handoverAtMs+100 {
					c.AddReportedJob(testJob("new", 1), false, now, now)
				}
				if len(writes) > 0 && now >= writtenAt {
					c.OnWritten(writes, int64(now), now)
					writes = nil
				}
				if len(writes) == 0 {
					if writes = c.NextWrites(30, now); len(writes) > 0 {
						writtenAt = now + writeMs
					}
				}
				c.Schedule(now, now)
				out := c.TakeOrders()
				for i := range out.Starts {
					o := &out.Starts[i]
					if o.Task.Job == "new" {
						newStartedAt = now
					} else {
						assert.Assert(t, started[o.Task.Index] == 0, "task %d started twice", o.Task.Index)
						started[o.Task.Index] = now
					}
					running[o.WorkerID] = append(running[o.WorkerID], RunningTask{Task: o.Task, Attempt: o.Attempt})
					c.OnStartReply(o, executedReply(now), now)
				}
				for i := range out.Polls {
					o := &out.Polls[i]
					r, lists := executedReply(now), &TaskLists{}
					if o.WorkerID == "paged" {
						r, lists = paged.reply(o, now)
					}
					lists.Running = running[o.WorkerID]
					c.OnPollReply(o, r, lists, now)
				}
			}
			for i, at := range started {
				assert.Assert(t, at-handoverAtMs >= test.notBefore, "task %d started %d ms after the handover", i, at-handoverAtMs)
				assert.Assert(t, test.silentFrom > 0 || i >= ends, "task %d, which was done, started again", i)
			}
			for i := ends; i < tasks; i++ {
				assert.Assert(t, started[i] > 0, "task %d, which has no end, did not start", i)
			}
			assert.Assert(t, newStartedAt > 0 && newStartedAt-handoverAtMs-100 < test.newJob, "a new job started at %d", newStartedAt)
		})
	}
}
