package cccontrol

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquorum"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const (
	testPageItems = 500
	testTxnRows   = 32
)

// pagingStore is a store with revisions and conditions that returns ranges in pages and counts what it returns of them. It
// refuses transactions of more than testTxnRows rows.
type pagingStore struct {
	Store
	mu       sync.Mutex
	items    map[string]Item
	revision int64
	// sorted holds the keys in order, nil if they have changed.
	sorted []string
	ranged int
	// writes holds the transactions that were sent.
	writes []*Txn
}

func newPagingStore() *pagingStore {
	return &pagingStore{items: map[string]Item{}}
}

// put sets a key.
func (s *pagingStore) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key], s.sorted = Item{Key: key, Value: encode(value), Revision: s.revision}, nil
}

// withSuffix returns the items whose keys have a suffix.
func (s *pagingStore) withSuffix(suffix string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Item
	for key, item := range s.items {
		if strings.HasSuffix(key, suffix) {
			out = append(out, item)
		}
	}
	return out
}

func (s *pagingStore) has(key string) bool {
	_, err := s.Get(context.Background(), key)
	return err == nil
}

func (s *pagingStore) Get(_ context.Context, key string) (Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return Item{}, ErrNoKey
}

func (s *pagingStore) Page(_ context.Context, prefix, after string, _ bool) (out []Item, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sorted == nil {
		s.sorted = slices.Sorted(maps.Keys(s.items))
	}
	first, _ := slices.BinarySearch(s.sorted, max(prefix, after))
	for _, key := range s.sorted[first:] {
		if key == after {
			continue
		}
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(out) == testPageItems {
			return out, true, nil
		}
		s.ranged++
		out = append(out, s.items[key])
	}
	return out, false, nil
}

func (s *pagingStore) Range(ctx context.Context, prefix string, stale bool) (out []Item, revision int64, err error) {
	for after, more := "", true; more; {
		var page []Item
		page, more, _ = s.Page(ctx, prefix, after, stale)
		out = append(out, page...)
		if len(page) > 0 {
			after = page[len(page)-1].Key
		}
	}
	return out, s.revision, nil
}

func (s *pagingStore) Write(_ context.Context, t *Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(t.If) + len(t.Puts) + len(t.Remove); n > testTxnRows {
		return 0, errors.Newf("%d rows", n)
	}
	s.writes = append(s.writes, t)
	c := &Conflict{}
	holds := true
	for _, condition := range t.If {
		item, ok := s.items[condition.Key]
		if ok {
			c.Found = append(c.Found, item)
		}
		holds = holds && item.Revision == condition.Revision
	}
	if !holds {
		return 0, c
	}
	s.revision++
	s.sorted = nil
	for _, put := range t.Puts {
		s.items[put.Key] = Item{Key: put.Key, Value: put.Value, Revision: s.revision}
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	return s.revision, nil
}

// newTerm begins a term of a process in a store, without loading anything.
func newTerm(t *testing.T, store Store, token int64) *leadership {
	p := newFollower(t, store)
	p.cfg.FinalRetentionMs = 120_000
	p.cfg.Directory = fixedDirectory{workers: []cccell.WorkerInfo{{ID: "w", Address: "w:1", Service: "s", IncarnationMs: 1, Capacity: ccwork.Size{MilliCores: 64}}}}
	l := newLeadership(p, token)
	t.Cleanup(l.cancel)
	l.beganAt = p.now()
	l.quorum = ccquorum.NewTerm(p.voter(), 1000, nil, 0)
	l.cell = cccell.New(cccell.Config{Token: token, LeaseMs: 3000, AuthorityMs: 100_000, PriorUnstored: token > 1, Ended: p.stateCache.ended, Log: func(string, ...any) {}}, 1000)
	return l
}

// storeProgress writes all pending progress.
func (l *leadership) storeProgress(t *testing.T) {
	for l.cell.PendingWrites() > 0 {
		writes := l.cell.NextWrites(maxWriteRows, unixNow())
		assert.Assert(t, len(writes) > 0)
		l.writeProgress(writes, 0)
		(<-l.events)(2000)
	}
}

// endJob runs a job to its end, like a leader.
func endJob(t *testing.T, l *leadership, j *cccell.Job) {
	_, _, err := l.load()
	assert.NilError(t, err)
	l.cell.AddJob(j, 1000, 1000)
	l.storeProgress(t)
	lists := &cccell.TaskLists{}
	for i := range j.Stages[0].Count {
		lists.Ended = append(lists.Ended, cccell.EndedTask{Number: int64(i + 1), Task: cccell.TaskID{Job: j.ID, Index: i}, Attempt: int64(i + 1), End: cccell.EndDone})
	}
	l.cell.Schedule(1001, 1001)
	out := l.cell.TakeOrders()
	for i := range out.Polls {
		l.cell.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.Executed, ClockMs: 1001, IncarnationMs: 1, Sent: 1001, Received: 1001}, lists, 1001)
	}
	l.storeProgress(t)
}

