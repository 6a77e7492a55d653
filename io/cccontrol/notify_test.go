package cccontrol

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// notifiedWithin is the time within which a leader is notified of a stored job.
const notifiedWithin = 5 * time.Second

// setLeader lets the process follow a leader that has just replied.
func setLeader(t *testing.T, p *Process, l ccpeer.CellHandler, vm string, token int64) {
	t.Helper()
	p.observeLeader(leaderRecord{VM: vm, Address: servePeer(t, l), StartMs: 1, Token: token}, "test")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaderReplyAt = p.now()
}

// notified waits for the first notification.
func (l *runningLeader) notified(t *testing.T, within time.Duration) ccpeer.NotifyRequest {
	t.Helper()
	var out ccpeer.NotifyRequest
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.stored) == 0 {
			return poll.Continue("the leader was not notified")
		}
		out = l.stored[0]
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(within))
	return out
}

// A process that had accepted many large jobs told the leader of all of them in one message, which was above the limit of a
// message, and so also not of the ordinary job among them.
func TestManyLargeJobsAreNotified(t *testing.T) {
	const large, bytes = 100, 250 << 10
	p := newFollower(t, &outageStore{items: map[string][]byte{}})
	l := &runningLeader{}
	setLeader(t, p, l, "vm-0", 1)
	want := []string{"ordinary"}
	for i := range large {
		j := oneTaskJob()
		j.ID, j.Stages[0].Image = fmt.Sprintf("large-%d", i), strings.Repeat("x", bytes)
		p.notifier.job(j, 1)
		want = append(want, j.ID)
	}
	ordinary := oneTaskJob()
	ordinary.ID = "ordinary"
	p.notifier.job(ordinary, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.notifier.run(ctx)
	var got []string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got = nil
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, in := range l.stored {
			for _, j := range in.Jobs {
				got = append(got, j.ID)
			}
		}
		if len(got) < len(want) {
			return poll.Continue("the leader was told of %d of %d jobs", len(got), len(want))
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(4*notifiedWithin))
	assert.DeepEqual(t, got, want)
}

// A leader was lost after it had begun a job, and after the caller had been told that the outcome is unknown. The next leader
// learned of the job from its caller alone, who had come to another process, and took it for new.
func TestNextLeaderLearnsOfBegunJobWhoseCallerHasLeft(t *testing.T) {
	store := &outageStore{items: map[string][]byte{}}
	p := newFollower(t, store)
	first, second := &runningLeader{}, &runningLeader{}
	p.soleLeader.learn(1, p.now())
	setLeader(t, p, first, "vm-0", 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.notifier.run(ctx)
	err := p.Submit(context.Background(), Caller{}, oneTaskJob(), 300)
	assert.Assert(t, errors.Is(err, ccstore.ErrInDoubt), "%v", err)
	assert.Equal(t, len(first.begun), 1)
	setLeader(t, p, second, "vm-1", 2)
	assert.DeepEqual(t, second.notified(t, 2*time.Second).Unstored, []string{"j"})
	store.back.Store(true)
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
			assert.DeepEqual(t, successor.notified(t, notifiedWithin).Begun, []string{"j"})
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
	assert.Equal(t, len(first.notified(t, notifiedWithin).Begun), 0)
	p.observeLeader(leaderRecord{VM: "vm-1", Address: servePeer(t, second), StartMs: 1, Token: 2}, "test")
	assert.DeepEqual(t, second.notified(t, notifiedWithin).Begun, []string{"j"})
}

// A job that had arrived before the authority of the prior leaders ended, or that was meant for another leader, was reported as
// one that nobody had begun. So was one that its caller had first submitted before that, to a process that was lost.
func TestJobThatAnotherLeaderMayHaveBegunIsReportedSo(t *testing.T) {
	const leader = 2
	tests := map[string]struct {
		sole int64 // The leader of which the process knew by then that no leader before it had authority.
		// known is the time for which the process has known it, used that since the caller first submitted the job elsewhere.
		known, used ms
		want        []string
	}{
		"Unknown":                 {sole: 0, want: []string{"j"}},
		"PriorLeader":             {sole: leader - 1, want: []string{"j"}},
		"ThisLeader":              {sole: leader},
		"LaterLeaderOnly":         {sole: leader + 1, want: []string{"j"}},
		"CallerFromBefore":        {sole: leader, known: 2000, used: 2500, want: []string{"j"}},
		"CallerFromShortlyBefore": {sole: leader, known: 2000, used: 1990, want: []string{"j"}},
		"CallerFromAfterwards":    {sole: leader, known: 4000, used: 2500},
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
			p.soleLeader.learn(test.sole, p.now()-test.known)
			assert.NilError(t, p.Submit(ctx, Caller{UsedMs: test.used}, oneTaskJob(), 3000))
			assert.DeepEqual(t, l.notified(t, notifiedWithin).Begun, test.want)
			assert.Equal(t, l.notified(t, notifiedWithin).Token, int64(leader))
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
	in := l.notified(t, notifiedWithin)
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
	p.soleLeader.learn(1, p.now())
	setLeader(t, p, first, "vm-0", 1)
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
	setLeader(t, p, second, "vm-1", 2)
	assert.DeepEqual(t, second.notified(t, 2*time.Second).Unstored, []string{"j"})
}
