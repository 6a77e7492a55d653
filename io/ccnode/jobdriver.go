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

// bucket is a bucket of jobs that this process drives.
type bucket struct {
	name    string
	epoch   uint64
	seq     uint64
	driver  *ccjob.Driver
	cancel  context.CancelFunc
	poke    chan struct{}
	inRound bool
	// release are reservations to give back, by owner.
	release map[string][]string
}

// jobKey is the key of the store that holds the jobs of a bucket.
func (n *Node) jobKey(name string) string {
	return "Jobs/" + n.cfg.Region + "/" + strings.TrimPrefix(name, bucketPrefix)
}

// bucketOf returns the name of a job's bucket.
func (n *Node) bucketOf(key string) string {
	return bucketName(ccwork.Bucket(key, n.cfg.Limits.JobBuckets))
}

// tendBuckets starts a driver for each bucket that this process came to own, and ends those of
// buckets that it lost. It belongs to the control loop.
func (n *Node) tendBuckets(ctx context.Context, now ccclock.Millis) {
	for i := range n.cfg.Limits.JobBuckets {
		name := bucketName(i)
		a, err := n.c.keeper.Authority(name, now)
		b := n.c.drivers[name]
		if b != nil && (errors.Is(err, ccshard.ErrNotOwner) || err == nil && a.Epoch != b.epoch && !n.keptEpoch(b, a.Epoch)) {
			b.cancel()
			delete(n.c.drivers, name)
			b = nil
		}
		if b == nil && err == nil {
			n.startDriver(ctx, name, a.Epoch)
		}
	}
}

// keptEpoch lets a driver live on through a change of heir, which leaves the owner as it is.
func (n *Node) keptEpoch(b *bucket, epoch uint64) bool {
	if epoch != b.epoch+1 {
		return false
	}
	b.epoch = epoch
	return true
}

// startDriver starts the driver of a bucket. It belongs to the control loop.
func (n *Node) startDriver(ctx context.Context, name string, epoch uint64) {
	ctx, cancel := context.WithCancel(ctx)
	b := &bucket{
		name: name, epoch: epoch, driver: ccjob.NewDriver(epoch), cancel: cancel,
		poke: make(chan struct{}, 1), release: map[string][]string{},
	}
	n.c.drivers[name] = b
	n.cfg.Log.Info("driving jobs", "Bucket", name, "Epoch", epoch)
	n.wg.Go(func() { n.drive(ctx, b) })
}

// drive works on the jobs of a bucket until ctx ends.
func (n *Node) drive(ctx context.Context, b *bucket) {
	round := time.Duration(n.cfg.Timing.JobRoundMs) * time.Millisecond
	reload := ccclock.Millis(n.cfg.Timing.JobReloadMs)
	var loadedAt ccclock.Millis
	for ctx.Err() == nil {
		poked := false
		select {
		case <-ctx.Done():
			return
		case <-b.poke:
			poked = true
		case <-time.After(round):
		}
		if poked || loadedAt == 0 || n.now() > loadedAt+reload {
			if !n.loadBucket(ctx, b) {
				continue
			}
			loadedAt = n.now()
		}
		n.round(ctx, b)
	}
}

// loadBucket reads the jobs of a bucket from the store.
func (n *Node) loadBucket(ctx context.Context, b *bucket) bool {
	v, err := n.cfg.Store.Get(ctx, n.jobKey(b.name))
	if err != nil {
		n.cfg.Log.Debug("jobs not read", "Bucket", b.name, "Err", err)
		return false
	}
	var book ccjob.Bucket
	if err := ccstore.Decode(v, &book); err != nil {
		n.cfg.Log.Error("jobs can't be used", "Bucket", b.name, "Err", err)
		return false
	}
	return n.do(func() { b.driver.Load(&book, n.now()) }) == nil
}

// round asks every owner for its report, and then starts, stops and records what follows from it.
func (n *Node) round(ctx context.Context, b *bucket) {
	active := false
	err := n.do(func() {
		_, err := n.c.keeper.Authority(b.name, n.now())
		active = err == nil && b.driver.Active()
		b.inRound = active
	})
	if err != nil || !active {
		return
	}
	defer func() { _ = n.do(func() { b.inRound = false }) }()
	n.gatherReports(ctx, b)
	n.recordEndings(ctx, b)
	n.placeOrders(ctx, b)
}

// reportCall is one report asked of one owner.
type reportCall struct {
	owner ccmember.Member
	in    *ccpeer.ReportRequest
	sent  ccclock.Millis
}

