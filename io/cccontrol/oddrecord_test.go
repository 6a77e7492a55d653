package cccontrol

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// fixedStore has fixed records.
type fixedStore struct {
	Store
	records map[string][]byte
}

func (s fixedStore) Range(_ context.Context, prefix string, _ bool) ([]Item, int64, error) {
	var out []Item
	for key, value := range s.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, Item{Key: key, Value: value, Revision: 1})
		}
	}
	return out, 1, nil
}

func (s fixedStore) Get(_ context.Context, key string) (Item, error) {
	value, ok := s.records[key]
	if !ok {
		return Item{}, ErrNoKey
	}
	return Item{Key: key, Value: value, Revision: 1}, nil
}

// oddBytes are values that are no record of this system.
var oddBytes = map[string][]byte{
	"Empty":        {},
	"Text":         []byte("nonsense"),
	"DeeplyNested": bytes.Repeat([]byte{0x81}, 1<<20),
	"NestedMaps":   bytes.Repeat([]byte{0xa1, 0x01}, 1<<19),
	"HugeArray":    {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	"HugeText":     {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	"WrongTypes":   {0xa3, 0x01, 0x81, 0x01, 0x02, 0xf5, 0x04, 0x63, 'a', 'b', 'c'},
	"HugeNumbers":  {0xa2, 0x04, 0xfb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0, 0x05, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
}

// A record that several processes write and that can't be read hides neither the others nor stops a process.
func TestOddRecordsAreLeftOut(t *testing.T) {
	for name, odd := range oddBytes {
		t.Run(name, func(t *testing.T) {
			job := &cccell.Job{ID: "good", Queue: cccell.Queue{Name: "q", Service: "s"}, Stages: []cccell.Stage{{Count: 1, Size: ccwork.Size{MilliCores: 1}}}}
			done := *job
			done.ID = "done"
			store := fixedStore{records: map[string][]byte{
				prefixMembers + "vm-1": encode(member{VM: "vm-1", Address: "10.0.0.1:1", Region: "r", Cores: 1}), prefixMembers + "odd": odd,
				prefixJobs + "good": encode(job), prefixJobs + "done": encode(&done), prefixJobs + "odd": odd, prefixCancel + "odd": odd,
				prefixProgress + "done": encode(&cccell.Progress{State: cccell.Completed}), prefixProgress + "good": odd, prefixProgress + "odd": odd,
				keyRoster: odd, keyLeader: odd,
			}}
			p := newFollower(t, store)
			p.cfg.Directory = fixedDirectory{workers: []cccell.WorkerInfo{{ID: "w", Address: "w:1", Service: "s"}}}
			p.readMembers(context.Background())
			assert.Equal(t, len(p.otherMembers()), 1)
			assert.Equal(t, p.otherMembers()[0].VM, "vm-1")
			l := &leadership{p: p, ctx: context.Background(), cell: cccell.New(cccell.Config{Token: 1, LeaseMs: 3000, AuthorityMs: 1000}, 1000)}
			_, _, err := l.load()
			assert.NilError(t, err)
			assert.Assert(t, l.cell.HasJob("good") && l.cell.HasJob("done") && !l.cell.HasJob("odd"))
			assert.Assert(t, p.stateCache.ended("done") && !p.stateCache.ended("good"))
			assert.Equal(t, len(l.cell.Roster()), 1)
			l.addSubmissions([]Item{{Key: prefixJobs + "new", Value: odd}, {Key: prefixCancel + "odd", Value: odd}, {Key: prefixSubmissions, Value: odd}}, 1001)
			assert.Assert(t, !l.cell.HasJob("new"))
		})
	}
}

// A worker in the roster that a leader of an earlier release took from an odd registration made sums overflow.
func TestOddWorkersOfTheRosterAreLeftOut(t *testing.T) {
	tests := map[string]struct {
		worker cccell.WorkerInfo
		kept   bool
	}{
		"Good":          {cccell.WorkerInfo{ID: "old", Address: "old:1", Service: "s", Capacity: ccwork.Size{MilliCores: 16000}}, true},
		"NoID":          {cccell.WorkerInfo{Address: "old:1", Service: "s"}, false},
		"LargestCores":  {cccell.WorkerInfo{ID: "old", Address: "old:1", Service: "s", Capacity: ccwork.Size{MilliCores: math.MaxInt64}}, false},
		"CoresBelow0":   {cccell.WorkerInfo{ID: "old", Address: "old:1", Service: "s", Capacity: ccwork.Size{MilliCores: -1}}, false},
		"BornFarFuture": {cccell.WorkerInfo{ID: "old", Address: "old:1", Service: "s", IncarnationMs: math.MaxInt64}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			workers := []cccell.WorkerInfo{test.worker, {ID: "w2", Address: "w2:1", Service: "s"}}
			p := newFollower(t, fixedStore{records: map[string][]byte{keyRoster: encode(rosterRecord{Workers: workers})}})
			p.cfg.Directory = fixedDirectory{workers: []cccell.WorkerInfo{{ID: "w", Address: "w:1", Service: "s"}}}
			l := &leadership{p: p, ctx: context.Background(), cell: cccell.New(cccell.Config{Token: 1, LeaseMs: 3000, AuthorityMs: 1000}, 1000)}
			_, _, err := l.load()
			assert.NilError(t, err)
			want := 2
			if test.kept {
				want = 3
			}
			assert.Equal(t, len(l.cell.Roster()), want)
		})
	}
}

// The roster could not be read, or named a worker that could not be used, and the new leader started tasks of adopted jobs at
// once, although they might have run on workers that it did not know.
func TestUnreadableRosterHoldsUpAdoptedJobs(t *testing.T) {
	size := ccwork.Size{MilliCores: 1000}
	good := cccell.WorkerInfo{ID: "w", Address: "w:1", Service: "s", IncarnationMs: 1, Capacity: size}
	tests := map[string]struct {
		roster []byte
		want   int // The starts before the leases of unknown workers have ended.
	}{
		"Readable":   {encode(rosterRecord{Workers: []cccell.WorkerInfo{good}}), 1},
		"Unreadable": {[]byte{0xff}, 0},
		"OddWorker":  {encode(rosterRecord{Workers: []cccell.WorkerInfo{good, {Address: "old:1", Service: "s"}}}), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const leaseMs = 3000
			job := &cccell.Job{ID: "j", Queue: cccell.Queue{Name: "q", Service: "s"}, Stages: []cccell.Stage{{Count: 1, Size: size}}}
			p := newFollower(t, fixedStore{records: map[string][]byte{prefixJobs + "j": encode(job), keyRoster: test.roster}})
			p.cfg.Directory = fixedDirectory{workers: []cccell.WorkerInfo{good}}
			now := p.now()
			l := &leadership{p: p, ctx: context.Background(), cell: cccell.New(cccell.Config{Token: 2, LeaseMs: leaseMs, PriorLeaseMs: leaseMs, AuthorityMs: 60_000}, now)}
			_, _, err := l.load()
			assert.NilError(t, err)
			startsUntil := func(end ms) (starts int) {
				for ; now < end; now += 100 {
					l.cell.Schedule(now, now)
					out := l.cell.TakeOrders()
					starts += len(out.Starts)
					for i := range out.Polls {
						l.cell.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.Executed, ClockMs: int64(now), IncarnationMs: 1, Sent: now, Received: now}, &cccell.TaskLists{}, now)
					}
				}
				return starts
			}
			assert.Equal(t, startsUntil(now+leaseMs), test.want)
			assert.Equal(t, startsUntil(now+leaseMs), 1-test.want)
		})
	}
}
