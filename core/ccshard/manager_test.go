package ccshard

import (
	"testing"

	"coriandercross/core/ccclock"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// newOwner returns a manager that owns a shard from now on, by the first record of the shard.
func newOwner(t *testing.T, self, successor string, now ccclock.Millis) *Manager {
	t.Helper()
	cfg := modelConfig
	cfg.Self = self
	m := NewManager(cfg)
	m.Observe(Table{Version: 1, Records: map[string]Record{"s": {Owner: self, Successor: successor, Epoch: 1, Released: true}}}, now, now)
	return m
}

func newView(ids ...string) PlanInput {
	v := PlanInput{Shards: []string{"s"}, Busy: func(string) bool { return false }, Dead: func(string) bool { return false }}
	for _, id := range ids {
		v.Candidates = append(v.Candidates, Candidate{ID: id, FailureDomain: id})
	}
	return v
}

// TestReleaseInDoubtStaysClosed guards against a regression found by TestOneOwner: an owner whose handover of a shard
// was in doubt acted for the shard again once it saw no other process that could take it.
func TestReleaseInDoubtStaysClosed(t *testing.T) {
	m := newOwner(t, "a", "b", 1_000)
	v := newView("a", "b")
	v.Draining = true
	assert.Equal(t, len(m.Plan(v, 1_001)), 1)
	m.WriteInDoubt()
	noOther := newView("a")
	noOther.Draining = true
	assert.Equal(t, len(m.Plan(noOther, 1_002)), 0)
	_, err := m.Authority("s", 1_003)
	assert.Assert(t, errors.Is(err, ErrReleasing))
}

// TestReleaseWaitsForLastOwner guards against a regression found by TestOneOwner: a process that had taken a shard over
// released it to a third process while the first owner could still act.
func TestReleaseWaitsForLastOwner(t *testing.T) {
	cfg := modelConfig
	cfg.Self = "b"
	m := NewManager(cfg)
	m.Observe(Table{Version: 1, Records: map[string]Record{"s": {Owner: "a", Successor: "b", Epoch: 1}}}, 1_000, 1_000)
	takeover := m.Plan(newView("b"), 1_001)
	assert.Equal(t, takeover[0].Record.Owner, "b")
	m.Observe(Table{Version: 2, Records: map[string]Record{"s": takeover[0].Record}}, 1_001, 1_010)
	v := newView("b", "c")
	v.Draining = true
	assert.Equal(t, len(m.Plan(v, 1_020)), 0)
	priorEnd := 1_010 + cfg.ReadWindow + cfg.Drift
	assert.Equal(t, len(m.Plan(v, priorEnd)), 1)
}

// TestOutage checks a store outage of one hour: with grants the owner keeps its authority, without them it loses it.
func TestOutage(t *testing.T) {
	const hour, round = ccclock.Millis(3_600_000), ccclock.Millis(500)
	cases := map[string]struct {
		grantPeriod ccclock.Millis
		authority   bool
	}{
		"Grants":   {modelConfig.GrantPeriod, true},
		"NoGrants": {0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := modelConfig
			cfg.GrantPeriod = tc.grantPeriod
			cfg.Self = "a"
			owner := NewManager(cfg)
			cfg.Self = "b"
			successor := NewManager(cfg)
			table := Table{Version: 1, Records: map[string]Record{"s": {Owner: "a", Successor: "b", Epoch: 1, Released: true}}}
			owner.Observe(table, 0, 0)
			successor.Observe(table, 0, 0)
			for now := ccclock.Millis(1); now < hour; now += round {
				granted := successor.Grant("a", owner.GrantRequests()["b"], now)
				owner.RecordGrants("b", granted, now)
			}
			_, err := owner.Authority("s", hour)
			assert.Equal(t, err == nil, tc.authority)
		})
	}
}
