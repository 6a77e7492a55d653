package ccnode

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccjob"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccshard"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// bucket is a job bucket whose driver runs on this process.
type bucket struct {
	name string
	// epoch is the epoch of the shard at which the driver acts, and seq the number of its last round.
	epoch  uint64
	seq    uint64
	driver *ccjob.Driver
	cancel context.CancelFunc
	// wake starts the next round at once, with a reload of the bucket.
	wake chan struct{}
	// inRound is true while a round is in progress; the shard is not handed over then.
	inRound bool
	// release holds, by owner, the tasks whose reservations the next report request orders that owner to release.
	release map[string][]string
}

// jobKey returns the store key of the jobs of a bucket.
func (n *Node) jobKey(name string) string {
	return "Jobs/" + n.cfg.Region + "/" + strings.TrimPrefix(name, bucketPrefix)
}

// bucketOf returns the name of the bucket that holds the job with this key.
func (n *Node) bucketOf(key string) string {
	return bucketName(ccwork.Bucket(key, n.cfg.Limits.JobBuckets))
}

// updateBuckets starts a driver for each bucket that this process has gained authority over, and stops the driver of
// each bucket that it no longer owns, or has lost and regained. It must run in the control loop.
func (n *Node) updateBuckets(ctx context.Context, now ccclock.Millis) {
	for i := range n.cfg.Limits.JobBuckets {
		name := bucketName(i)
		a, err := n.state.shards.Authority(name, now)
		b := n.state.buckets[name]
		if b != nil && (errors.Is(err, ccshard.ErrNotOwner) || err == nil && a.Epoch != b.epoch && !n.continueAt(b, a.Epoch)) {
			b.cancel()
			delete(n.state.buckets, name)
			b = nil
		}
		if b == nil && err == nil {
			n.startDriver(ctx, name, a.Epoch)
		}
	}
}

// continueAt lets a driver continue at the epoch that follows its own and reports whether it may. With this process
// still the owner, one epoch more can only be a change of the successor: a change of owner and back takes two.
func (n *Node) continueAt(b *bucket, epoch uint64) bool {
	if epoch != b.epoch+1 {
		return false
	}
	b.epoch = epoch
	return true
}

// startDriver starts the driver of a bucket. It must run in the control loop.
func (n *Node) startDriver(ctx context.Context, name string, epoch uint64) {
	ctx, cancel := context.WithCancel(ctx)
	b := &bucket{
		name: name, epoch: epoch, driver: ccjob.NewDriver(epoch), cancel: cancel,
		wake: make(chan struct{}, 1), release: map[string][]string{},
	}
	n.state.buckets[name] = b
	n.cfg.Log.Info("job driver started", "Bucket", name, "Epoch", epoch)
	n.wg.Go(func() { n.drive(ctx, b) })
}

// drive runs the rounds of a driver until ctx ends. It reloads the bucket from the store after a wake-up, and otherwise
// when the last load is older than JobReloadMs.
func (n *Node) drive(ctx context.Context, b *bucket) {
	roundInterval := time.Duration(n.cfg.Timing.JobRoundMs) * time.Millisecond
	reloadInterval := ccclock.Millis(n.cfg.Timing.JobReloadMs)
	var loadedAt ccclock.Millis
	for ctx.Err() == nil {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
			woken = true
		case <-time.After(roundInterval):
		}
		if woken || loadedAt == 0 || n.now() > loadedAt+reloadInterval {
			if !n.loadBucket(ctx, b) {
				continue
			}
			loadedAt = n.now()
		}
		n.runRound(ctx, b)
	}
}

// loadBucket reads the jobs of a bucket from the store into its driver. It returns false when that failed.
func (n *Node) loadBucket(ctx context.Context, b *bucket) bool {
	v, err := n.cfg.Store.Get(ctx, n.jobKey(b.name))
	if err != nil {
		n.cfg.Log.Debug("job bucket could not be read from the store", "Bucket", b.name, "Err", err)
		return false
	}
	var stored ccjob.Bucket
	if err := ccstore.Decode(v, &stored); err != nil {
		n.cfg.Log.Error("job bucket in the store can't be decoded", "Bucket", b.name, "Err", err)
		return false
	}
	return n.do(func() { b.driver.Load(&stored, n.now()) }) == nil
}

// runRound runs one round of a driver: it collects the reports of the processes of the region, persists the completions
// that the reports show, and starts tasks.
func (n *Node) runRound(ctx context.Context, b *bucket) {
	active := false
	err := n.do(func() {
		_, err := n.state.shards.Authority(b.name, n.now())
		active = err == nil && b.driver.Active()
		b.inRound = active
	})
	if err != nil || !active {
		return
	}
	defer func() { _ = n.do(func() { b.inRound = false }) }()
	n.collectReports(ctx, b)
	n.persistCompletions(ctx, b)
	n.placeOrders(ctx, b)
}

// reportCall is a request for the report of one process, which may own worker shards.
type reportCall struct {
	owner ccmember.Member
	in    *ccpeer.ReportRequest
	sent  ccclock.Millis
}

