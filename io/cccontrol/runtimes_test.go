package cccontrol

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccruntimes"
	"coriandercross/io/ccstore"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// keyStore is a store of single keys that counts its calls.
type keyStore struct {
	Store
	mu           sync.Mutex
	values       map[string][]byte
	reads, write int
	fail         error
}

func (s *keyStore) Get(_ context.Context, key string) (Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fail != nil {
		return Item{}, s.fail
	}
	value, ok := s.values[key]
	if !ok {
		return Item{}, ErrNoKey
	}
	return Item{Key: key, Value: value, Revision: 1}, nil
}

func (s *keyStore) Write(_ context.Context, t *Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write++
	if s.fail != nil {
		return 0, s.fail
	}
	for _, p := range t.Puts {
		s.values[p.Key] = p.Value
	}
	return 1, nil
}

// learningTerm is a term whose event loop is the test.
func learningTerm(t *testing.T, store Store, learns bool) (*leadership, *bytes.Buffer) {
	t.Helper()
	p := newFollower(t, store)
	out := &bytes.Buffer{}
	p.cfg.Log = log.NewWithOptions(out, log.Options{Formatter: log.LogfmtFormatter})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &leadership{p: p, ctx: ctx, events: make(chan event, eventQueueSize), ended: make(chan struct{})}
	if learns {
		l.runTimes = ccruntimes.New()
	}
	l.cell = cccell.New(cccell.Config{Token: 1, AuthorityMs: 1 << 40, RunTimes: l.runTimes}, 0)
	return l, out
}

var learnedWork = ccruntimes.Work{Team: "team", Queue: "queue", EstimateMs: 500}

// learnStages records finished stages of 2 s.
func learnStages(l *leadership, n int) {
	for range n {
		l.runTimes.Finished(&learnedWork, 2000, 1)
		l.runTimes.RecordError("queue", 1900, 500, 2000)
	}
}

// TestRunTimesOutliveLeader checks that the next leader predicts what the prior one has learned, and that its log line
// has the age and the number of keys.
func TestRunTimesOutliveLeader(t *testing.T) {
	store := &keyStore{values: map[string][]byte{}}
	first, out := learningTerm(t, store, true)
	learnStages(first, 100)
	first.writeRunTimes(runTimesIntervalMs)
	(<-first.events)(runTimesIntervalMs)
	assert.Assert(t, strings.Contains(out.String(), "run times learned") && strings.Contains(out.String(), "EstimateOffP50="), out.String())
	second, out := learningTerm(t, store, true)
	second.readRunTimes()
	(<-second.events)(0)
	assert.Assert(t, strings.Contains(out.String(), "run times restored") && strings.Contains(out.String(), "Keys=3") && strings.Contains(out.String(), "AgeMs="), out.String())
	p := second.runTimes.Predict(&learnedWork)
	assert.Assert(t, ccruntimes.Factor(p.MedianMs(), 2000) < 1.1, "%.0f ms", p.MedianMs())
}

// TestRunTimesAreWrittenRarely checks that there is at most one write in 10 s, none without news, and none when nothing
// is learned; a write that fails is made up for later.
func TestRunTimesAreWrittenRarely(t *testing.T) {
	store := &keyStore{values: map[string][]byte{}}
	l, out := learningTerm(t, store, true)
	writesUntil := func(from, to ms, learn bool) int {
		before := store.write
		for now := from; now < to; now += 50 {
			if learn {
				learnStages(l, 1)
			}
			l.writeRunTimes(now)
			if l.writingRunTimes {
				(<-l.events)(now)
			}
		}
		return store.write - before
	}
	assert.Equal(t, writesUntil(0, runTimesIntervalMs, true), 0)
	assert.Equal(t, writesUntil(runTimesIntervalMs, 6*runTimesIntervalMs, true), 5)
	assert.Equal(t, writesUntil(6*runTimesIntervalMs, 7*runTimesIntervalMs, false), 1, "the rest")
	assert.Equal(t, writesUntil(7*runTimesIntervalMs, 20*runTimesIntervalMs, false), 0, "nothing new")
	store.fail = ccstore.ErrUnavailable
	assert.Equal(t, writesUntil(20*runTimesIntervalMs, 21*runTimesIntervalMs, true), 1)
	assert.Assert(t, strings.Contains(out.String(), "run times not written"))
	store.fail = nil
	assert.Equal(t, writesUntil(21*runTimesIntervalMs, 22*runTimesIntervalMs, false), 1, "what was not written")
	off, _ := learningTerm(t, store, false)
	before := store.write + store.reads
	off.readRunTimes()
	off.writeRunTimes(100 * runTimesIntervalMs)
	assert.Equal(t, store.write+store.reads, before)
}

// TestTermBeginsWithoutUsableSnapshot checks that a snapshot that is lost, unreadable or of another version leaves a log
// line, and a learner that knows nothing.
func TestTermBeginsWithoutUsableSnapshot(t *testing.T) {
	other := encode(&ccruntimes.Snapshot{Version: 99})
	tests := map[string]struct {
		value []byte
		fail  error
		want  string
	}{
		"None":         {nil, nil, "no snapshot"},
		"StoreDown":    {nil, ccstore.ErrUnavailable, "unreadable"},
		"Malformed":    {[]byte("no cbor"), nil, "unreadable"},
		"Empty":        {[]byte{}, nil, "unreadable"},
		"OtherVersion": {other, nil, "unreadable"},
		"TooLarge":     {make([]byte, maxRunTimesBytes+1), nil, "unreadable"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &keyStore{values: map[string][]byte{}, fail: test.fail}
			if test.value != nil {
				store.values[keyRunTimes] = test.value
			}
			l, out := learningTerm(t, store, true)
			l.readRunTimes()
			(<-l.events)(0)
			assert.Assert(t, strings.Contains(out.String(), "run times not restored") && strings.Contains(out.String(), test.want), out.String())
			assert.Equal(t, l.runTimes.Keys(), 0)
		})
	}
}

// FuzzRunTimesSnapshot checks that whatever is in the store, the learner is in order after it was read: predictions are
// finite and rise, and a snapshot of it can be read.
func FuzzRunTimesSnapshot(f *testing.F) {
	l := ccruntimes.New()
	for i := range 40 {
		l.Finished(&learnedWork, float64(1000+10*i), 1)
	}
	f.Add(encode(l.Snapshot(1)))
	f.Add(encode(ccruntimes.New().Snapshot(1)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		s := &ccruntimes.Snapshot{}
		if decode(keyRunTimes, value, s) != nil {
			return
		}
		l := ccruntimes.New()
		l.Restore(s)
		for i := range s.Entries {
			w := ccruntimes.Work{Team: s.Entries[i].Team, Queue: s.Entries[i].Queue, Image: s.Entries[i].Image, EstimateMs: 700}
			l.Finished(&w, 1000, 1)
			l.Unfinished(&w, 3000, 1)
			p := l.Predict(&w)
			last := 0.0
			for q := 0.0; q <= 1; q += 0.05 {
				if v := p.AtMs(q); !(v >= last) || v > 1e30 {
					t.Fatalf("quantile %.2f is %g, the one before %g", q, v, last)
				} else {
					last = v
				}
			}
		}
		again := &ccruntimes.Snapshot{}
		if err := decode(keyRunTimes, encode(l.Snapshot(1)), again); err != nil {
			t.Fatal(err)
		}
	})
}
