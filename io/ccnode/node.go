// Package ccnode implements the process that runs on each entry VM (a VM that accepts the requests of callers) of the
// product's own deployment. It connects the decision logic of the core packages to the store (io/ccstore), the workers
// (io/ccworker), the VM list (io/ccvmlist) and the peer processes (io/ccpeer). Package io/cccontrol implements the
// process for a platform that has a key-value store and a worker protocol of its own.
//
// One goroutine, the control loop, owns all state that decisions are based on. Other goroutines do the network calls
// and post their results to the control loop.
package ccnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccintent"
	"coriandercross/core/ccjob"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccqueue"
	"coriandercross/core/ccretry"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccshard"
	"coriandercross/core/ccteam"
	"coriandercross/io/ccstore"
	"coriandercross/io/ccvmlist"

	"github.com/cockroachdb/errors"
)

// Node is one process of the system.
type Node struct {
	cfg Config
	id  string
	// calls are the functions posted to the control loop. stopped is closed when the loop has ended.
	calls   chan func()
	stopped chan struct{}
	// jobs and intents write the job buckets and the intent buckets of the store.
	jobs    *ccstore.Batcher[ccjob.Bucket]
	intents *ccstore.Batcher[ccintent.Bucket]
	// inFlight counts the requests and job submissions of callers, and the requests forwarded by peers, that have not
	// been answered yet.
	inFlight atomic.Int64
	// uniqueIDSeq is the number of IDs that nextUniqueID has returned.
	uniqueIDSeq atomic.Int64
	wg          sync.WaitGroup

	// state may be accessed only from the control loop.
	state loopState
}

// loopState is the state that only the control loop may access.
type loopState struct {
	shards  *ccshard.Manager
	members *ccmember.Table
	// pool is the ledger of the workers that this process owns.
	pool      *ccledger.Pool
	orderGate *ccledger.OrderGate
	// queue holds the requests that wait for a worker of this process.
	queue              *ccqueue.Queue
	router             *ccroute.Router
	retryBudget        *ccretry.Budget
	crossRegionLimiter *ccretry.ByteLimiter
	rand               *rand.Rand
	// doc is the configuration in force, nil when there is none, and revision its revision.
	doc      *ccteam.Document
	revision uint64
	// vmList is the newest VM list; vmListRead is true once a list has been read.
	vmList     []ccvmlist.VM
	vmListRead bool
	// racks are the worker shards of the newest VM list. vmListChanged is true from a change of the list until
	// updateWorkers has applied it.
	racks         []rack
	vmListChanged bool
	// openShards are the worker shards whose workers may be given tasks.
	openShards map[string]bool
	// lastListedAt is when the VM list last contained a VM, by VM ID.
	lastListedAt map[string]ccclock.Millis
	// syncStates are the states of the sync calls, by worker ID.
	syncStates map[string]*syncState
	// buckets are the job buckets whose driver runs on this process, by name.
	buckets map[string]*bucket
	// claimCallbacks are called with the claim of a queued request when it is given a worker, by task ID.
	claimCallbacks map[string]func(*ccledger.Claim)
	// activeRequests are the requests of callers that this process executes, by team and request ID.
	activeRequests map[string]bool
	// serviceMs is the exponentially smoothed run time of interactive requests, in milliseconds.
	serviceMs float64
	draining  bool
	// fetchingConfig is true while a call for a peer's configuration is in flight.
	fetchingConfig bool
	// storeCallInFlight is true while a read or write of the shard table is in flight. After a failed read no call is
	// made before nextStoreCallAt.
	storeCallInFlight bool
	// storeFailures is the number of consecutive failed reads.
	storeFailures   int
	nextStoreCallAt ccclock.Millis
	// shardTable is the newest shard table known.
	shardTable ccshard.Table
}

// New returns a node that is idle until Serve is called.
func New(cfg Config) *Node {
	id := ccmember.NewID(cfg.VM, cfg.Incarnation)
	r := rand.New(rand.NewPCG(uint64(cfg.Incarnation), fnv1a(id)))
	t := cfg.Timing
	n := &Node{
		cfg:     cfg,
		id:      id,
		calls:   make(chan func(), callBuffer),
		stopped: make(chan struct{}),
	}
	batch := ccstore.BatcherConfig{Client: cfg.Store, Interval: time.Duration(t.CommitMs) * time.Millisecond, MaxAttempts: maxCommitAttempts}
	n.jobs = ccstore.NewBatcher[ccjob.Bucket](batch)
	n.intents = ccstore.NewBatcher[ccintent.Bucket](batch)
	n.state = loopState{
		shards: ccshard.NewManager(ccshard.Config{
			Self: id, ReadWindow: ccclock.Millis(t.WindowMs), GrantPeriod: ccclock.Millis(t.PromiseMs),
			Drift: ccclock.Millis(t.DriftMs), MaxMoves: maxMoves,
		}),
		members: ccmember.NewTable(ccmember.Config{
			Self: ccmember.Member{
				ID: id, VM: cfg.VM, Incarnation: cfg.Incarnation, Address: cfg.PeerAddress,
				Region: cfg.Region, FailureDomain: cfg.FailureDomain,
			},
			Suspect: ccclock.Millis(t.SuspectMs), Forget: ccclock.Millis(t.SuspectMs) * forgetFactor,
			Fanout: cfg.Limits.Fanout, MaxMembers: maxGossipMembers, Rand: r,
		}),
		pool: ccledger.NewPool(ccledger.Config{
			ReservePercent: cfg.Limits.ReservePercent, QuarantinePercent: cfg.Limits.QuarantinePercent,
			MaxFailures: cfg.Limits.QuarantineFailures, QuarantinePeriod: ccclock.Millis(cfg.Limits.QuarantineMs),
			TaskLease: ccclock.Millis(t.TaskLeaseMs + t.FlightMs),
		}),
		queue: ccqueue.New(),
		router: ccroute.New(ccroute.Config{
			Region: cfg.Region, Policy: cfg.Routing, CrossRegionMs: cfg.Limits.CrossRegionMs, Rand: r,
		}),
		retryBudget:        ccretry.NewBudget(),
		crossRegionLimiter: ccretry.NewByteLimiter(),
		rand:               r,
		lastListedAt:       map[string]ccclock.Millis{},
		openShards:         map[string]bool{},
		syncStates:         map[string]*syncState{},
		buckets:            map[string]*bucket{},
		claimCallbacks:     map[string]func(*ccledger.Claim){},
		activeRequests:     map[string]bool{},
		serviceMs:          initialServiceMs,
	}
	n.state.orderGate = ccledger.NewOrderGate(n.state.pool)
	return n
}