// After hours of work no process could take over from a leader that had died: each new one read the records of all jobs that had
// ever ended before it led. Those of earlier releases are among the progress of jobs.
func TestTakeoverAfterHoursOfWork(t *testing.T) {
	const past = 100_000
	store := newPagingStore()
	j := oneTaskJob()
	store.put(prefixJobs+j.ID, j)
	endJob(t, newTerm(t, store, 1), j)
	left := store.withSuffix("/" + j.ID)
	assert.Equal(t, len(left), 1)
	for name, base := range map[string]string{"Present": strings.TrimSuffix(left[0].Key, j.ID), "EarlierRelease": prefixProgress} {
		t.Run(name, func(t *testing.T) {
			store := newPagingStore()
			for i := range past {
				key := fmt.Sprintf("%s%016x", base, i)
				store.items[key] = Item{Key: key, Value: left[0].Value, Revision: 1}
			}
			// The progress of a live job is behind the records or among the first of them.
			for _, id := range []string{"live", "0000"} {
				live := oneTaskJob()
				live.ID = id
				live.Stages[0].Count = 2
				store.put(prefixJobs+id, live)
				store.put(prefixProgress+id, cccell.Progress{Runs: map[int]cccell.RunProgress{0: {Stages: map[int]cccell.StageProgress{0: {Done: []uint64{1}}}}}})
			}
			l := newTerm(t, store, 2)
			_, _, err := l.load()
			assert.NilError(t, err)
			assert.Assert(t, store.ranged < past/2, "%d records were read", store.ranged)
			states := map[string]cccell.State{}
			for _, c := range l.cell.States() {
				states[c.Job] = c.State
			}
			assert.DeepEqual(t, states, map[string]cccell.State{"live": cccell.Running, "0000": cccell.Running})
			<-l.endsRead
			assert.Assert(t, !l.knowsEnds(l.p.now()))
		})
	}
}

