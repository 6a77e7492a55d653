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

// Dump is a snapshot of the state of one process, for operators.
type Dump struct {
	ID            string
	Region        string
	FailureDomain string
	// NowMs is the time of the snapshot on the clock of the process, in milliseconds.
	NowMs    ccclock.Millis
	Draining bool
	// Revision is the revision of the configuration in force; 0 when there is none.
	Revision uint64
	// InFlight is the number of requests and job submissions that have not been answered yet.
	InFlight int64
	// Waiting is the number of requests in the queue.
	Waiting int
	// ServiceMs is the smoothed run time of interactive requests, in milliseconds.
	ServiceMs int64
	// StoreVersion is the version of the shard table read last.
	StoreVersion uint64
	// Members are the processes known to be alive, including this one.
	Members []ccmember.Member
	Shards  []ccshard.ShardStatus
	Workers []ccledger.WorkerState
	// Buckets counts the tasks of each job bucket whose driver runs on this process, by name.
	Buckets map[string]ccjob.Counts
}

// Dump returns a snapshot of the state of this process. It blocks only until the control loop has collected it.
func (n *Node) Dump() Dump {
	d := Dump{ID: n.id, Region: n.cfg.Region, FailureDomain: n.cfg.FailureDomain, InFlight: n.inFlight.Load()}
	_ = n.do(func() {
		now := n.now()
		d.NowMs = now
		d.Draining = n.state.draining
		d.Revision = n.state.revision
		d.Waiting = n.state.queue.Len()
		d.ServiceMs = int64(n.state.serviceMs)
		d.StoreVersion = n.state.shards.Version()
		d.Members = n.livingMembers(now)
		d.Shards = n.state.shards.Statuses(now)
		d.Workers = n.state.pool.Workers()
		d.Buckets = map[string]ccjob.Counts{}
		for name, b := range n.state.buckets {
			d.Buckets[name] = b.driver.Counts()
		}
	})
	slices.SortFunc(d.Shards, func(a, b ccshard.ShardStatus) int { return strings.Compare(a.Shard, b.Shard) })
	slices.SortFunc(d.Workers, func(a, b ccledger.WorkerState) int { return strings.Compare(a.ID, b.ID) })
	return d
}