const (
	// callBuffer is the number of functions that may wait for the control loop before post blocks.
	callBuffer = 4_096
	// maxCommitAttempts bounds the attempts to write one batch to the store.
	maxCommitAttempts = 5
	// maxMoves bounds the shards that one plan of ownership changes hands over for balance.
	maxMoves = 16
	// forgetFactor is how long a silent peer is remembered, in multiples of SuspectMs.
	forgetFactor = 30
	// maxGossipMembers bounds the members that one gossip message carries.
	maxGossipMembers = 24
	// initialServiceMs is the value of loopState.serviceMs before the first request.
	initialServiceMs = 50
	// tickInterval is the interval between two runs of tick.
	tickInterval = 50 * time.Millisecond
)

// ID returns the identifier of this incarnation of the process.
func (n *Node) ID() string {
	return n.id
}

// Serve runs the node until ctx ends. It returns when the control loop, the periodic tasks and the job drivers have
// ended; single calls may still be in flight.
func (n *Node) Serve(ctx context.Context) {
	n.wg.Go(func() { n.loop(ctx) })
	n.wg.Go(func() { n.cfg.Store.Follow(ctx, n.cfg.Clock, n.shardKey(), n.onShardTable) })
	n.wg.Go(func() { n.cfg.Store.Follow(ctx, n.cfg.Clock, ConfigKey, n.onStoredConfig) })
	n.wg.Go(func() { n.runEvery(ctx, n.cfg.Timing.VMListMs, n.readVMList) })
	n.wg.Go(func() { n.runEvery(ctx, n.cfg.Timing.GossipMs, n.gossip) })
	n.wg.Go(func() { n.runEvery(ctx, n.cfg.Timing.SyncMs, n.syncWorkers) })
	n.wg.Wait()
}

// loop runs the control loop: it executes posted functions and the periodic tick one after the other.
func (n *Node) loop(ctx context.Context) {
	defer close(n.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.calls:
			f()
		case <-ticker.C:
			n.tick(ctx)
		}
	}
}

// runEvery calls f at once and then every ms milliseconds, until ctx ends.
func (n *Node) runEvery(ctx context.Context, ms int64, f func(context.Context)) {
	ticker := time.NewTicker(time.Duration(ms) * time.Millisecond)
	defer ticker.Stop()
	f(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// ErrStopped reports that the control loop has ended.
var ErrStopped = errors.New("process has stopped")

// do runs f in the control loop and waits until f has returned. It fails with ErrStopped.
func (n *Node) do(f func()) error {
	done := make(chan struct{})
	if err := n.post(func() { f(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return ErrStopped
	}
}

// post queues f for the control loop and does not wait for it to run. It blocks only while the queue is full. It fails
// with ErrStopped.
func (n *Node) post(f func()) error {
	select {
	case n.calls <- f:
		return nil
	case <-n.stopped:
		return ErrStopped
	}
}

// postAfter runs f in the control loop after a delay, unless ctx ends first.
func (n *Node) postAfter(ctx context.Context, delay ccclock.Millis, f func()) {
	time.AfterFunc(delay.Duration(), func() {
		if ctx.Err() == nil {
			_ = n.post(f)
		}
	})
}

func (n *Node) now() ccclock.Millis {
	return n.cfg.Clock.Now()
}

// tick does the periodic work of the control loop.
func (n *Node) tick(ctx context.Context) {
	now := n.now()
	n.updateShards(ctx, now)
	n.updateBuckets(ctx, now)
	n.state.pool.Expire(now)
	n.dispatch(now)
	n.preemptForWaiting(ctx, now)
	n.observeMetrics(now)
}

// digest returns the load of this process. It must run in the control loop.
func (n *Node) digest(now ccclock.Millis) ccmember.Digest {
	capacity := n.state.pool.Capacity(now)
	return ccmember.Digest{
		Revision: n.state.revision, Waiting: int64(n.state.queue.Len()),
		Slots: capacity.Total.Slots, FreeSlots: capacity.Free.Slots, ServiceMs: int64(n.state.serviceMs),
		FreeMilliCores: capacity.Free.MilliCores, FreeMemoryMB: capacity.Free.MemoryMB,
		LargestMilliCores: capacity.Largest.MilliCores, LargestMemoryMB: capacity.Largest.MemoryMB,
		LargestAccelerators: capacity.Largest.Accelerators, Leaving: n.state.draining, DeferrableSlots: capacity.DeferrableSlots,
	}
}

// livingMembers returns this process and all living peers, with their load. It must run in the control loop.
func (n *Node) livingMembers(now ccclock.Millis) []ccmember.Member {
	self := n.state.members.Self()
	self.Digest = n.digest(now)
	return append(n.state.members.Alive(now), self)
}

// fnv1a returns the 64-bit FNV-1a hash of a string.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return h
}
