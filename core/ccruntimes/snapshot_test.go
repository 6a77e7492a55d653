package ccruntimes

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A learner that is restored from a snapshot predicts as the one that it was taken of, with less weight.
func TestSnapshotRoundTrip(t *testing.T) {
	l := newLoad(4)
	learner := l.learned(800)
	assert.Assert(t, learner.Changed())
	s := learner.Snapshot(1000)
	assert.NilError(t, s.Check())
	assert.Assert(t, learner.Changed())
	learner.MarkSaved()
	assert.Assert(t, !learner.Changed())
	restored := New()
	restored.Restore(s)
	for team := range l.teams {
		w := l.next(team).work
		got, want := restored.Predict(&w), learner.Predict(&w)
		assert.Assert(t, Factor(got.MedianMs(), want.MedianMs()) < 1.1, "%.0f ms, before %.0f ms", got.MedianMs(), want.MedianMs())
		assert.Assert(t, got.Weight > 0 && got.Weight <= want.Weight)
	}
	// The weights of the teams are kept as well: a new team may not add more than its share.
	shared := restored.entries[key{level: levelQueue, queue: "queue0"}]
	assert.Equal(t, len(shared.teams), l.teams)
}

// A snapshot is small, however much is known, and has the keys with the most weight.
func TestSnapshotIsBounded(t *testing.T) {
	l := newLoad(4)
	l.teams = 300
	learner := l.learned(3000)
	s := learner.Snapshot(1000)
	assert.NilError(t, s.Check())
	assert.Equal(t, len(s.Entries), maxSnapshotKeys)
	assert.Equal(t, level(s.Entries[0].Level), levelQueue)
}

// With names as long as they may be, a snapshot holds fewer keys.
func TestSnapshotOfLongNamesIsBounded(t *testing.T) {
	l := New()
	for i := range 10_000 {
		name := func(kind string, n int) string { return fmt.Sprintf("%-*s", maxNameBytes, fmt.Sprint(kind, n)) }
		l.Finished(&Work{Team: name("team", i%90), Queue: name("queue", i%70), Image: name("image", i%3), EstimateMs: 700}, 500, 1)
	}
	s := l.Snapshot(1000)
	assert.NilError(t, s.Check())
	bytes := 0
	for _, e := range s.Entries {
		bytes += len(e.Team) + len(e.Queue) + len(e.Image)
		for _, v := range e.Views {
			bytes += len(v)
		}
		for team := range e.Teams {
			bytes += len(team)
		}
	}
	assert.Assert(t, len(s.Entries) > 0 && bytes <= maxSnapshotBytes, "%d keys, %d bytes", len(s.Entries), bytes)
}

// Malformed snapshots are found before anything is restored.
func TestBadSnapshots(t *testing.T) {
	tests := map[string]func(s *Snapshot){
		"Version":      func(s *Snapshot) { s.Version = 2 },
		"Level":        func(s *Snapshot) { s.Entries[0].Level = 9 },
		"Weight":       func(s *Snapshot) { s.Entries[0].Weight = -1 },
		"TooMany":      func(s *Snapshot) { s.Entries = make([]SavedEntry, maxSnapshotKeys+1) },
		"ViewMissing":  func(s *Snapshot) { s.Entries[0].Views = s.Entries[0].Views[1:] },
		"HalfABucket":  func(s *Snapshot) { s.Entries[0].Views[0] = []byte{1} },
		"BucketTwice":  func(s *Snapshot) { s.Entries[0].Views[0] = []byte{1, 1, 1, 1} },
		"NoBucket":     func(s *Snapshot) { s.Entries[0].Views[0] = nil },
		"BucketTooBig": func(s *Snapshot) { s.Entries[0].Views[0] = []byte{bucketCount, 1} },
		"TeamWeight":   func(s *Snapshot) { s.Entries[0].Teams = map[string]float32{"a": 1e9} },
		"LongName":     func(s *Snapshot) { s.Entries[0].Team = string(make([]byte, maxNameBytes+1)) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLoad(4).learned(100).Snapshot(1000)
			assert.NilError(t, s.Check())
			change(s)
			assert.Assert(t, errors.Is(s.Check(), ErrBadSnapshot))
		})
	}
}
