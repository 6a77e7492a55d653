package cccell

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrBadProgress reports a progress record that does not fit its job.
var ErrBadProgress = errors.New("stored progress does not fit the job")

// Progress is the progress record of a job, stored beside the job. It is persisted before a worker forgets the ends
// that it covers, so that a new leader does not repeat the tasks.
type Progress struct {
	// State is the final state, or empty while the job has not ended.
	State State `cbor:"1,keyasint,omitempty"`
	// Runs holds the progress of each run that has started, by number, but for those of DoneRuns.
	Runs map[int]RunProgress `cbor:"2,keyasint,omitempty"`
	// DoneRuns holds the runs that are done, if they are more than maxListedRuns. Earlier releases list them all in Runs.
	DoneRuns RunSet `cbor:"6,keyasint,omitempty"`
	// EndedMs is the time of day at which the job ended, in Unix milliseconds. Final records are never removed: a query of
	// the state that finds no submission relies on it.
	EndedMs int64 `cbor:"3,keyasint,omitempty"`
	// Owner is the owner of the job, nil if it belongs to no team or has not ended: the submission, which has the owner as
	// well, is removed when the job ends.
	Owner *Owner `cbor:"4,keyasint,omitempty"`
	// Withdrawn is true for a job that was cancelled before its submission was stored. The submission is then never stored,
	// and callers read that there is no such job. State is Cancelled, and Owner that of the caller who cancelled.
	Withdrawn bool `cbor:"5,keyasint,omitempty"`
}

// RunProgress is the progress of one run.
type RunProgress struct {
	Done   bool                  `cbor:"1,keyasint,omitempty"`
	Stages map[int]StageProgress `cbor:"2,keyasint,omitempty"`
}

// StageProgress is the progress of one stage.
type StageProgress struct {
	// Done has bit i set when task i is done.
	Done []uint64 `cbor:"1,keyasint,omitempty"`
	// Failures holds the failures of each task that has any. Those of a gang are under task 0.
	Failures []Failure `cbor:"2,keyasint,omitempty"`
	// Crashes holds the crashes of workers under each task that has any.
	Crashes []TaskCrashes `cbor:"3,keyasint,omitempty"`
}

// Failure holds the numbers of the failed attempts of one task. Numbers are stored instead of a count, since a new
// leader reads ends from several workers in any order, and some of them are counted already.
type Failure struct {
	Index    int     `cbor:"1,keyasint"`
	Attempts []int64 `cbor:"2,keyasint"`
}

// TaskCrashes holds the crashes of workers under one task.
type TaskCrashes struct {
	Index   int     `cbor:"1,keyasint"`
	Crashes []Crash `cbor:"2,keyasint"`
}

// addEnd adds the end of a task, and returns false if it was known. The record must not have a final state.
func (p *Progress) addEnd(e *EndedTask) bool {
	rp := p.Runs[e.Task.Run]
	if rp.Stages == nil {
		rp.Stages = map[int]StageProgress{}
	}
	sp := rp.Stages[e.Task.Stage]
	added := false
	if e.End == EndDone {
		if added = !bitset(sp.Done).has(e.Task.Index); added {
			done := newBitset(max(e.Task.Index+1, len(sp.Done)*wordBits))
			copy(done, sp.Done)
			done.add(e.Task.Index)
			sp.Done = done
		}
	} else {
		sp.Failures, added = addFailure(sp.Failures, e.Task.Index, e.Attempt)
	}
	rp.Stages[e.Task.Stage] = sp
	p.Runs[e.Task.Run] = rp
	return added
}

// addFailure returns the failures with one more failed attempt at a task, and false if it was among them.
func addFailure(failures []Failure, index int, attempt int64) ([]Failure, bool) {
	for i := range failures {
		f := &failures[i]
		if f.Index != index {
			continue
		}
		if slices.Contains(f.Attempts, attempt) {
			return failures, false
		}
		f.Attempts = append(f.Attempts, attempt)
		return failures, true
	}
	return append(failures, Failure{Index: index, Attempts: []int64{attempt}}), true
}

