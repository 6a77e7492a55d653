package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Answers of a worker overtake each other. A list that was sent for before a start was confirmed does not show that the task is gone, and
// one that is older than another that was read does not bring back what has ended.
func TestListsOutOfOrder(t *testing.T) {
	reply := func(sent, clock ms) Reply {
		return Reply{Outcome: Carried, ClockMs: int64(clock), BornMs: 1000, Sent: sent, Received: clock}
	}
	task := TaskID{Job: "j"}
	tests := map[string]struct {
		// Times at which the second look is sent, and at which the worker writes its answer. The start is confirmed at 1120.
		sent, clock ms
		running     bool
		ended       bool
		attempts    int
		startsAgain bool
	}{
		"AskedBeforeTheStart":      {sent: 1110, clock: 1115, attempts: 1},
		"AskedAfterTheStart":       {sent: 1130, clock: 1140, startsAgain: true},
		"ShowsItRunning":           {sent: 1130, clock: 1140, running: true, attempts: 1},
		"OlderThanTheListOfItsEnd": {sent: 1130, clock: 1140, running: true, ended: true, attempts: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := ready(t, testWorker("w"))
			c.Add(testJob("j", 1), 1100, 1100)
			got := starts(c, 1120)
			assert.Equal(t, len(got), 1)
			w := c.workers["w"]
			if test.ended {
				c.OnLook(&LookOrder{worker: w}, reply(1150, 1200), &Lists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: got[0].Attempt, End: EndDone}}}, 1200)
			}
			lists := &Lists{}
			if test.running {
				lists.Running = []RunningTask{{Task: task, Attempt: got[0].Attempt}}
			}
			c.OnLook(&LookOrder{worker: w}, reply(test.sent, test.clock), lists, 1210)
			assert.Equal(t, len(w.attempts), test.attempts)
			assert.Equal(t, len(starts(c, 1220)) == 1, test.startsAgain)
		})
	}
}

// A failure that two lists name counts once.
func TestFailureIsCountedOnce(t *testing.T) {
	c := ready(t, testWorker("w"))
	j := testJob("j", 1)
	c.Add(j, 1100, 1100)
	for range j.Queue.MaxAttempts - 1 {
		got := starts(c, 1120)
		assert.Equal(t, len(got), 1)
		s := c.stageOf(got[0].Task)
		a := s.tasks[0][0]
		c.ended(a, EndFailed, "", 1130)
		c.ended(a, EndFailed, "", 1130)
	}
	assert.Equal(t, c.jobs["j"].final, State(""))
}