// A leader that has not read all ends of prior terms must not run a job again that has ended, whoever tells of it, and must run
// those that have not.
func TestJobOfPriorTermDoesNotRunAgain(t *testing.T) {
	notify := func(begun bool) func(*leadership, *cccell.Job) {
		return func(l *leadership, j *cccell.Job) { l.addReported(j, begun, 2000) }
	}
	tells := map[string]func(*leadership, *cccell.Job){
		"Notified":      notify(false),
		"NotifiedBegun": notify(true),
		"Begin":         func(l *leadership, j *cccell.Job) { l.begin(&ccpeer.BeginRequest{Job: j}, 2000) },
		"BeginBegun":    func(l *leadership, j *cccell.Job) { l.begin(&ccpeer.BeginRequest{Job: j, Begun: true}, 2000) },
		"Found": func(l *leadership, j *cccell.Job) {
			l.addSubmissions([]Item{{Key: prefixJobs + j.ID, Value: encode(j)}}, 2000)
		},
	}
	tests := map[string]struct {
		// ends is the number of jobs that have ended before this one.
		ends  int
		ended bool
		all   bool
	}{
		"EndedAllRead":    {10, true, true},
		"EndedNotAllRead": {maxEndPages*testPageItems + 10, true, false},
		"LiveAllRead":     {10, false, true},
		"LiveNotAllRead":  {maxEndPages*testPageItems + 10, false, false},
	}
	for name, test := range tests {
		for tell, do := range tells {
			t.Run(name+"/"+tell, func(t *testing.T) {
				store := newPagingStore()
				j := oneTaskJob()
				j.ID = "zz" // Behind the others.
				end := encode(cccell.Progress{State: cccell.Completed, EndedMs: int64(unixNow())})
				for i := range test.ends {
					key := fmt.Sprintf("%s%016x", prefixEnds, i)
					store.items[key] = Item{Key: key, Value: end, Revision: 1}
				}
				if test.ended {
					store.items[prefixEnds+j.ID] = Item{Key: prefixEnds + j.ID, Value: end, Revision: 1}
				}
				l := newTerm(t, store, 2)
				_, _, err := l.load()
				assert.NilError(t, err)
				<-l.endsRead
				assert.Equal(t, l.endsKnown.Load(), test.all)
				if tell == "Found" && test.ended && !test.all {
					return // It is not in the store to be found.
				}
				if !test.ended {
					store.put(prefixJobs+j.ID, j)
				}
				do(l, j)
				if strings.HasPrefix(tell, "Notified") && !test.all && !test.ended {
					(<-l.events)(2010)
				}
				known := l.cell.HasJob(j.ID) || l.cell.UnstoredCount() > 0
				switch {
				case strings.HasPrefix(tell, "Begin") && !test.all:
					assert.Assert(t, !known, "it runs before it is stored")
				default:
					assert.Equal(t, known, !test.ended)
				}
			})
		}
	}
}

// A write of progress whose reply was lost was carried out when the job had ended. Its record would have shown the job as running
// for good.
func TestLateWriteOfProgressDoesNotReviveTheJob(t *testing.T) {
	store := newPagingStore()
	j := oneTaskJob()
	j.Stages[0].Count = 2
	store.put(prefixJobs+j.ID, j)
	l := newTerm(t, store, 1)
	l.cell.AddJob(j, 1000, 1000)
	w := cccell.ProgressWrite{Job: j.ID, Progress: cccell.Progress{Runs: map[int]cccell.RunProgress{0: {}}}}
	for name, unknown := range map[string]bool{"Known": false, "Unknown": true} {
		t.Run(name, func(t *testing.T) {
			w.Unknown = unknown
			txn := progressTxn([]cccell.ProgressWrite{w}, 0)
			store.put(prefixEnds+j.ID, cccell.Progress{State: cccell.Completed, EndedMs: 1})
			_, err := store.Write(context.Background(), txn)
			var conflict *Conflict
			assert.Assert(t, errors.As(err, &conflict))
			assert.Assert(t, !store.has(prefixProgress+j.ID) && !store.has(prefixUnknown+j.ID))
		})
	}
}

// A final state whose write was carried out without a reply is shown once the repeat of the write has found it.
func TestFinalStateIsFoundByTheRepeat(t *testing.T) {
	tests := map[string]struct {
		progress bool
		stored   *cccell.Progress
		want     cccell.State
	}{
		"NoProgress":   {false, nil, cccell.Cancelled},
		"WithProgress": {true, nil, cccell.Cancelled},
		"OtherState":   {true, &cccell.Progress{State: cccell.Completed, EndedMs: 1}, cccell.Completed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := newPagingStore()
			j := oneTaskJob()
			store.put(prefixJobs+j.ID, j)
			if test.progress {
				store.put(prefixProgress+j.ID, cccell.Progress{})
			}
			l := newTerm(t, store, 1)
			_, _, err := l.load()
			assert.NilError(t, err)
			l.cell.Cancel(j.ID, 1000)
			writes := l.cell.NextWrites(maxWriteRows, 1000)
			assert.Equal(t, len(writes), 1)
			if test.stored != nil {
				store.put(prefixEnds+j.ID, test.stored)
			} else {
				_, err = store.Write(context.Background(), progressTxn(writes, 0)) // Its reply is lost.
				assert.NilError(t, err)
			}
			l.writeProgress(writes, 0)
			(<-l.events)(2000)
			l.p.stateCache.apply(l.cell.TakeOrders().Changes, 2000)
			state, _ := l.p.stateCache.state(j.ID)
			assert.Equal(t, state, test.want)
			assert.Equal(t, l.cell.PendingWrites(), 0)
			assert.Assert(t, store.has(prefixEnds+j.ID))
			if test.stored == nil {
				assert.Equal(t, len(store.withSuffix("/"+j.ID)), 1)
			}
		})
	}
}

