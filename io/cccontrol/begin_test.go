package cccontrol

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/cckey"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// outageStore does not execute any call until it is back.
type outageStore struct {
	Store
	back  atomic.Bool
	mu    sync.Mutex
	items map[string][]byte
}

func (s *outageStore) Write(ctx context.Context, t *Txn) (int64, error) {
	if !s.back.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
		return 0, errors.Mark(errors.New("no reply"), ccstore.ErrInDoubt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		s.items[p.Key] = p.Value
	}
	return 1, nil
}

// runningLeader confirms to run jobs, unless refuses is set, and records what it is told.
type runningLeader struct {
	ccpeer.CellHandler
	refuses bool
	mu      sync.Mutex
	begun   []ccpeer.BeginRequest
	stored  []ccpeer.NotifyRequest
}

func (l *runningLeader) Begin(_ context.Context, in *ccpeer.BeginRequest) (*ccpeer.BeginReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun = append(l.begun, *in)
	return &ccpeer.BeginReply{Begun: !l.refuses}, nil
}

func (l *runningLeader) Notify(_ context.Context, in *ccpeer.NotifyRequest) (*ccpeer.NotifyReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = append(l.stored, *in)
	return &ccpeer.NotifyReply{Leading: true}, nil
}

// oneTaskJob returns a job with one task.
func oneTaskJob() *cccell.Job {
	return &cccell.Job{ID: "j", Queue: cccell.Queue{Name: "q", Service: "s"}, Stages: []cccell.Stage{{Count: 1, Size: ccwork.Size{MilliCores: 1}}}}
}

// TestSubmissionInOutage checks what a caller hears whose submission can't be stored at once. While the leader runs the
// job, the caller waits, and is accepted as soon as the store is back; if that takes too long, it hears that the outcome
// is unknown, and the job is stored later. The caller is refused only if no process can have its job.
func TestSubmissionInOutage(t *testing.T) {
	tests := map[string]struct {
		backAfter time.Duration
		refuses   bool // The leader does not run the job.
		used      ms
		want      error
		atLeast   time.Duration
	}{
		"BackInTime":        {backAfter: 400 * time.Millisecond, atLeast: 350 * time.Millisecond},
		"BackTooLate":       {backAfter: 1200 * time.Millisecond, want: ccstore.ErrInDoubt, atLeast: 800 * time.Millisecond},
		"NotRun":            {backAfter: 1200 * time.Millisecond, refuses: true, want: ccstore.ErrInDoubt},
		"NotRunButReturned": {backAfter: 1200 * time.Millisecond, refuses: true, used: 500, want: ccstore.ErrInDoubt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &outageStore{items: map[string][]byte{}}
			p := newFollower(t, store)
			leader := &runningLeader{refuses: test.refuses}
			p.observeLeader(leaderRecord{VM: "vm-0", Address: servePeer(t, leader), StartMs: 1, Token: 1}, "test")
			p.leaderReplyAt = p.now()
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go p.notifier.run(ctx)
			time.AfterFunc(test.backAfter, func() { store.back.Store(true) })
			job := oneTaskJob()
			began := time.Now()
			go func() { // The leader replies to Sync calls all the while.
				for ctx.Err() == nil {
					p.mu.Lock()
					p.leaderReplyAt = p.now()
					p.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}()
			err := p.Submit(ctx, Caller{UsedMs: test.used}, job, 1000)
			if test.want == nil {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
			}
			assert.Assert(t, time.Since(began) >= test.atLeast, "answered after %s", time.Since(began))
			assert.Assert(t, time.Since(began) < time.Second)
			time.Sleep(time.Until(began.Add(test.backAfter + 400*time.Millisecond)))
			leader.mu.Lock()
			defer leader.mu.Unlock()
			assert.Assert(t, len(leader.begun) >= 1)
			assert.Equal(t, leader.begun[0].Job.Returning, test.used > 0)
			if !test.refuses {
				assert.Equal(t, len(store.items), 1)
				assert.Equal(t, len(leader.stored), 1)
				assert.DeepEqual(t, leader.stored[0].Begun, []string{"j"})
			}
		})
	}
}

// TestIDTakenDuringOutage checks that a caller whose submission waits is told so when a job of another team turns out to
// have its ID.
func TestIDTakenDuringOutage(t *testing.T) {
	for name, test := range map[string]struct {
		team string
		want error
	}{"OtherTeam": {"blue", ErrOtherTeam}, "SameTeam": {"red", nil}} {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, &outageStore{items: map[string][]byte{}})
			p.observeLeader(leaderRecord{VM: "vm-0", Address: servePeer(t, &runningLeader{}), StartMs: 1, Token: 1}, "test")
			p.leaderReplyAt = p.now()
			time.AfterFunc(200*time.Millisecond, func() { p.stateCache.merge("j", test.team, cccell.Queued, p.now()) })
			keys := cckey.NewTable()
			for _, team := range []string{"red", "blue"} {
				assert.NilError(t, keys.Add(team, []cckey.Digest{cckey.Of(team)}))
			}
			job := oneTaskJob()
			err := p.Submit(context.Background(), Caller{Team: "red", Key: 1, keys: keys}, job, 1000)
			assert.Equal(t, errors.Is(err, ErrOtherTeam), test.want != nil, "%v", err)
			assert.Equal(t, err == nil, test.want == nil)
		})
	}
}