// collectReports requests the reports of all living processes of the region in parallel. The driver then requeues the
// tasks that, by these reports, do not run anywhere.
func (n *Node) collectReports(ctx context.Context, b *bucket) {
	var calls []reportCall
	_ = n.do(func() { calls = n.reportCalls(b) })
	done := make(chan struct{}, len(calls))
	for _, call := range calls {
		go func() {
			n.requestReport(ctx, b, call)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	_ = n.do(func() {
		lost := b.driver.ReclaimLost(n.workerShards(), n.now())
		if lost > 0 {
			n.cfg.Log.Warn("tasks were lost with their workers and will be restarted", "Bucket", b.name, "Tasks", lost)
		}
	})
}

// reportCalls builds the report requests of one round. It must run in the control loop.
func (n *Node) reportCalls(b *bucket) []reportCall {
	now := n.now()
	b.seq++
	stop, forget := b.driver.TakeStops(), b.driver.TakeForget()
	var calls []reportCall
	for _, m := range n.livingMembers(now) {
		if m.Region != n.cfg.Region {
			continue
		}
		in := &ccpeer.ReportRequest{
			Sender: b.sender(), Stop: stop, Forget: forget, Release: b.release[m.ID],
		}
		delete(b.release, m.ID)
		calls = append(calls, reportCall{owner: m, in: in, sent: now})
	}
	return calls
}

// sender identifies the driver and its round in a message.
func (b *bucket) sender() ccledger.Sender {
	return ccledger.Sender{Bucket: b.name, Epoch: b.epoch, Seq: b.seq}
}

// requestReport requests the report of one process and passes it to the driver.
func (n *Node) requestReport(ctx context.Context, b *bucket, call reportCall) {
	var reply *ccpeer.ReportReply
	var err error
	if call.owner.ID == n.id {
		reply, err = n.Report(ctx, call.in)
	} else {
		reply, err = n.cfg.Peers.Report(ctx, call.owner.Address, call.in)
	}
	if err != nil {
		n.cfg.Log.Debug("no report received", "Bucket", b.name, "Owner", call.owner.ID, "Err", err)
		return
	}
	_ = n.do(func() {
		n.state.members.UpdateDigest(call.owner.ID, reply.Digest)
		b.driver.Observe(reply.Report(), call.sent, n.now())
	})
}

// persistCompletions writes the completions of tasks and jobs to the store. If that fails, it returns them to the
// driver for the next round.
func (n *Node) persistCompletions(ctx context.Context, b *bucket) {
	var completions []ccjob.Completion
	_ = n.do(func() { completions = b.driver.TakeCompletions() })
	if len(completions) == 0 {
		return
	}
	at := time.Now().UnixMilli()
	retention := n.cfg.Limits.RetentionHours * int64(time.Hour/time.Millisecond)
	var updated ccjob.Bucket
	err := n.jobs.Do(ctx, n.jobKey(b.name), func(stored *ccjob.Bucket) error {
		stored.RecordCompletions(completions, at)
		stored.Prune(at - retention)
		updated = ccjob.Bucket{Jobs: maps.Clone(stored.Jobs)}
		return nil
	})
	_ = n.do(func() {
		if err != nil {
			n.cfg.Log.Warn("completions could not be written to the store", "Bucket", b.name, "Tasks", len(completions), "Err", err)
			b.driver.ReturnCompletions(completions)
			return
		}
		b.driver.CompletionsPersisted(completions)
		b.driver.Load(&updated, n.now())
	})
}

// Report implements ccpeer.Handler: it returns which worker shards are ready here and which tasks of a bucket run on
// them, and queues the driver's orders.
func (n *Node) Report(_ context.Context, in *ccpeer.ReportRequest) (*ccpeer.ReportReply, error) {
	out := &ccpeer.ReportReply{}
	err := n.do(func() {
		now := n.now()
		// The sender uses the load even when its message is refused as outdated.
		out.Digest = n.digest(now)
		if !n.state.orderGate.AdvanceFence(in.Sender) {
			return
		}
		for _, task := range in.Release {
			n.state.orderGate.ReleaseHold(task)
		}
		n.queueOrders(in.Stop, in.Forget)
		out.Ready = n.readyShards(now)
		out.Tasks = n.bucketClaims(in.Bucket)
	})
	return out, err
}

// queueOrders queues a driver's orders for the next sync with the workers that hold the tasks. It must run in the
// control loop.
func (n *Node) queueOrders(stop, forget []string) {
	for _, task := range stop {
		if c := n.state.pool.Claim(task); c != nil {
			s := n.syncStateOf(c.Worker)
			s.stop = appendUnique(s.stop, task)
		}
	}
	for _, task := range forget {
		if c := n.state.pool.Claim(task); c != nil {
			s := n.syncStateOf(c.Worker)
			s.forget = appendUnique(s.forget, task)
		}
	}
}

// appendUnique appends s to a list unless the list contains it.
func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

// readyShards returns the worker shards for which this process has authority and knows all running tasks. It must run
// in the control loop.
func (n *Node) readyShards(now ccclock.Millis) []string {
	var out []string
	for _, name := range n.workerShards() {
		if _, err := n.state.shards.Authority(name, now); err == nil && n.state.pool.ShardReady(name, now) {
			out = append(out, name)
		}
	}
	return out
}

// NotifyBucketChanged implements ccpeer.Handler: it makes the driver of a bucket reload the bucket from the store.
func (n *Node) NotifyBucketChanged(_ context.Context, in *ccpeer.BucketChanged) (*ccpeer.BucketChanged, error) {
	err := n.post(func() { n.wakeDriver(in.Bucket) })
	return in, err
}

// wakeDriver makes the driver of a bucket reload the bucket, if the driver runs on this process. It must run in the
// control loop.
func (n *Node) wakeDriver(name string) {
	b := n.state.buckets[name]
	if b == nil {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}
