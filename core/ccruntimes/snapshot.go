package ccruntimes

import (
	"cmp"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrBadSnapshot reports a snapshot that can't be restored.
var ErrBadSnapshot = errors.New("snapshot of run times is malformed")

const (
	// snapshotVersion is the version of the format. A snapshot of another version is not restored.
	snapshotVersion = 1
	// maxSnapshotKeys bounds the keys of a snapshot, of about 200 bytes each: those with the most weight.
	maxSnapshotKeys = 128
	// maxSnapshotBytes bounds the bytes of their names and distributions, for teams with long names.
	maxSnapshotBytes = 64 << 10
	// maxNameBytes bounds the names in a snapshot. Keys with longer ones are left out.
	maxNameBytes = 128
	// restoredShare is the share of their weights that restored keys get, since they may be old.
	restoredShare = 0.5
	// minSnapshotWeight is the weight from which a key is worth keeping.
	minSnapshotWeight = 1
	// changedShare is the share of what is known that has to be new for a new snapshot.
	changedShare = 0.1
)

// Snapshot is what a learner knows, for the next leader.
type Snapshot struct {
	Version int `cbor:"1,keyasint"`
	// TakenMs is the time of the snapshot in Unix milliseconds.
	TakenMs int64        `cbor:"2,keyasint"`
	Entries []SavedEntry `cbor:"3,keyasint"`
}

// SavedEntry is a key with its distributions.
type SavedEntry struct {
	Level      uint8  `cbor:"1,keyasint"`
	Team       string `cbor:"2,keyasint,omitempty"`
	Queue      string `cbor:"3,keyasint"`
	Image      string `cbor:"4,keyasint,omitempty"`
	Stage      uint8  `cbor:"5,keyasint,omitempty"`
	Size       uint8  `cbor:"6,keyasint,omitempty"`
	NoEstimate bool   `cbor:"7,keyasint,omitempty"`
	// Weight is the weight of each view.
	Weight float32 `cbor:"8,keyasint"`
	// Views has, for each view, the buckets that are not empty: pairs of the index and of the weight in proportion to the
	// heaviest bucket, which has 255.
	Views [][]byte `cbor:"9,keyasint"`
	// Teams has the weights of the teams in a shared key.
	Teams map[string]float32 `cbor:"10,keyasint,omitempty"`
}

// Changed reports whether enough was learned since the last saved snapshot for a new one.
func (l *Learner) Changed() bool {
	return l.added > 0 && l.added >= changedShare*l.total
}

// MarkSaved records that a snapshot is in the store.
func (l *Learner) MarkSaved() {
	l.added, l.total = 0, 0
	for _, e := range l.entries {
		l.total += e.weight()
	}
}

// Snapshot returns what the learner knows about the keys with the most weight.
func (l *Learner) Snapshot(nowUnixMs int64) *Snapshot {
	s := &Snapshot{Version: snapshotVersion, TakenMs: nowUnixMs}
	for k, e := range l.entries {
		if e.weight() < minSnapshotWeight || len(k.team) > maxNameBytes || len(k.queue) > maxNameBytes || len(k.image) > maxNameBytes {
			continue
		}
		s.Entries = append(s.Entries, SavedEntry{
			Level: uint8(k.level), Team: k.team, Queue: k.queue, Image: k.image, Stage: k.stage, Size: k.size, NoEstimate: k.noEstimate, Weight: float32(e.weight()),
		})
	}
	slices.SortFunc(s.Entries, func(a, b SavedEntry) int {
		return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue),
			cmp.Compare(a.Image, b.Image), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Size, b.Size))
	})
	s.Entries = s.Entries[:min(len(s.Entries), maxSnapshotKeys)]
	bytes := 0
	for i := range s.Entries {
		r := &s.Entries[i]
		e := l.entries[r.key()]
		bytes += len(r.Team) + len(r.Queue) + len(r.Image)
		for v := range e.views {
			r.Views = append(r.Views, e.views[v].pack())
			bytes += len(r.Views[v])
		}
		for team, weight := range e.teams {
			if len(team) <= maxNameBytes {
				if r.Teams == nil {
					r.Teams = map[string]float32{}
				}
				r.Teams[team] = float32(weight)
				bytes += len(team)
			}
		}
		if bytes > maxSnapshotBytes {
			s.Entries = s.Entries[:i]
			break
		}
	}
	return s
}