// clone returns a copy that shares nothing with the record.
func (p *Progress) clone() Progress {
	out := *p
	out.DoneRuns = slices.Clone(p.DoneRuns)
	out.Runs = make(map[int]RunProgress, len(p.Runs))
	for n, rp := range p.Runs {
		stages := make(map[int]StageProgress, len(rp.Stages))
		for i, sp := range rp.Stages {
			sp.Done = slices.Clone(sp.Done)
			sp.Failures = slices.Clone(sp.Failures)
			for k := range sp.Failures {
				sp.Failures[k].Attempts = slices.Clone(sp.Failures[k].Attempts)
			}
			stages[i] = sp
		}
		out.Runs[n] = RunProgress{Done: rp.Done, Stages: stages}
	}
	return out
}

// Check returns ErrBadProgress for an unknown state, or ranges of runs that are out of order.
func (p *Progress) Check() error {
	if err := p.State.Check(); err != nil {
		return errors.Mark(err, ErrBadProgress)
	}
	return p.DoneRuns.Check()
}

// maxListedRuns is the number of done runs that are listed one by one, in the format that earlier releases read.
const maxListedRuns = 1000

// bitset is a set of task indexes.
type bitset []uint64

const wordBits = 64

// newBitset returns an empty set for indexes below n.
func newBitset(n int) bitset {
	return make(bitset, (n+wordBits-1)/wordBits)
}

func (b bitset) has(i int) bool {
	return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b bitset) add(i int) {
	b[i/wordBits] |= 1 << (i % wordBits)
}

func (b bitset) count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// progress returns the progress record of a job.
func (j *job) progress(nowUnixMs int64) Progress {
	p := Progress{State: j.final}
	if j.final != "" {
		p.EndedMs = nowUnixMs
		if o := j.spec.Owner(); o.Team != "" {
			p.Owner = &o
		}
		return p
	}
	p.Runs = map[int]RunProgress{}
	if j.doneRuns.Count() > maxListedRuns {
		p.DoneRuns = slices.Clone(j.doneRuns)
	} else {
		for _, r := range j.doneRuns {
			for n := r.First; n <= r.Last; n++ {
				p.Runs[n] = RunProgress{Done: true}
			}
		}
	}
	for n, r := range j.runs {
		if r.done {
			p.Runs[n] = RunProgress{Done: true}
			continue
		}
		rp := RunProgress{Stages: map[int]StageProgress{}}
		for _, s := range r.stages {
			if sp, ok := s.progress(); ok {
				rp.Stages[s.id.Stage] = sp
			}
		}
		if len(rp.Stages) > 0 {
			p.Runs[n] = rp
		}
	}
	return p
}

// progress returns the progress of a stage, and false when there is none to store.
func (s *stage) progress() (StageProgress, bool) {
	var sp StageProgress
	if s.done.count() > 0 {
		sp.Done = append([]uint64(nil), s.done...)
	}
	for i, f := range s.failures {
		sp.Failures = append(sp.Failures, Failure{Index: i, Attempts: f})
	}
	sort.Slice(sp.Failures, func(a, b int) bool { return sp.Failures[a].Index < sp.Failures[b].Index })
	for i, k := range s.crashes {
		sp.Crashes = append(sp.Crashes, TaskCrashes{Index: i, Crashes: slices.Clone(k)})
	}
	sort.Slice(sp.Crashes, func(a, b int) bool { return sp.Crashes[a].Index < sp.Crashes[b].Index })
	return sp, len(sp.Done)+len(sp.Failures)+len(sp.Crashes) > 0
}

// restore sets a stage to its stored progress. Bits, failures and crashes of tasks that the stage does not have are ignored.
func (s *stage) restore(sp StageProgress) {
	for i := 0; i < s.spec.Count; i++ {
		if bitset(sp.Done).has(i) {
			s.done.add(i)
		}
	}
	for _, f := range sp.Failures {
		if f.Index >= 0 && f.Index < s.spec.Count {
			s.failures[f.Index] = f.Attempts
		}
	}
	for _, k := range sp.Crashes {
		if k.Index >= 0 && k.Index < s.spec.Count {
			s.crashes[k.Index] = k.Crashes
		}
	}
}

// restoreDone marks all tasks of a stage as done. The progress of a run that is done has no stages.
func (s *stage) restoreDone() {
	for i := range s.spec.Count {
		s.done.add(i)
	}
}
