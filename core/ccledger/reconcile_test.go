package ccledger

import (
	"testing"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// A shard is ready once the tasks of all its workers are known. Found by TestRequestsBehindLongWork of io/ccharness: an
// owner that had just gained a shard reported it as ready, without tasks, before it had added the shard's workers, so
// that the tasks that ran there were started again elsewhere.
func TestShardReady(t *testing.T) {
	const lease = ccclock.Millis(6000)
	tests := map[string]struct {
		setUp func(p *Pool)
		now   ccclock.Millis
		want  bool
	}{
		"NoWorkersYet": {func(*Pool) {}, 100_000, false},
		"NotRead":      {func(p *Pool) { p.Add(Worker{ID: "w"}, "s", 1000) }, 2000, false},
		"Read": {func(p *Pool) {
			p.Add(Worker{ID: "w"}, "s", 1000)
			p.Reconcile("w", []Row{{Task: "t", Size: ccwork.Size{Slots: 1}}}, 1500, 1500)
		}, 2000, true},
		"OneOfTwoRead": {func(p *Pool) {
			p.Add(Worker{ID: "w"}, "s", 1000)
			p.Add(Worker{ID: "x"}, "s", 1000)
			p.Reconcile("w", nil, 1500, 1500)
		}, 2000, false},
		"SilentForALease": {func(p *Pool) { p.Add(Worker{ID: "w"}, "s", 1000) }, 1000 + lease, true},
		"Removed": {func(p *Pool) {
			p.Add(Worker{ID: "w"}, "s", 1000)
			p.Reconcile("w", nil, 1500, 1500)
			p.Remove("w")
		}, 2000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(Config{TaskLease: lease})
			test.setUp(p)
			assert.Equal(t, p.ShardReady("s", test.now), test.want)
		})
	}
}
