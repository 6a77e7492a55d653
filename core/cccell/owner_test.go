package cccell

import (
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// TestOwnerIsRecorded checks that the team of a job reaches the callers' processes with its states, and that the final
// record has the owner, since it outlasts the submission. A job without a team has neither.
func TestOwnerIsRecorded(t *testing.T) {
	tests := map[string]struct {
		team    string
		adopted bool
		want    *Owner
	}{
		"Team":        {"a", false, &Owner{Team: "a", Key: 7, Queue: "q"}},
		"AdoptedTeam": {"a", true, &Owner{Team: "a", Key: 7, Queue: "q"}},
		"NoTeam":      {"", false, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 1, LeaseMs: 3000, Log: func(string, ...any) {}}, 1000)
			j := &Job{ID: "j", Queue: Queue{Name: "q", Service: "s"}, Stages: []Stage{{Count: 1, Size: ccwork.Size{MilliCores: 1}}}, Team: test.team}
			if test.team != "" {
				j.Key = 7
			}
			if test.adopted {
				c.Adopt(StoredJob{Job: j}, 1000, 5000)
			} else {
				c.AddJob(j, 1000, 5000)
			}
			for _, s := range append(c.States(), c.TakeOrders().Changes...) {
				assert.Equal(t, s.Team, test.team)
			}
			c.Cancel("j", 1100)
			writes := c.NextWrites(31, 6000)
			assert.Equal(t, len(writes), 1)
			assert.DeepEqual(t, writes[0].Progress.Owner, test.want)
			c.OnWritten(writes, 3, 1200)
			changes := c.TakeOrders().Changes
			assert.Equal(t, changes[len(changes)-1], StateChange{Job: "j", State: Cancelled, Team: test.team})
		})
	}
}
