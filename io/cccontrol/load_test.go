package cccontrol

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
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

// failingReads is a store whose first reads of each kind fail or take long.
type failingReads struct {
	emptyStore
	mu     sync.Mutex
	fails  int
	delay  time.Duration
	ranges map[string]int
}

func (s *failingReads) Range(ctx context.Context, prefix string, stale bool) ([]Item, int64, error) {
	s.mu.Lock()
	s.ranges[prefix]++
	fail := prefix == prefixProgress && s.ranges[prefix] <= s.fails
	s.mu.Unlock()
	if prefix == prefixProgress && !sleep(ctx, ms(s.delay.Milliseconds())) {
		return nil, 0, ctx.Err()
	}
	if fail {
		return nil, 0, errors.Mark(errors.New("no reply"), ccstore.ErrUnavailable)
	}
	return s.emptyStore.Range(ctx, prefix, stale)
}

// A new leader whose link was full broke off all its reads after five seconds and began again, so that it never led (incident
// inc1 of razorez grown).
func TestLoadComesToItsEnd(t *testing.T) {
	tests := map[string]struct {
		fails int
		delay time.Duration
		// replaced is true if another leader is elected meanwhile.
		replaced bool
		want     bool
	}{
		"RepeatsOnlyWhatFailed": {fails: 2, want: true},
		"TakesLong":             {delay: 5200 * time.Millisecond, want: true},
		"Replaced":              {delay: 5200 * time.Millisecond, replaced: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &failingReads{fails: test.fails, delay: test.delay, ranges: map[string]int{}}
			p := newFollower(t, store)
			p.cfg.Directory = fixedDirectory{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := &leadership{p: p, token: 2, ctx: ctx, cell: cccell.New(cccell.Config{Token: 2, LeaseMs: 3000, AuthorityMs: 1000}, 1000)}
			if test.replaced {
				time.AfterFunc(200*time.Millisecond, func() { p.observeLeader(leaderRecord{VM: "other", Token: 3}, "test") })
			}
			began := time.Now()
			var err error
			for range test.fails + 1 {
				_, _, err = l.load()
			}
			assert.Equal(t, err == nil, test.want, "%v", err)
			assert.Equal(t, store.ranges[prefixProgress], test.fails+1)
			assert.Equal(t, store.ranges[prefixSubmissions], 1)
			if test.replaced {
				assert.Assert(t, time.Since(began) < time.Second, "the load went on for %s", time.Since(began))
			}
		})
	}
}

// pagedStore returns a range in pages, some time after each other on the given clock, and records what page sees.
type pagedStore struct {
	Store
	clock *steppedClock
	page  func()
}

// steppedClock is a clock that a test advances.
type steppedClock struct{ now ms }

func (c *steppedClock) Now() ms { return c.now }

const (
	testPages     = 30
	testPageDelay = ms(200)
)

func (s *pagedStore) Range(ctx context.Context, _ string, _ bool) ([]Item, int64, error) {
	for range testPages {
		s.clock.now += testPageDelay
		s.page()
		PageReceived(ctx)
	}
	return nil, 1, nil
}

// A leader that read many pages counted as one that does not reach the store, and was replaced.
func TestEachPageShowsThatTheStoreIsReached(t *testing.T) {
	clock := &steppedClock{now: 1000}
	store := &pagedStore{clock: clock}
	monitored := NewMonitoredStore(store, clock, nil)
	var oldest int64
	store.page = func() { oldest = max(oldest, monitored.AgeMs()) }
	_, _, err := monitored.Range(context.Background(), "p", false)
	assert.NilError(t, err)
	assert.Equal(t, oldest, int64(testPageDelay))
}