// gatherReports asks all owners of the region for their reports at once, and settles what the
// reports prove.
func (n *Node) gatherReports(ctx context.Context, b *bucket) {
	var calls []reportCall
	_ = n.do(func() { calls = n.reportCalls(b) })
	done := make(chan struct{}, len(calls))
	for _, call := range calls {
		go func() {
			n.report(ctx, b, call)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	_ = n.do(func() {
		lost := b.driver.ReclaimLost(n.rackShards(), n.now())
		if lost > 0 {
			n.cfg.Log.Warn("tasks were lost with their workers and start again", "Bucket", b.name, "Tasks", lost)
		}
	})
}

// reportCalls builds the calls of one round. It belongs to the control loop.
func (n *Node) reportCalls(b *bucket) []reportCall {
	now := n.now()
	b.seq++
	stop, forget := b.driver.TakeStops(), b.driver.TakeForget()
	var calls []reportCall
	for _, m := range n.owners(now) {
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

// sender names the driver in a message.
func (b *bucket) sender() ccledger.Sender {
	return ccledger.Sender{Bucket: b.name, Epoch: b.epoch, Seq: b.seq}
}

// report asks one owner for its report.
func (n *Node) report(ctx context.Context, b *bucket, call reportCall) {
	var reply *ccpeer.ReportReply
	var err error
	if call.owner.ID == n.id {
		reply, err = n.Report(ctx, call.in)
	} else {
		reply, err = n.cfg.Peers.Report(ctx, call.owner.Address, call.in)
	}
	if err != nil {
		n.cfg.Log.Debug("no report", "Bucket", b.name, "Owner", call.owner.ID, "Err", err)
		return
	}
	_ = n.do(func() {
		n.c.members.UpdateDigest(call.owner.ID, reply.Digest)
		b.driver.Observe(reply.Report(), call.sent, n.now())
	})
}

// recordEndings writes the endings of tasks and jobs to the store.
func (n *Node) recordEndings(ctx context.Context, b *bucket) {
	var endings []ccjob.Completion
	_ = n.do(func() { endings = b.driver.TakeCompletions() })
	if len(endings) == 0 {
		return
	}
	at := time.Now().UnixMilli()
	retention := n.cfg.Limits.RetentionHours * int64(time.Hour/time.Millisecond)
	var book ccjob.Bucket
	err := n.jobs.Do(ctx, n.jobKey(b.name), func(stored *ccjob.Bucket) error {
		stored.RecordCompletions(endings, at)
		stored.Prune(at - retention)
		book = ccjob.Bucket{Jobs: maps.Clone(stored.Jobs)}
		return nil
	})
	_ = n.do(func() {
		if err != nil {
			n.cfg.Log.Warn("endings not recorded", "Bucket", b.name, "Tasks", len(endings), "Err", err)
			b.driver.ReturnCompletions(endings)
			return
		}
		b.driver.CompletionsPersisted(endings)
		b.driver.Load(&book, n.now())
	})
}

// Report implements ccpeer.Handler: it tells the driver of a bucket which shards are ready here
// and which of its tasks they hold.
func (n *Node) Report(_ context.Context, in *ccpeer.ReportRequest) (*ccpeer.ReportReply, error) {
	out := &ccpeer.ReportReply{}
	err := n.do(func() {
		now := n.now()
		// The asker takes the load in also when its orders are refused.
		out.Digest = n.digest(now)
		if !n.c.desk.AdvanceFence(in.Sender) {
			return
		}
		for _, task := range in.Release {
			n.c.desk.ReleaseHold(task)
		}
		n.passOn(in.Stop, in.Forget)
		out.Ready = n.readyShards(now)
		out.Tasks = n.tasksOf(in.Bucket)
	})
	return out, err
}

// passOn adds a driver's orders to the contacts of the workers that hold the tasks. It belongs to the
// control loop.
func (n *Node) passOn(stop, forget []string) {
	for _, task := range stop {
		if c := n.c.pool.Claim(task); c != nil {
			k := n.contactOf(c.Worker)
			k.stop = appendNew(k.stop, task)
		}
	}
	for _, task := range forget {
		if c := n.c.pool.Claim(task); c != nil {
			k := n.contactOf(c.Worker)
			k.forget = appendNew(k.forget, task)
		}
	}
}

// appendNew adds a text to a list that does not have it.
func appendNew(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

// readyShards returns the shards whose tasks this process knows all of. It belongs to the control loop.
func (n *Node) readyShards(now ccclock.Millis) []string {
	var out []string
	for _, name := range n.rackShards() {
		if _, err := n.c.keeper.Authority(name, now); err == nil && n.c.pool.ShardReady(name, now) {
			out = append(out, name)
		}
	}
	return out
}

// NotifyBucketChanged implements ccpeer.Handler: it makes the driver of a bucket read it again.
func (n *Node) NotifyBucketChanged(_ context.Context, in *ccpeer.BucketChanged) (*ccpeer.BucketChanged, error) {
	err := n.post(func() { n.pokeHere(in.Bucket) })
	return in, err
}

// pokeHere wakes the driver of a bucket, if it runs here. It belongs to the control loop.
func (n *Node) pokeHere(name string) {
	b := n.c.drivers[name]
	if b == nil {
		return
	}
	select {
	case b.poke <- struct{}{}:
	default:
	}
}
