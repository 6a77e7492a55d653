package cccontrol

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Up to a hundred members nothing slows down; from there on the leader's work for them, and what each reads, stay bounded.
func TestMembershipSlowsDown(t *testing.T) {
	const (
		msPerS        = 1000
		callsPerS     = 1100 // 130 microseconds each: a seventh of a core.
		entryBytes    = 200
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
			assert.Assert(t, ms(n)*entryBytes*msPerS/memberPollIntervalMs(n) <= bytesPerS)
			// Leases outlast a leader that is confirmed as seldom as this.
			assert.Assert(t, termAuthorityMs(n) < smallestLease)
		})
	}
}
