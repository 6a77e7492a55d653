package ccnode

import (
	"slices"
	"strings"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccjob"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccshard"
)

// Dump is the state of one process.
type Dump struct {
	ID            string
	Region        string
	FailureDomain string
	NowMs         ccclock.Millis
	Draining      bool
	Revision      uint64
	InFlight      int64
	Waiting       int
	ServiceMs     int64
	StoreVersion  uint64
	Members       []ccmember.Member
	Shards        []ccshard.ShardStatus
	Workers       []ccledger.WorkerState
	Buckets       map[string]ccjob.Counts
}

// Dump returns the state of the process. It blocks on the control loop only.
func (n *Node) Dump() Dump {
	d := Dump{ID: n.id, Region: n.cfg.Region, FailureDomain: n.cfg.FailureDomain, InFlight: n.inFlight.Load()}
	_ = n.do(func() {
		now := n.now()
		d.NowMs = now
		d.Draining = n.c.draining
		d.Revision = n.c.revision
		d.Waiting = n.c.queue.Len()
		d.ServiceMs = int64(n.c.serviceMs)
		d.StoreVersion = n.c.keeper.Version()
		d.Members = n.owners(now)
		d.Shards = n.c.keeper.Statuses(now)
		d.Workers = n.c.pool.Workers()
		d.Buckets = map[string]ccjob.Counts{}
		for name, b := range n.c.drivers {
			d.Buckets[name] = b.driver.Counts()
		}
	})
	slices.SortFunc(d.Shards, func(a, b ccshard.ShardStatus) int { return strings.Compare(a.Shard, b.Shard) })
	slices.SortFunc(d.Workers, func(a, b ccledger.WorkerState) int { return strings.Compare(a.ID, b.ID) })
	return d
}
