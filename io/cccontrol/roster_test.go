package cccontrol

import (
	"context"
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

