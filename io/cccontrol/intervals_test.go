package cccontrol

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestIntervalsGrowWithMembers checks that the cost of membership stays bounded: the rate of calls to the leader, and
// the rate at which each process reads the membership. Up to 100 members, the heartbeat interval stays at its minimum.
func TestIntervalsGrowWithMembers(t *testing.T) {
	const (
		msPerS        = 1000
		callsPerS     = 1100 // A call costs 130 microseconds, so these take a seventh of a core.
		recordBytes   = 200
		bytesPerS     = 6000
		smallestLease = 2000
	)
	tests := map[string]struct {
		members                    int
		heartbeat, poll, authority ms
	}{
		"One":          {1, 150, 1000, 700},
		"Seven":        {7, 150, 1000, 700},
		"ThirtyOne":    {31, 150, 1085, 700},
		"Hundred":      {100, 150, 3500, 700},
		"ThreeHundred": {300, 450, 10500, 1300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := test.members
			assert.Equal(t, heartbeatMs(n), test.heartbeat)
			assert.Equal(t, memberPollIntervalMs(n), test.poll)
			assert.Equal(t, termAuthorityMs(n), test.authority)
			if n >= baseHeartbeatMembers {
				assert.Assert(t, ms(n)*msPerS/heartbeatMs(n) <= callsPerS)
				assert.Assert(t, ms(n)*msPerS/replyIntervalMs(n) <= callsPerS)
			}
			assert.Assert(t, ms(n)*recordBytes*msPerS/memberPollIntervalMs(n) <= bytesPerS)
			// The leases of workers must be longer than the authority of a leader that is no longer confirmed.
			assert.Assert(t, termAuthorityMs(n) < smallestLease)
		})
	}
}
