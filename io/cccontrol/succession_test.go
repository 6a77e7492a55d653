package cccontrol

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquorum"
	"coriandercross/core/ccsuccession"
	"coriandercross/io/ccpeer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newLeadership returns a term of a process, whose event loop does not run, with some peers as members.
func newLeadership(p *Process, token int64, peers ...string) *leadership {
	p.members[p.cfg.VM] = member{VM: p.cfg.VM, Region: p.cfg.Region, Cores: 0.8}
	for _, vm := range peers {
		p.members[vm] = member{VM: vm, Region: p.cfg.Region, Cores: 0.8, StartMs: 1}
	}
	p.observeLeader(leaderRecord{VM: p.cfg.VM, StartMs: p.cfg.StartMs, Token: token}, "test")
	l := &leadership{p: p, token: token, events: make(chan event, eventQueueSize), ended: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.cell = cccell.New(cccell.Config{Token: token, Log: func(string, ...any) {}}, 0)
	l.dispatcher = newAdviceDispatcher(l)
	p.leadership = l
	return l
}

// TestSlowLeaderEndsItsTermForOne checks that a leader which hands over ends its term before it replies to the first peer
// that fits, and that the others are told of it.
func TestSlowLeaderEndsItsTermForOne(t *testing.T) {
	p := newFollower(t, nil)
	l := newLeadership(p, 5, "slow", "well", "late")
	l.offer.Store(&ccsuccession.Offer{Region: "r", Cores: 0.4, Since: 100})
	call := func(vm string, slowTenths, receivedMs int64) *ccpeer.SyncReply {
		out, err := p.Sync(context.Background(), &ccpeer.SyncRequest{VM: vm, StartMs: 1, Following: 5, SlowTenths: slowTenths, ReceivedMs: receivedMs})
		assert.NilError(t, err)
		return out
	}
	for _, out := range []*ccpeer.SyncReply{call("slow", 60, 200), call("late", 0, 50), call("stranger", 0, 200)} {
		assert.Assert(t, out.Leading && !out.Successor && p.leading() == l)
	}
	out := call("well", 0, 200)
	assert.Assert(t, out.Leading && out.Successor && out.Resigning)
	assert.Equal(t, out.Token, int64(5))
	assert.Assert(t, p.leading() == nil)
	out = call("late", 0, 300)
	assert.Assert(t, !out.Leading && out.HandedOver && !out.Successor)
	assert.Equal(t, out.Token, int64(5))
	p.observeLeader(leaderRecord{VM: "well", Token: 6}, "test")
	assert.Assert(t, !call("late", 0, 300).HandedOver)
}

// leavingLeader replies to the first call that it hands over, to the caller or to another.
type leavingLeader struct {
	ccpeer.CellHandler
	reply ccpeer.SyncReply
}

func (s leavingLeader) Sync(context.Context, *ccpeer.SyncRequest) (*ccpeer.SyncReply, error) {
	return &s.reply, nil
}

// Announce does not reply: the leader is slow.
func (s leavingLeader) Announce(ctx context.Context, _ *ccpeer.AnnounceRequest) (*ccpeer.AnnounceReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestSuccessorTakesOverAtOnce checks that the successor of a slow leader does not wait for its turn, nor for the voters of
// that leader, whose term has ended, and that others wait until it has had the time to take over.
func TestSuccessorTakesOverAtOnce(t *testing.T) {
	tests := map[string]struct {
		reply ccpeer.SyncReply
		least time.Duration
		most  time.Duration
		// waits is true if the new leader has to wait for the voters of the prior one.
		waits bool
	}{
		"Successor": {ccpeer.SyncReply{Leading: true, Token: 5, Resigning: true, Successor: true}, 0, 300 * time.Millisecond, false},
		"Other":     {ccpeer.SyncReply{Token: 5, HandedOver: true}, 400 * time.Millisecond, 1500 * time.Millisecond, false},
		"OtherTerm": {ccpeer.SyncReply{Token: 4, HandedOver: true}, 0, 300 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			store := &recordStore{}
			p := newFollower(t, store)
			p.cfg.Directory = emptyDirectory{}
			p.cfg.Cores, p.cfg.StartMs = 0.8, 3
			voters := []ccquorum.Voter{{VM: "vm-0", StartMs: 1}, {VM: "vm-1", StartMs: 1}, {VM: "vm-2", StartMs: 1}}
			r := leaderRecord{VM: "vm-0", Address: listener.Addr().String(), StartMs: 1, Token: 5, VotersToken: 5, Voters: voters}
			_, err = store.Write(context.Background(), &Txn{Puts: []Put{{Key: keyLeader, Value: encode(r)}}})
			assert.NilError(t, err)
			p.members[p.cfg.VM] = member{VM: p.cfg.VM, Region: "r", Cores: 0.8, StartMs: 3}
			if test.reply.Successor {
				for _, vm := range []string{"a", "b", "c", "d", "e", "f"} { // They rank higher, but the leader has chosen.
					p.members[vm] = member{VM: vm, Address: "127.0.0.1:1", Region: "r", Cores: 1, StartMs: 1}
				}
			}
			p.observeLeader(r, "test")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go ccpeer.ServeCell(ctx, listener, leavingLeader{reply: test.reply})
			began := time.Now()
			go p.follow(ctx)
			var l *leadership
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if l = p.leading(); l != nil {
					return poll.Success()
				}
				return poll.Continue("no takeover")
			}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(3*time.Second))
			took := time.Since(began)
			assert.Assert(t, took >= test.least && took <= test.most, "took %s", took)
			handedOver := make(chan ms, 1)
			l.post(func(now ms) { handedOver <- l.handover.EndsAt() - now })
			assert.Equal(t, <-handedOver > 0, test.waits)
			item, err := store.Get(ctx, keyLeader)
			assert.NilError(t, err)
			var won leaderRecord
			assert.NilError(t, decode(keyLeader, item.Value, &won))
			assert.Equal(t, won.Token, r.Token+1+restartTokens)
			demoted := len(won.Demoted) == 1 && won.Demoted[0].VM == "vm-0"
			assert.Equal(t, demoted, !test.waits) // A leader that has ended for another reason is not demoted.
		})
	}
}