// TestReturningCallerIsNotRefused checks that a process that reaches neither store nor leader refuses only a caller that
// no other process has seen: another one may have started or written the job.
func TestReturningCallerIsNotRefused(t *testing.T) {
	for name, used := range map[string]ms{"First": 0, "Returning": 500} {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, &refusingStore{})
			job := oneTaskJob()
			err := p.Submit(context.Background(), Caller{UsedMs: used}, job, 1000)
			var refusal *Refusal
			assert.Equal(t, errors.As(err, &refusal), used == 0)
			assert.Equal(t, errors.Is(err, ccstore.ErrInDoubt), used > 0)
		})
	}
}

// refusingStore carries out no write.
type refusingStore struct {
	Store
}

func (refusingStore) Write(context.Context, *Txn) (int64, error) {
	return 0, errors.Mark(errors.New("busy"), ccstore.ErrUnavailable)
}

// TestUnstoredJobsAreNotCountedAfterTheTerm checks that a process which no longer leads does not go on to report the
// unstored jobs of its term.
func TestUnstoredJobsAreNotCountedAfterTheTerm(t *testing.T) {
	p := newFollower(t, nil)
	reg := prometheus.NewRegistry()
	p.cfg.Metrics = NewMetrics(reg)
	l := newLeadership(p, 1)
	p.cfg.Metrics.unstored.Set(3)
	close(l.ended)
	l.loop()
	families, err := reg.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == "coriandercross_unstored_jobs" {
			assert.Equal(t, f.GetMetric()[0].GetGauge().GetValue(), 0.0)
			return
		}
	}
	t.Fatal("the metric is not registered")
}

// runEvents runs the events of a term in place of its loop, without rounds, until the term ends.
func runEvents(l *leadership) {
	for {
		select {
		case e := <-l.events:
			e(l.p.now())
		case <-l.ended:
			return
		}
	}
}

// A process was told that a job had not been begun, although the leader had begun it in the moment in which its term ended.
func TestBegunJobIsNotDeniedAsTheTermEnds(t *testing.T) {
	tests := map[string]struct {
		end func(l *leadership, e event)
	}{
		"EndsAfterTheJobHasBegun": {func(l *leadership, e event) {
			e(l.p.now())
			l.end("test")
		}},
		"EndsBeforeTheLoopKnows": {func(l *leadership, e event) {
			l.end("test")
			e(l.p.now())
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const terms = 100
			denied := 0
			// On one processor, Begin looks for the outcome only when both are there.
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			for token := range int64(terms) {
				p := newFollower(t, nil)
				l := newLeadership(p, token+1)
				l.events = make(chan event)
				l.cell.ExtendAuthority(p.now() + 60_000)
				type result struct {
					out *ccpeer.BeginReply
					err error
				}
				replied := make(chan result, 1)
				go func() {
					out, err := p.Begin(context.Background(), &ccpeer.BeginRequest{Job: oneTaskJob()})
					replied <- result{out, err}
				}()
				runtime.Gosched() // Begin waits for its event to be taken.
				test.end(l, <-l.events)
				assert.Equal(t, l.cell.UnstoredCount(), 1)
				if r := <-replied; r.err == nil && !r.out.Begun {
					denied++
				}
			}
			assert.Equal(t, denied, 0, "of %d", terms)
		})
	}
}

// lateWriteStore does not execute the first write, whose outcome is unknown; by the second one, the write of another process has
// been executed.
type lateWriteStore struct {
	emptyStore
	n     *int
	other *cccell.Job
}

func (s lateWriteStore) Write(_ context.Context, t *Txn) (int64, error) {
	if *s.n++; *s.n == 1 {
		return 0, errors.Mark(errors.New("no reply"), ccstore.ErrInDoubt)
	}
	return 0, &Conflict{Found: []Item{{Key: prefixJobs + s.other.ID, Value: encode(s.other), Revision: 7}}}
}

// A process whose write was in doubt took the job that another process had stored for its own, and reported it as new.
func TestJobOfAnotherProcessIsNotTakenForOwn(t *testing.T) {
	other := oneTaskJob()
	other.AcceptedMs = 12345
	n := 0
	p := newFollower(t, lateWriteStore{n: &n, other: other})
	err := p.submitter.submit(context.Background(), oneTaskJob(), p.now()+5000)
	var stored *alreadyStored
	assert.Assert(t, errors.As(err, &stored), "%v after %d writes: counts as written by this process", err, n)
}
