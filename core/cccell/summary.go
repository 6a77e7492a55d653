package cccell

import (
	"sort"

	"coriandercross/core/ccfair"
	"coriandercross/core/ccruntimes"
)

// Summary is the state of a cell as shown in the state dump.
type Summary struct {
	Token int64
	Jobs  int
	// Open is the number of unfinished stages whose predecessors are finished.
	Open int
	// PendingWrites is the result of Cell.PendingWrites.
	PendingWrites int `json:"Unnoted"`
	Stats         Stats
	Teams         []TeamSummary `json:",omitempty"`
	Workers       []WorkerSummary
	// RunTimes has the errors of the predicted run times, by queue; RunTimeKeys is the number of keys that were learned.
	RunTimes    []ccruntimes.QueueError `json:",omitempty"`
	RunTimeKeys int                     `json:",omitempty"`
	// TeamShares has what the teams are owed and have, nil if the configuration has none.
	TeamShares []ccfair.Summary `json:",omitempty"`
}

// WorkerSummary is the state of a worker as shown in the state dump.
type WorkerSummary struct {
	ID       string
	Listed   bool
	Admitted bool `json:"Taken"`
	Draining bool
	SilentMs int64
	Attempts int
	// FreeCores is in thousandths of a core.
	FreeCores   int64
	FreeMB      int64
	Health      float64
	Quarantined bool
	// UnackedEnds is the number of ends that were read and may not be acknowledged yet.
	UnackedEnds int `json:"Unnoted"`
}

// Summary returns the state of the cell for the state dump.
func (c *Cell) Summary(now ms) *Summary {
	s := &Summary{Token: c.cfg.Token, Jobs: len(c.jobs), Open: len(c.open), PendingWrites: len(c.dirty), Stats: c.stats, Teams: c.Teams(now), TeamShares: c.TeamShares(now)}
	for id, w := range c.workers {
		free := w.free()
		ws := WorkerSummary{
			ID: id, Listed: w.listed, Admitted: w.admitted, Draining: w.drainSince != 0, Attempts: len(w.attempts),
			FreeCores: free.MilliCores, FreeMB: free.MemoryMB, Health: w.health.score, Quarantined: w.health.inQuarantine(now), UnackedEnds: len(w.unackedEnds),
		}
		ws.SilentMs = int64(w.silentMs(now))
		s.Workers = append(s.Workers, ws)
	}
	if l := c.cfg.RunTimes; l != nil {
		s.RunTimes, s.RunTimeKeys = l.Errors(), l.Keys()
		sort.Slice(s.RunTimes, func(a, b int) bool { return s.RunTimes[a].Queue < s.RunTimes[b].Queue })
	}
	sort.Slice(s.Workers, func(a, b int) bool { return s.Workers[a].ID < s.Workers[b].ID })
	return s
}

// TeamShares returns the accounts of the teams of the configuration.
func (c *Cell) TeamShares(now ms) []ccfair.Summary {
	return c.shares.Summaries(now)
}
