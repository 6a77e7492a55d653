package cccontrol

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// emptyStore has no keys.
type emptyStore struct {
	Store
}

func (emptyStore) Range(context.Context, string, bool) ([]Item, int64, error) { return nil, 1, nil }

func (emptyStore) Get(context.Context, string) (Item, error) { return Item{}, ErrNoKey }

// fixedDirectory lists the same workers always.
type fixedDirectory struct {
	Directory
	workers []cccell.WorkerInfo
}

func (d fixedDirectory) List(context.Context) ([]cccell.WorkerInfo, []string, int64, error) {
	return d.workers, nil, 1, nil
}

// A new leader keeps the caps of the configuration that the process has from its first round on.
func TestNewLeaderKnowsTheCaps(t *testing.T) {
	size := ccwork.Size{MilliCores: 1000}
	tests := map[string]struct {
		config *cccell.Configuration
		want   int
	}{
		"Capped":          {&cccell.Configuration{Version: 1, Teams: []cccell.Team{{Name: "red", Limits: ccquota.Limits{Cap: size.Times(2)}}}}, 2},
		"NoTeams":         {&cccell.Configuration{Version: 1}, 4},
		"NoConfiguration": {nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, emptyStore{})
			p.cfg.Directory = fixedDirectory{workers: []cccell.WorkerInfo{{ID: "w", Address: "w:1", Service: "s", IncarnationMs: 1, Capacity: size.Times(4)}}}
			if test.config != nil {
				p.config.Store(&activeConfig{config: test.config})
			}
			const began ms = 1000
			l := &leadership{p: p, cell: cccell.New(cccell.Config{Token: 1, LeaseMs: 3000, AuthorityMs: 1000}, began)}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l.ctx = ctx
			_, _, err := l.load()
			assert.NilError(t, err)
			now := p.now() + began
			l.cell.ExtendAuthority(now + 1000)
			l.cell.AddJob(&cccell.Job{ID: "j", Team: "red", Queue: cccell.Queue{Name: "q", Service: "s"}, Stages: []cccell.Stage{{Count: 4, Size: size}}}, now, now)
			starts := 0
			for range 3 {
				now += 100
				l.cell.Schedule(now, now)
				out := l.cell.TakeOrders()
				starts += len(out.Starts)
				for i := range out.Polls {
					l.cell.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.Executed, ClockMs: int64(now), IncarnationMs: 1, Sent: now, Received: now}, &cccell.TaskLists{}, now)
				}
			}
			assert.Equal(t, starts, test.want)
		})
	}
}

// memoryStore keeps what is written, without checking conditions.
type memoryStore struct {
	emptyStore
	items map[string][]byte
}

func (s memoryStore) Range(_ context.Context, prefix string, _ bool) ([]Item, int64, error) {
	var out []Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, Item{Key: key, Value: s.items[key], Revision: 1})
		}
	}
	return out, 1, nil
}

func (s memoryStore) Write(_ context.Context, t *Txn) (int64, error) {
	for _, p := range t.Puts {
		s.items[p.Key] = p.Value
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	return 1, nil
}

// The ends of tasks of a job that a leader does not know reach the next leader through the store, and are removed from it
// with the job.
func TestEndsOfUnknownJobReachTheNextLeader(t *testing.T) {
	store := memoryStore{items: map[string][]byte{}}
	p := newFollower(t, store)
	p.cfg.Directory = fixedDirectory{workers: []cccell.WorkerInfo{{ID: "w", Address: "w:1", Service: "s", IncarnationMs: 1, Capacity: ccwork.Size{MilliCores: 4}}}}
	lists := &cccell.TaskLists{Ended: []cccell.EndedTask{{Number: 1, Task: cccell.TaskID{Job: "j"}, Attempt: 5, End: cccell.EndDone}}}
	lead := func(token int64, during func(l *leadership, now ms)) {
		l := newLeadership(p, token)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l.ctx = ctx
		began := p.now() + 1000
		l.cell = cccell.New(cccell.Config{Token: token, LeaseMs: 3000, AuthorityMs: 1000, PriorUnstored: true, Ended: p.stateCache.ended}, began)
		_, _, err := l.load()
		assert.NilError(t, err)
		during(l, began)
		for _, now := range []ms{began + 1, began + 2000} {
			l.cell.Schedule(now, now)
			out := l.cell.TakeOrders()
			for i := range out.Polls {
				l.cell.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.Executed, ClockMs: int64(now), IncarnationMs: 1, Sent: now, Received: now}, lists, now)
			}
		}
		if writes := l.cell.NextWrites(maxWriteRows, unixNow()); len(writes) > 0 {
			l.writeProgress(writes, 0)
		}
	}
	lead(1, func(*leadership, ms) {})
	assert.Equal(t, len(store.items), 1)
	lists = &cccell.TaskLists{}
	lead(2, func(l *leadership, now ms) {
		l.cell.AddReportedJob(oneTaskJob(), true, now, now)
		assert.Assert(t, l.cell.PendingWrites() > 0) // The job is completed.
	})
	assert.Equal(t, len(store.items), 1)
	var pr cccell.Progress
	assert.NilError(t, decode(prefixProgress+"j", store.items[prefixProgress+"j"], &pr))
	assert.Equal(t, pr.State, cccell.Completed)
}