// emptyDirectory lists no workers.
type emptyDirectory struct {
	Directory
}

func (emptyDirectory) List(context.Context) ([]cccell.WorkerInfo, []string, int64, error) {
	return nil, nil, 1, nil
}

func (emptyDirectory) Watch(ctx context.Context, after int64, _ ms) ([]WorkerChange, int64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// recordStore holds the leader record only.
type recordStore struct {
	Store
	mu   sync.Mutex
	item Item
}

func (s *recordStore) Get(_ context.Context, key string) (Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != keyLeader || s.item.Revision == 0 {
		return Item{}, ErrNoKey
	}
	return s.item, nil
}

func (s *recordStore) Range(context.Context, string, bool) ([]Item, int64, error) {
	return nil, 1, nil
}

func (s *recordStore) Watch(ctx context.Context, _ string, after int64, _ ms) ([]Item, int64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (s *recordStore) Write(_ context.Context, txn *Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range txn.Puts {
		if put.Key == keyLeader {
			s.item = Item{Key: keyLeader, Value: put.Value, Revision: s.item.Revision + 1}
		}
	}
	return s.item.Revision, nil
}

// contactHandler replies to LeaderContact.
type contactHandler struct {
	ccpeer.CellHandler
	reply ccpeer.LeaderContactReply
	asked atomic.Int64
}

func (h *contactHandler) LeaderContact(context.Context, *ccpeer.LeaderContactRequest) (*ccpeer.LeaderContactReply, error) {
	h.asked.Add(1)
	return &h.reply, nil
}

// TestContacts checks what a process makes of the replies of others.
func TestContacts(t *testing.T) {
	tests := map[string]struct {
		reply             ccpeer.LeaderContactReply
		answered, reached int
	}{
		"Reached":        {ccpeer.LeaderContactReply{AgoMs: 100}, 1, 1},
		"NotReached":     {ccpeer.LeaderContactReply{AgoMs: 500}, 1, 0},
		"FollowsAnother": {ccpeer.LeaderContactReply{AgoMs: -1}, 1, 0},
		"Slow":           {ccpeer.LeaderContactReply{AgoMs: 500, Slow: true}, 0, 0},
		"SlowReached":    {ccpeer.LeaderContactReply{AgoMs: 100, Slow: true}, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			h := &contactHandler{reply: test.reply}
			go ccpeer.ServeCell(ctx, listener, h)
			p := newFollower(t, nil)
			p.members["a"] = member{VM: "a", Address: listener.Addr().String()}
			p.members["leader"] = member{VM: "leader", Address: "127.0.0.1:1"}
			asked, answered, reached := p.askContacts(ctx, leaderRecord{VM: "leader", Address: "127.0.0.1:1", Token: 1}, peerContactMs)
			assert.DeepEqual(t, []int{asked, answered, reached}, []int{1, test.answered, test.reached})
			assert.Equal(t, h.asked.Load(), int64(1))
		})
	}
}
