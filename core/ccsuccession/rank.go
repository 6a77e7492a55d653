package ccsuccession

import (
	"cmp"
	"slices"
	"strings"
)

// Candidate is a process that may become the leader.
type Candidate struct {
	VM     string
	Region string
	// Cores is the processor time that the process has normally, in cores.
	Cores float64
	// Slowness is how many times slower than normally it runs just now, 0 if that is not known.
	Slowness float64
	// Demoted is true while the process ranks behind the others.
	Demoted bool
	// ReportedAt is a time of the leader, 0 if none is known, after which the process has reported its slowness. A leader
	// that is slow reads reports late.
	ReportedAt ms
}

// capacity returns the processor time that a candidate has just now, in normal cores.
func (c *Candidate) capacity() float64 {
	return c.Cores / max(c.Slowness, 1)
}

// Order sorts candidates, the best first. Those that are not demoted come first; among them those in the home region,
// since the store is there and each write of a leader elsewhere takes a round trip between regions longer; then those
// with more processor time, of which VMs with more memory and a faster link have more as well.
func Order(list []Candidate, home string) {
	slices.SortFunc(list, func(a, b Candidate) int {
		if a.Demoted != b.Demoted {
			if a.Demoted {
				return 1
			}
			return -1
		}
		if (a.Region == home) != (b.Region == home) {
			if a.Region == home {
				return -1
			}
			return 1
		}
		if n := cmp.Compare(b.capacity(), a.capacity()); n != 0 {
			return n
		}
		return strings.Compare(a.VM, b.VM)
	})
}

// steadyReports is the number of reports in a row after which a follower counts as slow, or no longer so.
const steadyReports = 3

// Reports follows the reports of one process on its slowness, single ones of which may be wrong. The zero value is for a
// process that is not slow.
type Reports struct {
	slow  bool
	other int
}

// Add adds a report and reports whether the process is slow.
func (r *Reports) Add(slowness float64) bool {
	if is := slowness >= SlowFrom; is == r.slow {
		r.other = 0
	} else if r.other++; r.other == steadyReports {
		r.slow, r.other = is, 0
	}
	return r.slow
}