// Whatever is written of many jobs fits into transactions, and leaves one record of each.
func TestWritesFitIntoTransactions(t *testing.T) {
	store := newPagingStore()
	p := newFollower(t, store)
	const jobs = 40
	var batch []*submission
	for i := range jobs {
		j := oneTaskJob()
		j.ID = fmt.Sprintf("job-%02d", i)
		batch = append(batch, newSubmission(j, p.now()+1000))
	}
	for _, sub := range batch {
		p.submitter.add(sub)
	}
	for _, sub := range batch {
		assert.NilError(t, <-sub.done)
		assert.NilError(t, p.writeCancel(context.Background(), sub.job.ID))
		if sub.job.ID > "job-20" {
			store.put(prefixProgress+sub.job.ID, cccell.Progress{})
			store.put(prefixUnknown+sub.job.ID, cccell.Progress{})
		}
	}
	l := newTerm(t, store, 2)
	_, _, err := l.load()
	assert.NilError(t, err)
	l.storeProgress(t)
	for _, sub := range batch {
		left := store.withSuffix("/" + sub.job.ID)
		assert.Equal(t, len(left), 1, "%v", left)
		assert.Equal(t, left[0].Key, prefixEnds+sub.job.ID)
	}
}

// Old final states are removed, and nothing else is.
func TestOldFinalStatesAreRemoved(t *testing.T) {
	now := int64(unixNow())
	const hour = 3_600_000
	tests := map[string]struct {
		prefix  string
		record  cccell.Progress
		removed bool
	}{
		"Old":               {prefixEnds, cccell.Progress{State: cccell.Completed, EndedMs: now - hour}, true},
		"OldWithdrawn":      {prefixEnds, cccell.Progress{State: cccell.Cancelled, Withdrawn: true, EndedMs: now - hour}, true},
		"OldEarlierRelease": {prefixProgress, cccell.Progress{State: cccell.Failed, EndedMs: now - hour}, true},
		"Asked":             {prefixEnds, cccell.Progress{State: cccell.Completed, EndedMs: now - 125_000}, false},
		"ClocksDiffer":      {prefixEnds, cccell.Progress{State: cccell.Completed, EndedMs: now + 5000}, false},
		"NoTime":            {prefixEnds, cccell.Progress{State: cccell.Completed}, false},
		"Running":           {prefixProgress, cccell.Progress{EndedMs: now - hour}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newPagingStore()
			const records = 40 // Several transactions.
			for i := range records {
				store.put(fmt.Sprintf("%s%d", test.prefix, i), test.record)
			}
			store.items[test.prefix+"odd"] = Item{Key: test.prefix + "odd", Value: []byte("odd"), Revision: 1}
			l := newTerm(t, store, 1)
			l.sweep(test.prefix)
			want := records + 1
			if test.removed {
				want = 1
			}
			assert.Equal(t, len(store.items), want)
		})
	}
}

// A record that has changed since it was read is not removed.
func TestChangedFinalStateIsNotRemoved(t *testing.T) {
	store := newPagingStore()
	store.put(prefixEnds+"j", cccell.Progress{State: cccell.Cancelled, Withdrawn: true, EndedMs: 1})
	read, _, err := store.Page(context.Background(), prefixEnds, "", true)
	assert.NilError(t, err)
	store.put(prefixEnds+"j", cccell.Progress{State: cccell.Cancelled, Withdrawn: true, EndedMs: int64(unixNow())})
	assert.Equal(t, newTerm(t, store, 1).removeOld(read), 0)
	assert.Assert(t, store.has(prefixEnds+"j"))
}
