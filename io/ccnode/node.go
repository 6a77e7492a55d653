// Package ccnode is the process of an entry VM: it joins the decisions of the core with the peers.
// One goroutine, the control loop, owns all state that decisions rest on; other goroutines carry
// traffic and hand their news to it.
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
	cfg     Config
	id      string
	calls   chan func()
	stopped chan struct{}
	jobs    *ccstore.Batcher[ccjob.Bucket]
	intents *ccstore.Batcher[ccintent.Bucket]
	// inFlight counts the requests of callers and fellows that have no answer yet.
	inFlight atomic.Int64
	tokenSeq atomic.Int64
	wg       sync.WaitGroup

	// state belongs to the control loop.
	state loopState
}

// loopState is the state owned by the loopState loop.
type loopState struct {
	shards             *ccshard.Manager
	members            *ccmember.Table
	pool               *ccledger.Pool
	orderGate          *ccledger.OrderGate
	queue              *ccqueue.Queue
	router             *ccroute.Router
	retryBudget        *ccretry.Budget
	crossRegionLimiter *ccretry.ByteLimiter
	rand               *rand.Rand
	doc                *ccteam.Document
	revision           uint64
	// vmList is the newest list; listedAt is when each VM was last on one.
	vmList     []ccvmlist.VM
	vmListRead bool
	// racks are the shards of workers of the newest list; vmsChanged is true until they were looked at.
	racks         []rack
	vmListChanged bool
	// openShards are the shards whose workers may get tasks.
	openShards     map[string]bool
	lastListedAt   map[string]ccclock.Millis
	syncStates     map[string]*syncState
	buckets        map[string]*bucket
	claimCallbacks map[string]func(*ccledger.Claim)
	activeRequests map[string]bool
	// serviceMs is the smoothed run time of interactive requests.
	serviceMs float64
	draining  bool
	// fetchingConfig is true while a fellow is asked for its configuration.
	fetchingConfig bool
	// storeCallInFlight is true while a call for the shard table is in flight; after a failure none is made
	// before storeNotBefore.
	storeCallInFlight bool
	storeFailures     int
	nextStoreCallAt   ccclock.Millis
	shardTable        ccshard.Table
}

// New returns a node that does nothing yet.
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
	batch := ccstore.BatcherConfig{Client: cfg.Store, Interval: time.Duration(t.CommitMs) * time.Millisecond, Tries: commitTries}
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
			Fanout: cfg.Limits.Fanout, MaxEntries: maxGossipEntries, Rand: r,
		}),
		pool: ccledger.NewPool(ccledger.Config{
			ReservePercent: cfg.Limits.ReservePercent, QuarantinePercent: cfg.Limits.QuarantinePercent,
			MaxFailures: cfg.Limits.QuarantineFailures, QuarantineSpan: ccclock.Millis(cfg.Limits.QuarantineMs),
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
	callBuffer       = 4_096
	commitTries      = 5
	maxMoves         = 16
	forgetFactor     = 30
	maxGossipEntries = 24
	initialServiceMs = 50
	tickInterval     = 50 * time.Millisecond
)

// ID returns the name of this incarnation of the process.
func (n *Node) ID() string {
	return n.id
}

// Serve works until ctx ends. It returns once every goroutine of the node has ended.
func (n *Node) Serve(ctx context.Context) {
	n.wg.Go(func() { n.loop(ctx) })
	n.wg.Go(func() { n.cfg.Store.Follow(ctx, n.cfg.Clock, n.shardKey(), n.onShardTable) })
	n.wg.Go(func() { n.cfg.Store.Follow(ctx, n.cfg.Clock, ConfigKey, n.onStoredConfig) })
	n.wg.Go(func() { n.runEvery(ctx, n.cfg.Timing.VMListMs, n.readVMList) })
	n.wg.Go(func() { n.runEvery(ctx, n.cfg.Timing.GossipMs, n.gossip) })
	n.wg.Go(func() { n.runEvery(ctx, n.cfg.Timing.SyncMs, n.syncWorkers) })
	n.wg.Wait()
}

// loop is the control loop.
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

// runEvery calls f in intervals until ctx ends.
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
var ErrStopped = errors.New("process is stopped")

// do runs f in the control loop and waits for its end. It fails with ErrStopped.
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

// post hands f to the control loop without waiting for its end. It fails with ErrStopped.
func (n *Node) post(f func()) error {
	select {
	case n.calls <- f:
		return nil
	case <-n.stopped:
		return ErrStopped
	}
}

// postAfter runs f in the control loop postAfter a delay, unless ctx ends before.
func (n *Node) postAfter(ctx context.Context, delay ccclock.Millis, f func()) {
	time.AfterFunc(delay.Duration(), func() {
		if ctx.Err() == nil {
			_ = n.post(f)
		}
	})
}

// now returns the present time.
func (n *Node) now() ccclock.Millis {
	return n.cfg.Clock.Now()
}

// tick does what is due by the passing of time. It belongs to the control loop.
func (n *Node) tick(ctx context.Context) {
	now := n.now()
	n.updateShards(ctx, now)
	n.updateBuckets(ctx, now)
	n.state.pool.Expire(now)
	n.dispatch(now)
	n.preemptForWaiting(ctx, now)
	n.observeMetrics(now)
}

// digest returns this process's load. It belongs to the control loop.
func (n *Node) digest(now ccclock.Millis) ccmember.Digest {
	capacity := n.state.pool.Capacity(now)
	return ccmember.Digest{
		Revision: n.state.revision, Waiting: int64(n.state.queue.Len()),
		Slots: capacity.Total.Slots, FreeSlots: capacity.Free.Slots, ServiceMs: int64(n.state.serviceMs),
		FreeMilliCores: capacity.Free.MilliCores, FreeMemoryMB: capacity.Free.MemoryMB,
		LargestMilliCores: capacity.Largest.MilliCores, LargestMemoryMB: capacity.Largest.MemoryMB,
		LargestAccelerators: capacity.Largest.Accelerators, Leaving: n.state.draining, HeldSlots: capacity.HeldSlots,
	}
}

// livingMembers returns this process and its living fellows, as candidates for work. It belongs to the
// control loop.
func (n *Node) livingMembers(now ccclock.Millis) []ccmember.Member {
	self := n.state.members.Self()
	self.Digest = n.digest(now)
	return append(n.state.members.Alive(now), self)
}

// fnv1a is FNV-1a over a text.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return h
}
