package cccontrol

import (
	"context"
	"sync"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquorum"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// failingStore fails the writes whose numbers (from 1) are given, with the outcome unknown or a conflict.
type failingStore struct {
	emptyStore
	n    *int
	fail map[int]error
}

func (s failingStore) Write(context.Context, *Txn) (int64, error) {
	*s.n++
	if err := s.fail[*s.n]; err != nil {
		return 0, err
	}
	return int64(*s.n), nil
}

// Workers that were out of a roster whose write failed, and were back by the next one, got no tasks any more: the last roster that
// was written had them.
func TestWorkerOfAFailedRosterIsRecordedAgain(t *testing.T) {
	tests := map[string]error{
		"Unavailable":  errors.Mark(errors.New("busy"), ccstore.ErrUnavailable),
		"InDoubt":      errors.Mark(errors.New("no reply"), ccstore.ErrInDoubt),
		"LeaderRecord": &Conflict{Found: []Item{{Key: keyLeader, Revision: 9}}},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			n := 0
			p := newFollower(t, failingStore{n: &n, fail: map[int]error{2: fail}})
			l := newLeadership(p, 2)
			l.roster = ccquorum.Incarnations{}
			l.handover = ccquorum.NewHandover(nil, true, 0, 0)
			l.quorum = ccquorum.NewTerm(p.voter(), 1000, nil, 0)
			l.quorum.RecordedWorkers(nil)
			l.cell = cccell.New(cccell.Config{Token: 2, LeaseMs: 4000, AuthorityMs: 1 << 40, AwaitRoster: true}, 0)
			info := func(id string) cccell.WorkerInfo {
				return cccell.WorkerInfo{ID: id, Address: id + ":1", Service: "s", IncarnationMs: 1, Capacity: ccwork.Size{MilliCores: 4}}
			}
			now := ms(10_000)
			l.rosterAt, l.rosterWriteAt = now-rosterIntervalMs, now-rosterIntervalMs
			round := func() {
				l.cell.Schedule(now, now)
				out := l.cell.TakeOrders()
				for i := range out.Polls {
					l.cell.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.Executed, ClockMs: int64(now), IncarnationMs: 1, Sent: now, Received: now}, &cccell.TaskLists{}, now)
				}
				l.writeRoster(now)
				if l.writingRoster {
					select {
					case e := <-l.events:
						e(now)
					case <-time.After(5 * time.Second):
						t.Fatal("no outcome")
					}
				}
				now += 100
			}
			l.cell.SetWorker(info("a"), now)
			l.cell.SetWorker(info("b"), now)
			for range 12 {
				round()
			}
			assert.Equal(t, l.cell.Unrecorded(), 0)
			assert.Equal(t, n, 1)
			// The registrations expire in an outage; the write of the roster without these idle workers fails.
			l.cell.MarkUnlisted("a")
			l.cell.MarkUnlisted("b")
			for n < 2 {
				round()
			}
			// They are back.
			l.cell.SetWorker(info("a"), now)
			l.cell.SetWorker(info("b"), now)
			for range 100 {
				round()
			}
			assert.Equal(t, l.cell.Unrecorded(), 0)
		})
	}
}

// strictStore checks the conditions of writes; each takes 5 ms, those of the roster 10 ms.
type strictStore struct {
	emptyStore
	mu   *sync.Mutex
	rev  *int64
	keys map[string]int64
}

func (s strictStore) Write(_ context.Context, t *Txn) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	if t.Puts[0].Key == keyRoster {
		time.Sleep(5 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.If {
		if s.keys[c.Key] != c.Revision {
			return 0, &Conflict{Found: []Item{{Key: c.Key, Revision: s.keys[c.Key]}}}
		}
	}
	*s.rev++
	for _, p := range t.Puts {
		s.keys[p.Key] = *s.rev
	}
	return *s.rev, nil
}

// The write of the voters came before the first roster of a term, which was written only a second later.
func TestFirstRosterBesideTheVoters(t *testing.T) {
	rev := int64(1)
	p := newFollower(t, strictStore{mu: &sync.Mutex{}, rev: &rev, keys: map[string]int64{keyLeader: 1}})
	l := newLeadership(p, 2, "vm-1", "vm-2")
	l.record = leaderRecord{VM: p.cfg.VM, Token: 2, revision: 1}
	l.roster = ccquorum.Incarnations{}
	l.handover = ccquorum.NewHandover(nil, true, 0, 0)
	l.quorum = ccquorum.NewTerm(p.voter(), 1000, nil, 0)
	l.quorum.RecordedWorkers(nil)
	l.cell = cccell.New(cccell.Config{Token: 2, LeaseMs: 4000, AuthorityMs: 1 << 40, AwaitRoster: true}, 0)
	l.cell.SetWorker(cccell.WorkerInfo{ID: "a", Address: "a:1", Service: "s", IncarnationMs: 1, Capacity: ccwork.Size{MilliCores: 4}}, 1)
	began := p.now()
	for l.cell.Unrecorded() > 0 && p.now()-began < 5000 {
		now := p.now() + 100_000
		for n := len(l.events); n > 0; n-- {
			(<-l.events)(now)
		}
		l.writeRoster(now)
		l.recordVoters(now)
		time.Sleep(2 * time.Millisecond)
	}
	took := p.now() - began
	assert.Assert(t, took < 500)
}