func (r *SavedEntry) key() key {
	return key{level: level(r.Level), team: r.Team, queue: r.Queue, image: r.Image, stage: r.Stage, size: r.Size, noEstimate: r.NoEstimate}
}

// packedMax is the packed weight of the heaviest bucket.
const packedMax = 255

// pack returns the buckets that are not empty, as in SavedEntry.Views.
func (h *histogram) pack() []byte {
	heaviest := slices.Max(h.buckets[:])
	var out []byte
	for i, b := range h.buckets {
		if n := math.Round(float64(b / heaviest * packedMax)); n >= 1 {
			out = append(out, byte(i), byte(n))
		}
	}
	return out
}

// unpack sets an empty histogram to packed buckets with a total weight.
func (h *histogram) unpack(packed []byte, total float64) {
	sum := 0.0
	for i := 0; i+1 < len(packed); i += 2 {
		sum += float64(packed[i+1])
	}
	for i := 0; i+1 < len(packed); i += 2 {
		h.buckets[packed[i]] = float32(float64(packed[i+1]) / sum * total)
	}
	h.total = total
}

// Check returns ErrBadSnapshot for a snapshot that can't be restored.
func (s *Snapshot) Check() error {
	if s.Version != snapshotVersion {
		return errors.Wrapf(ErrBadSnapshot, "version %d; version %d is known", s.Version, snapshotVersion)
	}
	if len(s.Entries) > maxSnapshotKeys {
		return errors.Wrapf(ErrBadSnapshot, "%d keys; at most %d are allowed", len(s.Entries), maxSnapshotKeys)
	}
	for i := range s.Entries {
		if err := s.Entries[i].check(); err != nil {
			return errors.Mark(errors.Wrapf(err, "key %d", i), ErrBadSnapshot)
		}
	}
	return nil
}

func (r *SavedEntry) check() error {
	weightValid := func(w float32) bool { return w > 0 && w <= window }
	switch {
	case level(r.Level) >= levelCount:
		return errors.Newf("level %d is unknown", r.Level)
	case max(len(r.Team), len(r.Queue), len(r.Image)) > maxNameBytes:
		return errors.Newf("a name is longer than %d bytes", maxNameBytes)
	case !weightValid(r.Weight):
		return errors.Newf("weight %g is not between 0 and %d", r.Weight, window)
	case len(r.Views) != viewCount:
		return errors.Newf("%d views; there are %d", len(r.Views), viewCount)
	case len(r.Teams) > maxTeams+1:
		return errors.Newf("%d teams; at most %d are allowed", len(r.Teams), maxTeams+1)
	}
	for team, weight := range r.Teams {
		if len(team) > maxNameBytes || !weightValid(weight) {
			return errors.Newf("a team has a long name or the weight %g", weight)
		}
	}
	for v, packed := range r.Views {
		last := -1
		for i := 0; i < len(packed); i += 2 {
			if i+1 == len(packed) || int(packed[i]) >= bucketCount || int(packed[i]) <= last || packed[i+1] == 0 {
				return errors.Newf("view %d is malformed at byte %d", v, i)
			}
			last = int(packed[i])
		}
		if last < 0 {
			return errors.Newf("view %d is empty", v)
		}
	}
	return nil
}

// Restore adds the keys of a snapshot, which has passed Check, that the learner does not have.
func (l *Learner) Restore(s *Snapshot) {
	for i := range s.Entries {
		r := &s.Entries[i]
		if l.entries[r.key()] != nil {
			continue
		}
		e := l.insert(r.key())
		for v := range e.views {
			e.views[v].unpack(r.Views[v], float64(r.Weight)*restoredShare)
		}
		for team, weight := range r.Teams {
			if e.teams == nil {
				e.teams = map[string]float64{}
			}
			e.teams[team] = float64(weight) * restoredShare
		}
		l.total += e.weight()
	}
}
