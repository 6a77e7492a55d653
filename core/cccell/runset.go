package cccell

import (
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// RunRange is a range of run numbers. Its field names are those of the progress record.
type RunRange struct {
	First int `cbor:"1,keyasint"`
	Last  int `cbor:"2,keyasint"`
}

// RunSet is a set of run numbers, as ranges in rising order with a gap between any two. Load: a job that runs each second for
// days. Its runs are done in about the order of their numbers, so that a few ranges name them all.
type RunSet []RunRange

// Check returns ErrBadProgress for ranges that are empty, negative, out of order, or that touch each other.
func (s RunSet) Check() error {
	next := 0
	for _, r := range s {
		if r.First < next || r.Last < r.First {
			return errors.Wrapf(ErrBadProgress, "runs %d to %d after run %d", r.First, r.Last, next-1)
		}
		next = r.Last + 2
	}
	return nil
}

// find returns the index of the first range that ends at n or later.
func (s RunSet) find(n int) int {
	return sort.Search(len(s), func(i int) bool { return s[i].Last >= n })
}

// Has reports whether a run is in the set.
func (s RunSet) Has(n int) bool {
	i := s.find(n)
	return i < len(s) && s[i].First <= n
}

// Count returns the number of runs in the set.
func (s RunSet) Count() int {
	n := 0
	for _, r := range s {
		n += r.Last - r.First + 1
	}
	return n
}

// add adds a run.
func (s *RunSet) add(n int) {
	list := *s
	i := list.find(n)
	if i < len(list) && list[i].First <= n {
		return
	}
	joinsPrior := i > 0 && list[i-1].Last == n-1
	joinsNext := i < len(list) && list[i].First == n+1
	switch {
	case joinsPrior && joinsNext:
		list[i-1].Last = list[i].Last
		list = slices.Delete(list, i, i+1)
	case joinsPrior:
		list[i-1].Last = n
	case joinsNext:
		list[i].First = n
	default:
		list = slices.Insert(list, i, RunRange{n, n})
	}
	*s = list
}
