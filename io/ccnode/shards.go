package ccnode

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccretry"
	"coriandercross/core/ccshard"
	"coriandercross/io/ccstore"
	"coriandercross/io/ccvmlist"
	"coriandercross/io/ccworker"

	"github.com/cockroachdb/errors"
)

// Prefixes of shard names: a shard is either the workers of one rack or a job bucket.
const (
	rackPrefix   = "rack:"
	bucketPrefix = "jobs:"
)

// shardKey returns the store key of the shard table of this process's region.
func (n *Node) shardKey() string {
	return "Shards/" + n.cfg.Region
}

// onShardTable is called with each new version of the shard table in the store. sent is when the call that returned it
// was sent.
func (n *Node) onShardTable(v ccstore.Value, sent ccclock.Millis) {
	_ = n.post(func() { n.applyShardTable(v, sent) })
}

// applyShardTable applies a version of the shard table that was requested at sent. It must run in the control loop.
func (n *Node) applyShardTable(v ccstore.Value, sent ccclock.Millis) {
	t := ccshard.Table{Version: v.Version}
	err := ccstore.Decode(v, &t)
	if err == nil {
		err = t.Check()
	}
	if err != nil {
		n.cfg.Log.Error("shard table in the store is malformed", "Err", err)
		return
	}
	n.state.shards.Observe(t, sent, n.now())
	if t.Version >= n.state.shardTable.Version {
		n.state.shardTable = t
	}
}

// updateShards does one step of shard ownership: it updates the ledger to match this process's authority, then plans
// and writes changes of ownership, or else reads the shard table if that is due. It must run in the control loop.
func (n *Node) updateShards(ctx context.Context, now ccclock.Millis) {
	n.updateWorkers(ctx, now)
	if n.state.storeCallInFlight || !n.state.vmListRead || now < n.state.nextStoreCallAt {
		return
	}
	changes := n.state.shards.Plan(n.planInput(now), now)
	if len(changes) > 0 {
		n.writeShards(ctx, changes)
		return
	}
	if n.state.shards.NeedsRead(now) {
		n.readShards(ctx)
	}
}

// planInput returns the input for planning changes of ownership.
func (n *Node) planInput(now ccclock.Millis) ccshard.PlanInput {
	return ccshard.PlanInput{
		Shards:     n.allShards(),
		Candidates: n.candidates(now),
		Dead:       func(id string) bool { return n.provenDead(id, now) },
		Busy:       func(shard string) bool { return n.busy(shard, now) },
		Draining:   n.state.draining,
	}
}

// candidates returns the living processes of the region, including this one, as possible owners of shards.
func (n *Node) candidates(now ccclock.Millis) []ccshard.Candidate {
	out := []ccshard.Candidate{{ID: n.id, FailureDomain: n.cfg.FailureDomain, Leaving: n.state.draining}}
	for _, m := range n.state.members.Alive(now) {
		if m.Region != n.cfg.Region {
			continue
		}
		out = append(out, ccshard.Candidate{ID: m.ID, FailureDomain: m.FailureDomain, Leaving: m.Digest.Leaving || n.vmLeaving(m.VM)})
	}
	return out
}

// vmLeaving reports whether the platform has planned the stop of a VM, according to the VM list.
func (n *Node) vmLeaving(id string) bool {
	return slices.ContainsFunc(n.state.vmList, func(vm ccvmlist.VM) bool { return vm.ID == id && vm.Leaving })
}

// provenDead reports whether there is evidence that a process no longer exists: a newer process has the address of its
// VM, or the VM has been off the VM list for longer than the list can lag.
func (n *Node) provenDead(id string, now ccclock.Millis) bool {
	if n.state.members.Superseded(id) {
		return true
	}
	vm, _, ok := ccmember.ParseID(id)
	if !ok {
		return false
	}
	listed, known := n.state.lastListedAt[vm]
	return known && now > listed+ccclock.Millis(n.cfg.Timing.VMListLagMs)
}

