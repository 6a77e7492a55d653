package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Tasks ran on a worker that the roster did not have when the leader was lost, and the next leader started them again.
func TestNoTasksOnUnrecordedWorkers(t *testing.T) {
	tests := map[string]struct {
		// recorded holds what the store may hold from one round to the next.
		recorded []map[string]bool
		want     string
	}{
		"Never":            {[]map[string]bool{{}, {}}, ""},
		"OtherWorkers":     {[]map[string]bool{{"w2": true}, {"w2": true}}, ""},
		"Before":           {[]map[string]bool{{"w1": true}, {"w1": true}}, "w1"},
		"Since":            {[]map[string]bool{{}, {"w1": true}}, "w1"},
		"LeftOutMeanwhile": {[]map[string]bool{{"w1": true}, {}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 1, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, AwaitRoster: true}, 1000)
			c.SetRecorded(test.recorded[0])
			c.SetWorker(testWorker("w1"), 1000)
			pollAll(t, c, 1010, nil)
			c.SetRecorded(test.recorded[1])
			c.AddJob(testJob("j", 1), 1050, 1050)
			starts := runStarts(c, 1060)
			if test.want == "" {
				assert.Equal(t, len(starts), 0)
				assert.Equal(t, c.Unrecorded(), 1)
				return
			}
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].WorkerID, test.want)
			assert.Equal(t, c.Unrecorded(), 0)
		})
	}
}

// A worker whose registration has lapsed and come back was recorded all the while.
func TestRecordedWorkerThatRegistersAgainGetsTasks(t *testing.T) {
	c := New(Config{Token: 1, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, AwaitRoster: true}, 1000)
	c.SetRecorded(map[string]bool{"w1": true})
	c.SetWorker(testWorker("w1"), 1000)
	pollAll(t, c, 1010, nil)
	c.MarkUnlisted("w1")
	for now := ms(1100); c.workers["w1"] != nil; now += 100 {
		pollAll(t, c, now, nil)
		assert.Assert(t, now < 20_000, "the worker is not forgotten")
	}
	c.SetWorker(testWorker("w1"), 20_000)
	pollAll(t, c, 20_010, nil)
	c.AddJob(testJob("j", 1), 20_050, 20_050)
	assert.Equal(t, len(runStarts(c, 20_060)), 1)
}
