package cccontrol

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newFollower returns a process whose background loops don't run. store is nil if the test does not call it; members
// and leader are set by the test.
func newFollower(t *testing.T, store Store) *Process {
	t.Helper()
	clock := ccclock.NewSystem()
	return New(Config{
		VM: "vm-99", Address: "127.0.0.1:1", Region: "r", Clock: clock, Log: log.New(io.Discard), Metrics: NewMetrics(prometheus.NewRegistry()),
		Store: NewMonitoredStore(store, clock, nil),
		Peers: ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: time.Second, ControlTimeout: time.Second}),
	})
}

// steadyLeader replies to Sync as a leader without changes does.
type steadyLeader struct {
	ccpeer.CellHandler
}

func (steadyLeader) Sync(context.Context, *ccpeer.SyncRequest) (*ccpeer.SyncReply, error) {
	return &ccpeer.SyncReply{Leading: true, Token: 1, Seq: 1}, nil
}

// TestFollowerReturnsToLeader checks that a process with a low rank, whose turn to take over comes many seconds after
// the first failed call, keeps calling the leader until then. Otherwise it would replace a leader that was unreachable
// for a moment.
func TestFollowerReturnsToLeader(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close()) // At first, calls to the leader are refused.
	p := newFollower(t, nil)
	for i := range 40 {
		vm := fmt.Sprintf("vm-%d", i)
		p.members[vm] = member{VM: vm, Address: "127.0.0.1:1", Region: "r", Cores: 1}
	}
	p.members[p.cfg.VM] = member{VM: p.cfg.VM, Region: "r"}
	leader := leaderRecord{VM: "vm-0", Address: address, StartMs: 1, Token: 1}
	p.observeLeader(leader, "test")
	assert.Assert(t, ms(p.rank(leader))*rankDelayMs > 4000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.follow(ctx)
	time.Sleep(100 * time.Millisecond)
	l, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	go ccpeer.ServeCell(ctx, l, steadyLeader{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, replyAt := p.currentLeader(); replyAt > 0 {
			return poll.Success()
		}
		return poll.Continue("the leader was not called again")
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(2*time.Second))
}

// slowLeader does not reply to Sync until ready is closed.
type slowLeader struct {
	ccpeer.CellHandler
	ready <-chan struct{}
}

func (s slowLeader) Sync(ctx context.Context, _ *ccpeer.SyncRequest) (*ccpeer.SyncReply, error) {
	select {
	case <-s.ready:
		return &ccpeer.SyncReply{Leading: true, Token: 1, Seq: 1}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// countingStore counts the reads that a campaign makes, and fails them.
type countingStore struct {
	Store
	gets atomic.Int64
}

func (s *countingStore) Get(context.Context, string) (Item, error) {
	s.gets.Add(1)
	return Item{}, ccstore.ErrUnavailable
}

// TestStartupGrace checks that the first process in rank does not campaign against a new leader that is slow to reply
// because hundreds of members call it at once, but does so after the grace period.
func TestStartupGrace(t *testing.T) {
	tests := map[string]struct {
		members    int
		silence    time.Duration
		campaigned bool
	}{
		"ManyMembers":      {300, 700 * time.Millisecond, false},
		"FewMembers":       {7, 700 * time.Millisecond, true},
		"SilentForTooLong": {300, 2 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			store := &countingStore{}
			p := newFollower(t, store)
			for i := range test.members {
				vm := fmt.Sprintf("vm-%d", i)
				p.members[vm] = member{VM: vm, Address: "127.0.0.1:1", Region: "r", Cores: 0.2}
			}
			p.members[p.cfg.VM] = member{VM: p.cfg.VM, Region: "r", Cores: 0.8}
			p.observeLeader(leaderRecord{VM: "vm-0", Address: l.Addr().String(), StartMs: 1, Token: 1}, "test")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ready := make(chan struct{})
			go ccpeer.ServeCell(ctx, l, slowLeader{ready: ready})
			time.AfterFunc(test.silence, func() { close(ready) })
			go p.follow(ctx)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, replyAt := p.currentLeader(); replyAt > 0 {
					return poll.Success()
				}
				return poll.Continue("the leader has not replied")
			}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(5*time.Second))
			assert.Equal(t, store.gets.Load() > 0, test.campaigned)
		})
	}
}

// TestRestartedLeaderCampaignsAtOnce checks that a process that led before its restart does not wait for its turn. Load:
// all VMs lose power; the first process that is up again on the VM of the leader knows that there is no leader.
func TestRestartedLeaderCampaignsAtOnce(t *testing.T) {
	tests := map[string]struct {
		leaderVM   string
		campaigned bool
	}{
		"OwnVM":   {"vm-99", true},
		"OtherVM": {"vm-0", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &countingStore{}
			p := newFollower(t, store)
			p.cfg.StartMs = 2
			for i := range 40 {
				vm := fmt.Sprintf("vm-%d", i)
				p.members[vm] = member{VM: vm, Address: "127.0.0.1:1", Region: "r", Cores: 1}
			}
			p.members[p.cfg.VM] = member{VM: p.cfg.VM, Region: "r"}
			p.observeLeader(leaderRecord{VM: test.leaderVM, Address: "127.0.0.1:1", StartMs: 1, Token: 1}, "test")
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			p.follow(ctx)
			assert.Equal(t, store.gets.Load() > 0, test.campaigned)
		})
	}
}