// busy reports whether this process has work in progress on a shard that could outlast a handover of the shard.
func (n *Node) busy(shard string, now ccclock.Millis) bool {
	if b := n.state.buckets[shard]; b != nil {
		return b.inRound
	}
	return n.state.pool.StartPending(shard, now)
}

// rack is a worker shard: the workers of one rack, according to the VM list.
type rack struct {
	name    string
	workers []ccvmlist.VM
}

// racksOf groups the workers of a region into racks, sorted by shard name. The connections that are set aside for syncs
// are subtracted from the capacity of each worker.
func racksOf(vms []ccvmlist.VM, region string) []rack {
	byName := map[string]*rack{}
	for _, vm := range vms {
		if vm.Role != ccvmlist.Worker || vm.Region != region {
			continue
		}
		name := rackPrefix + vm.FailureDomain + "/" + vm.Rack
		if byName[name] == nil {
			byName[name] = &rack{name: name}
		}
		vm.Capacity.Connections = ccworker.UsableConnections(vm.Capacity.Connections)
		byName[name].workers = append(byName[name].workers, vm)
	}
	out := make([]rack, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

// workerShards returns the names of the worker shards of the region. It must run in the control loop.
func (n *Node) workerShards() []string {
	out := make([]string, len(n.state.racks))
	for i := range n.state.racks {
		out[i] = n.state.racks[i].name
	}
	return out
}

// allShards returns the names of all shards of the region.
func (n *Node) allShards() []string {
	out := n.workerShards()
	for i := range n.cfg.Limits.JobBuckets {
		out = append(out, bucketName(i))
	}
	return out
}

// bucketName returns the shard name of job bucket i.
func bucketName(i int) string {
	return fmt.Sprintf("%s%02d", bucketPrefix, i)
}

// updateWorkers updates the ledger to match this process's authority over worker shards. Workers of a shard that it has
// authority over are added and opened for placement. When the authority is interrupted they are closed, and when
// another process owns the shard they are removed. It must run in the control loop.
func (n *Node) updateWorkers(ctx context.Context, now ccclock.Millis) {
	for i := range n.state.racks {
		r := &n.state.racks[i]
		_, err := n.state.shards.Authority(r.name, now)
		switch {
		case err == nil:
			n.openShard(ctx, r, now)
		case errors.Is(err, ccshard.ErrNotOwner):
			n.closeShard(r.name, true)
		default:
			n.closeShard(r.name, false)
		}
	}
	n.state.vmListChanged = false
}

// openShard adds the workers of a shard to the ledger and opens them for placement.
func (n *Node) openShard(ctx context.Context, r *rack, now ccclock.Millis) {
	if n.state.openShards[r.name] && !n.state.vmListChanged {
		return
	}
	for i := range r.workers {
		n.state.pool.Add(r.workers[i].LedgerWorker(), r.name, now)
	}
	n.state.pool.SetAuthority(r.name, true)
	n.state.openShards[r.name] = true
	// No task may start on a worker until its task table has been read: sync at once, not at the next interval.
	for i := range r.workers {
		if w, ok := n.state.pool.Worker(r.workers[i].ID); ok && !w.Ready {
			n.syncIfDue(ctx, w, now)
		}
	}
}

// closeShard closes the workers of a shard for placement. If lost is true, because another process owns the shard, it
// also removes them from the ledger.
func (n *Node) closeShard(name string, lost bool) {
	if n.state.openShards[name] {
		n.state.pool.SetAuthority(name, false)
		delete(n.state.openShards, name)
	}
	if !lost {
		return
	}
	for _, id := range n.state.pool.WorkersOf(name) {
		n.removeWorker(id)
	}
}

// removeUnlistedWorkers removes workers that have been off the VM list for longer than the list can lag, are
// unreachable, and have no task that may still run. It must run in the control loop.
func (n *Node) removeUnlistedWorkers(now ccclock.Millis) {
	for _, w := range n.state.pool.Workers() {
		unlisted := now > n.state.lastListedAt[w.ID]+ccclock.Millis(n.cfg.Timing.VMListLagMs)
		if w.Unreachable && w.Tasks == 0 && unlisted {
			n.removeWorker(w.ID)
		}
	}
}

// removeWorker discards all state about a worker.
func (n *Node) removeWorker(id string) {
	n.state.pool.Remove(id)
	n.cfg.Workers.Forget(id)
	delete(n.state.syncStates, id)
}

// writeShards writes changes of ownership to the store. It must run in the control loop and does not block.
func (n *Node) writeShards(ctx context.Context, changes []ccshard.Change) {
	next := n.state.shardTable.Apply(changes)
	data, err := json.Marshal(&next)
	if err != nil {
		n.cfg.Log.Error("shard table can't be encoded", "Err", err)
		return
	}
	n.state.storeCallInFlight = true
	sent := n.now()
	go func() {
		version, err := n.cfg.Store.Put(ctx, n.shardKey(), ccstore.Value{Version: next.Version, Data: data})
		_ = n.post(func() { n.onShardsWritten(ctx, ccstore.Value{Version: version, Data: data}, sent, changes, err) })
	}()
}

// onShardsWritten handles the result of a write of the shard table. It must run in the control loop.
func (n *Node) onShardsWritten(ctx context.Context, v ccstore.Value, sent ccclock.Millis, changes []ccshard.Change, err error) {
	n.state.storeCallInFlight = false
	switch {
	case err == nil:
		for _, c := range changes {
			n.cfg.Log.Info("shard record written", "Shard", c.Shard, "Owner", c.Record.Owner, "Heir", c.Record.Successor, "Epoch", c.Record.Epoch)
		}
		n.applyShardTable(v, sent)
		return
	case errors.Is(err, ccstore.ErrInDoubt):
		n.state.shards.WriteInDoubt()
	case !errors.Is(err, ccstore.ErrConflict):
		n.state.shards.WriteFailed()
	}
	n.cfg.Log.Debug("shard table was not written", "Err", err)
	n.readShards(ctx)
}

// storeBackoff is the backoff of the calls for the shard table after failed reads, in milliseconds.
var storeBackoff = ccretry.Backoff{Base: 100, Max: 1_000}

// readShards reads the shard table from the store. It must run in the control loop and does not block.
func (n *Node) readShards(ctx context.Context) {
	n.state.storeCallInFlight = true
	sent := n.now()
	go func() {
		v, err := n.cfg.Store.Get(ctx, n.shardKey())
		_ = n.post(func() {
			n.state.storeCallInFlight = false
			if err != nil {
				n.state.storeFailures++
				n.state.nextStoreCallAt = n.now() + storeBackoff.Delay(n.state.storeFailures, n.state.rand)
				return
			}
			n.state.storeFailures = 0
			n.applyShardTable(v, sent)
		})
	}()
}

// readVMList reads the VM list and applies it in the control loop.
func (n *Node) readVMList(ctx context.Context) {
	l, err := n.cfg.VMs.Read(ctx)
	if err != nil {
		n.cfg.Log.Debug("VM list could not be read", "Err", err)
		return
	}
	_ = n.post(func() { n.applyVMList(l) })
}

// applyVMList applies a VM list that has just been read. It must run in the control loop.
func (n *Node) applyVMList(l ccvmlist.List) {
	now := n.now()
	if !n.state.vmListRead || !slices.Equal(n.state.vmList, l.VMs) {
		n.state.vmList = l.VMs
		n.state.racks = racksOf(l.VMs, n.cfg.Region)
		n.state.vmListChanged = true
	}
	n.state.vmListRead = true
	for _, vm := range l.VMs {
		n.state.lastListedAt[vm.ID] = now
	}
	// A VM that a shard record names but that has never been on the list counts as listed now. Its process is not
	// considered dead until the VM has been off the list for VMListLagMs.
	for _, rec := range n.state.shardTable.Records {
		for _, id := range []string{rec.Owner, rec.Successor} {
			if vm, _, ok := ccmember.ParseID(id); ok && n.state.lastListedAt[vm] == 0 {
				n.state.lastListedAt[vm] = now
			}
		}
	}
	n.removeUnlistedWorkers(now)
}
