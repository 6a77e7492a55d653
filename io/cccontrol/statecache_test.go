package cccontrol

import (
	"testing"

	"coriandercross/core/cccell"

	"gotest.tools/v3/assert"
)

// TestTeamIsReplicatedOnce checks that each peer learns the team of a job, from the first change, from the states of all
// jobs or at a change of the leader, and that later changes of the term don't repeat it.
func TestTeamIsReplicatedOnce(t *testing.T) {
	tests := map[string]struct {
		// merged is true if the leader accepted the job itself, so that its state is no change. joins is the number of
		// changes before the peer has a position, takeover the number before another process leads.
		merged          bool
		joins, takeover int
	}{
		"FromFirst":           {false, 0, 9},
		"FromFirstMerged":     {true, 0, 9},
		"JoinsLater":          {false, 1, 9},
		"JoinsLaterMerged":    {true, 1, 9},
		"JoinsAtEnd":          {true, 2, 9},
		"TakeoverAfterFirst":  {false, 0, 1},
		"TakeoverAfterSecond": {true, 0, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader, peer := newStateCache(), newStateCache()
			leader.beginTerm(3, nil, 1000)
			if test.joins == 0 {
				last, _, changes, _ := leader.changesSince(0, 0)
				peer.applyReplicated(3, last, changes, 1000)
			}
			if test.merged {
				leader.merge("j", "a", cccell.Queued, 1000)
			}
			states := []cccell.State{cccell.Queued, cccell.Running, cccell.Completed}
			sent := 0
			for i, s := range states {
				if i == test.takeover {
					next := newStateCache()
					last, _, changes, _ := leader.changesSince(0, 0)
					next.applyReplicated(3, last, changes, 1050)
					next.beginTerm(4, []cccell.StateChange{{Job: "j", State: states[i-1], Team: "a"}}, 1060)
					leader, sent = next, 0
				}
				leader.apply([]cccell.StateChange{{Job: "j", State: s, Team: "a"}}, 1100)
				if i < test.joins {
					continue
				}
				token, seq := peer.position()
				last, full, changes, _ := leader.changesSince(token, seq)
				for _, c := range changes {
					if c.Team != "" && !full {
						sent++
					}
				}
				peer.applyReplicated(leader.token, last, changes, 1200)
				if len(changes) > 0 {
					state, team, known := peer.job("j")
					assert.Assert(t, known)
					assert.Equal(t, state, s)
					assert.Equal(t, team, "a")
				}
			}
			assert.Assert(t, sent <= 1, "the team was sent %d times in a term", sent)
			if test.joins == 0 && test.takeover > len(states) {
				assert.Equal(t, sent, 1)
			}
			state, team, known := peer.job("j")
			assert.Assert(t, known && state == cccell.Completed && team == "a")
			peer.expire(1000, 9000)
			assert.Equal(t, len(peer.teams), 0)
		})
	}
}

// TestExcessIsReplicated checks that a peer knows which jobs are beyond the budgets of their teams until they have ended,
// also if it has the job already, or needs all states.
func TestExcessIsReplicated(t *testing.T) {
	tests := map[string]struct {
		full bool
		end  cccell.State
		want []string
	}{
		"Change": {false, "", []string{"j"}},
		"Full":   {true, "", []string{"j"}},
		"Ended":  {false, cccell.Completed, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader, peer := newStateCache(), newStateCache()
			leader.beginTerm(3, nil, 1000)
			_, seq := leader.position()
			leader.merge("j", "", cccell.Queued, 1000) // Both have accepted the job themselves.
			peer.merge("j", "", cccell.Queued, 1000)
			changes := []cccell.StateChange{{Job: "j", State: cccell.Queued}, {Job: "j", State: cccell.Queued, Excess: true}}
			if test.end != "" {
				changes = append(changes, cccell.StateChange{Job: "j", State: test.end})
			}
			leader.apply(changes, 1100)
			if test.full {
				seq = -1
			}
			last, _, replicated, _ := leader.changesSince(3, seq)
			peer.applyReplicated(3, last, replicated, 1200)
			assert.DeepEqual(t, peer.excessJobs(), test.want)
			assert.DeepEqual(t, leader.excessJobs(), test.want)
		})
	}
}

// The first change that peers got of a job that the leader had accepted itself did not name its team, so that they let other
// teams read the job.
func TestFirstChangeNamesTheTeam(t *testing.T) {
	tests := map[string]cccell.StateChange{
		"Excess":  {Job: "j", State: cccell.Queued, Excess: true},
		"Started": {Job: "j", State: cccell.Running},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			leader, peer := newStateCache(), newStateCache()
			leader.beginTerm(3, nil, 1000)
			token, seq := leader.position()
			leader.merge("j", "a", cccell.Queued, 1000)
			leader.apply([]cccell.StateChange{change}, 1100)
			next, _, changes, _ := leader.changesSince(token, seq)
			peer.applyReplicated(token, next, append(changes, cccell.StateChange{Job: "j", State: cccell.Running}), 1200)
			_, team, known := peer.job("j")
			assert.Assert(t, known)
			assert.Equal(t, team, "a")
		})
	}
}
