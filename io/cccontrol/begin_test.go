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
	"gotest.tools/v3/poll"
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
		returning bool
		want      error
		atLeast   time.Duration
	}{
		"BackInTime":        {backAfter: 400 * time.Millisecond, atLeast: 350 * time.Millisecond},
		"BackTooLate":       {backAfter: 1200 * time.Millisecond, want: ccstore.ErrInDoubt, atLeast: 800 * time.Millisecond},
		"NotRun":            {backAfter: 1200 * time.Millisecond, refuses: true, want: ccstore.ErrInDoubt},
		"NotRunButReturned": {backAfter: 1200 * time.Millisecond, refuses: true, returning: true, want: ccstore.ErrInDoubt},
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
			err := p.Submit(ctx, Caller{Returning: test.returning}, job, 1000)
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
			assert.Equal(t, leader.begun[0].Job.Returning, test.returning)
			if !test.refuses {
				assert.Equal(t, len(store.items), 1)
				assert.Equal(t, len(leader.stored), 1)
				assert.DeepEqual(t, leader.stored[0].Begun, []string{"j"})
			}
		})
	}
}

// A leader was lost after it had begun a job, and after the caller had been told that the outcome is unknown. The next leader
// learned of the job from its caller alone, who had come to another process, and took it for new.
func TestNextLeaderLearnsOfBegunJobWhoseCallerHasLeft(t *testing.T) {
	store := &outageStore{items: map[string][]byte{}}
	p := newFollower(t, store)
	first, second := &runningLeader{}, &runningLeader{}
	p.soleToken.Store(1)
	lead := func(l *runningLeader, vm string, token int64) {
		p.observeLeader(leaderRecord{VM: vm, Address: servePeer(t, l), StartMs: 1, Token: token}, "test")
		p.mu.Lock()
		p.leaderReplyAt = p.now()
		p.mu.Unlock()
	}
	lead(first, "vm-0", 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.notifier.run(ctx)
	err := p.Submit(context.Background(), Caller{}, oneTaskJob(), 300)
	assert.Assert(t, errors.Is(err, ccstore.ErrInDoubt), "%v", err)
	assert.Equal(t, len(first.begun), 1)
	lead(second, "vm-1", 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		second.mu.Lock()
		defer second.mu.Unlock()
		if len(second.stored) == 0 {
			return poll.Continue("the next leader was not told")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
	assert.DeepEqual(t, second.stored[0].Unstored, []string{"j"})
	store.back.Store(true)
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
	for name, returning := range map[string]bool{"First": false, "Returning": true} {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, &refusingStore{})
			job := oneTaskJob()
			err := p.Submit(context.Background(), Caller{Returning: returning}, job, 1000)
			var refusal *Refusal
			assert.Equal(t, errors.As(err, &refusal), !returning)
			assert.Equal(t, errors.Is(err, ccstore.ErrInDoubt), returning)
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

// notified waits for the first notification of a job after those that were seen already.
func (l *runningLeader) notified(t *testing.T, seen int) ccpeer.NotifyRequest {
	t.Helper()
	var out ccpeer.NotifyRequest
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.stored) <= seen {
			return poll.Continue("%d notifications", len(l.stored))
		}
		out = l.stored[seen]
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
	return out
}

// A leader relayed the write of a job, and the job was begun meanwhile. The leader reported it to its successor as one that
// nobody had begun.
func TestRelayedJobIsReportedAsBegun(t *testing.T) {
	tests := map[string]struct {
		begunHere bool // Else by a leader in between, which the sender has asked.
	}{"BegunHere": {true}, "BegunByAnotherLeader": {false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &outageStore{items: map[string][]byte{}}
			p := newFollower(t, store)
			l := newLeadership(p, 1)
			l.cell.ExtendAuthority(p.now() + 60_000)
			go runEvents(l)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go p.notifier.run(ctx)
			relayed := make(chan error, 1)
			go func() {
				_, err := p.RelayWrite(ctx, &ccpeer.RelayWriteRequest{Job: oneTaskJob(), BudgetMs: 3000})
				relayed <- err
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				p.submitter.mu.Lock()
				defer p.submitter.mu.Unlock()
				if p.submitter.running {
					return poll.Success()
				}
				return poll.Continue("the relayed write has not begun")
			}, poll.WithDelay(time.Millisecond))
			token := int64(2)
			if test.begunHere {
				out, err := p.Begin(ctx, &ccpeer.BeginRequest{Job: oneTaskJob()})
				assert.NilError(t, err)
				assert.Assert(t, out.Begun)
			} else {
				p.observeLeader(leaderRecord{VM: "vm-1", Address: servePeer(t, &runningLeader{}), StartMs: 1, Token: token}, "test")
				token++
			}
			successor := &runningLeader{}
			p.observeLeader(leaderRecord{VM: "vm-0", Address: servePeer(t, successor), StartMs: 1, Token: token}, "test")
			store.back.Store(true)
			assert.NilError(t, <-relayed)
			assert.DeepEqual(t, successor.notified(t, 0).Begun, []string{"j"})
		})
	}
}

// A job was reported to a new leader as one that nobody had begun, although its predecessor had been notified of it.
func TestJobOfWhichALeaderKnewIsReportedAsBegun(t *testing.T) {
	p := newFollower(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.notifier.run(ctx)
	first, second := &runningLeader{}, &runningLeader{}
	p.observeLeader(leaderRecord{VM: "vm-0", Address: servePeer(t, first), StartMs: 1, Token: 1}, "test")
	p.stored(oneTaskJob(), 1)
	assert.Equal(t, len(first.notified(t, 0).Begun), 0)
	p.observeLeader(leaderRecord{VM: "vm-1", Address: servePeer(t, second), StartMs: 1, Token: 2}, "test")
	assert.DeepEqual(t, second.notified(t, 0).Begun, []string{"j"})
}

// A job that had arrived before the authority of the prior leaders ended, or that was meant for another leader, was reported as
// one that nobody had begun.
func TestJobThatAnotherLeaderMayHaveBegunIsReportedSo(t *testing.T) {
	const leader = 2
	tests := map[string]struct {
		sole int64 // The leader of which the process knew by then that no leader before it had authority.
		want []string
	}{
		"Unknown":         {0, []string{"j"}},
		"PriorLeader":     {leader - 1, []string{"j"}},
		"ThisLeader":      {leader, nil},
		"LaterLeaderOnly": {leader + 1, []string{"j"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &outageStore{items: map[string][]byte{}}
			store.back.Store(true)
			p := newFollower(t, store)
			l := &runningLeader{}
			p.observeLeader(leaderRecord{VM: "vm-0", Address: servePeer(t, l), StartMs: 1, Token: leader}, "test")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go p.notifier.run(ctx)
			p.soleToken.Store(test.sole)
			assert.NilError(t, p.Submit(ctx, Caller{}, oneTaskJob(), 3000))
			assert.DeepEqual(t, l.notified(t, 0).Begun, test.want)
			assert.Equal(t, l.notified(t, 0).Token, int64(leader))
		})
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

// A new leader that was still loading its state let its followers forget that the prior leader had run unstored jobs. When it was lost,
// nobody knew it.
func TestLoadingLeaderDoesNotClearRunsUnstored(t *testing.T) {
	p := newFollower(t, emptyStore{})
	p.runsUnstored.Store(true) // The leader of token 1 has told so.
	loading := newFollower(t, emptyStore{})
	loading.cfg.VM = "vm-1"
	loading.runsUnstored.Store(true) // It has followed that leader as well.
	loading.loadingToken.Store(2)
	address := servePeer(t, loading)
	leader := leaderRecord{VM: "vm-1", Address: address, StartMs: 1, Token: 2}
	p.observeLeader(leader, "test")
	p.syncOnce(context.Background(), leader)
	assert.Assert(t, p.runsUnstored.Load(), "the leader of token 3 will not know that token 1 ran unstored jobs")
}

// A leader that was lost before it could be notified took with it that the leader before had run unstored jobs.
func TestNotificationOfUnstoredJobsIsRepeated(t *testing.T) {
	p := newFollower(t, nil)
	p.runsUnstored.Store(true)
	p.notifier.addUnstored("j", p.now()+60_000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.notifier.run(ctx)
	p.observeLeader(leaderRecord{VM: "vm-0", Address: "127.0.0.1:1", StartMs: 1, Token: 2}, "test") // Nobody listens there.
	time.Sleep(maxNotifyCalls*retryDelayMs.Duration() + 500*time.Millisecond)                       // The notification is given up.
	p.runsUnstored.Store(false)
	l := &runningLeader{}
	p.mu.Lock()
	p.leader.Address = servePeer(t, l)
	p.mu.Unlock()
	in := l.notified(t, 0)
	assert.Assert(t, in.RanUnstored)
	assert.DeepEqual(t, in.Unstored, []string{"j"})
}

// deafLeader begins jobs, but its replies are lost.
type deafLeader struct {
	runningLeader
}

func (l *deafLeader) Begin(ctx context.Context, in *ccpeer.BeginRequest) (*ccpeer.BeginReply, error) {
	_, _ = l.runningLeader.Begin(ctx, in)
	return nil, errTermEnded
}

// The reply to the request to begin a job was lost and the caller left, and the next leader was not told of the job.
func TestNextLeaderLearnsOfJobThatMayHaveBegun(t *testing.T) {
	store := &outageStore{items: map[string][]byte{}}
	p := newFollower(t, store)
	first, second := &deafLeader{}, &runningLeader{}
	p.soleToken.Store(1)
	lead := func(l ccpeer.CellHandler, vm string, token int64) {
		p.observeLeader(leaderRecord{VM: vm, Address: servePeer(t, l), StartMs: 1, Token: token}, "test")
		p.mu.Lock()
		p.leaderReplyAt = p.now()
		p.mu.Unlock()
	}
	lead(first, "vm-0", 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.notifier.run(ctx)
	callerCtx, leave := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer leave()
	err := p.Submit(callerCtx, Caller{}, oneTaskJob(), 5000)
	assert.Assert(t, errors.Is(err, ccstore.ErrInDoubt), "%v", err)
	first.mu.Lock()
	assert.Assert(t, len(first.begun) > 0)
	first.mu.Unlock()
	lead(second, "vm-1", 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		second.mu.Lock()
		defer second.mu.Unlock()
		if len(second.stored) == 0 {
			return poll.Continue("the next leader was not told")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
	assert.DeepEqual(t, second.stored[0].Unstored, []string{"j"})
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
