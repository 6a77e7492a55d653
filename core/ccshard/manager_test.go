package ccshard

import (
	"testing"

	"coriandercross/core/ccclock"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// owned returns a keeper that owns a shard since now, by its own first record.
func owned(t *testing.T, self, heir string, now ccclock.Millis) *Manager {
	t.Helper()
	cfg := modelConfig
	cfg.Self = self
	k := NewManager(cfg)
	k.Observe(Table{Version: 1, Records: map[string]Record{"s": {Owner: self, Successor: heir, Epoch: 1, Released: true}}}, now, now)
	return k
}

func viewOf(ids ...string) View {
	v := View{Shards: []string{"s"}, Busy: func(string) bool { return false }, Dead: func(string) bool { return false }}
	for _, id := range ids {
		v.Candidates = append(v.Candidates, Candidate{ID: id, FailureDomain: id})
	}
	return v
}

// TestReleaseInDoubtStaysClosed is a regression: an owner that saw nobody else opened a shard again
// whose hand-over was still in doubt. Found by TestOneOwner.
func TestReleaseInDoubtStaysClosed(t *testing.T) {
	k := owned(t, "a", "b", 1_000)
	v := viewOf("a", "b")
	v.Draining = true
	assert.Equal(t, len(k.Plan(v, 1_001)), 1)
	k.WriteInDoubt()
	alone := viewOf("a")
	alone.Draining = true
	assert.Equal(t, len(k.Plan(alone, 1_002)), 0)
	_, err := k.Authority("s", 1_003)
	assert.Assert(t, errors.Is(err, ErrReleasing))
}

// TestReleaseWaitsForLastOwner is a regression: a taker handed a shard on, as released, while the
// owner before it could still act. Found by TestOneOwner.
func TestReleaseWaitsForLastOwner(t *testing.T) {
	cfg := modelConfig
	cfg.Self = "b"
	k := NewManager(cfg)
	k.Observe(Table{Version: 1, Records: map[string]Record{"s": {Owner: "a", Successor: "b", Epoch: 1}}}, 1_000, 1_000)
	took := k.Plan(viewOf("b"), 1_001)
	assert.Equal(t, took[0].Record.Owner, "b")
	k.Observe(Table{Version: 2, Records: map[string]Record{"s": took[0].Record}}, 1_001, 1_010)
	v := viewOf("b", "c")
	v.Draining = true
	assert.Equal(t, len(k.Plan(v, 1_020)), 0)
	safe := 1_010 + cfg.ReadWindow + cfg.Drift
	assert.Equal(t, len(k.Plan(v, safe)), 1)
}

// TestOutage shows what a store outage of an hour does: with promises the owner works on, without
// them it fences itself.
func TestOutage(t *testing.T) {
	const hour, round = ccclock.Millis(3_600_000), ccclock.Millis(500)
	cases := map[string]struct {
		promise ccclock.Millis
		works   bool
	}{
		"Promises":   {modelConfig.GrantPeriod, true},
		"NoPromises": {0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := modelConfig
			cfg.GrantPeriod = tc.promise
			cfg.Self = "a"
			owner := NewManager(cfg)
			cfg.Self = "b"
			heir := NewManager(cfg)
			table := Table{Version: 1, Records: map[string]Record{"s": {Owner: "a", Successor: "b", Epoch: 1, Released: true}}}
			owner.Observe(table, 0, 0)
			heir.Observe(table, 0, 0)
			for now := ccclock.Millis(1); now < hour; now += round {
				granted := heir.Grant("a", owner.GrantRequests()["b"], now)
				owner.RecordGrants("b", granted, now)
			}
			_, err := owner.Authority("s", hour)
			assert.Equal(t, err == nil, tc.works)
		})
	}
}
