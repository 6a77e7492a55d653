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

// Prefixes of the names of shards.
const (
	rackPrefix   = "rack:"
	bucketPrefix = "jobs:"
)

// shardKey is the key of the store that holds the shards of this process's region.
func (n *Node) shardKey() string {
	return "Shards/" + n.cfg.Region
}

// onShardTable takes in a version of the shard table.
func (n *Node) onShardTable(v ccstore.Value, sent ccclock.Millis) {
	_ = n.post(func() { n.applyShardTable(v, sent) })
}

// applyShardTable takes in a version of the shard table. It belongs to the control loop.
func (n *Node) applyShardTable(v ccstore.Value, sent ccclock.Millis) {
	t := ccshard.Table{Version: v.Version}
	err := ccstore.Decode(v, &t)
	if err == nil {
		err = t.Check()
	}
	if err != nil {
		n.cfg.Log.Error("shard table can't be used", "Err", err)
		return
	}
	n.state.shards.Observe(t, sent, n.now())
	if t.Version >= n.state.shardTable.Version {
		n.state.shardTable = t
	}
}

// updateShards plans and writes changes of ownership, and follows them with the ledger. It belongs
// to the control loop.
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

// planInput is what a plan rests on.
func (n *Node) planInput(now ccclock.Millis) ccshard.View {
	return ccshard.View{
		Shards:     n.allShards(),
		Candidates: n.candidates(now),
		Dead:       func(id string) bool { return n.provenStopped(id, now) },
		Busy:       func(shard string) bool { return n.busy(shard, now) },
		Draining:   n.state.draining,
	}
}

// candidates returns the living processes of the region, this one included.
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

// vmLeaving reports whether the VM list calls a VM leaving.
func (n *Node) vmLeaving(id string) bool {
	return slices.ContainsFunc(n.state.vmList, func(vm ccvmlist.VM) bool { return vm.ID == id && vm.Leaving })
}

// provenStopped reports evidence that a process no longer exists: a newer one holds its VM's address, or the
// VM has been off the list for longer than the list lags.
func (n *Node) provenStopped(id string, now ccclock.Millis) bool {
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

// busy reports whether something of this process would outlast the hand-over of a shard.
func (n *Node) busy(shard string, now ccclock.Millis) bool {
	if b := n.state.buckets[shard]; b != nil {
		return b.inRound
	}
	return n.state.pool.StartPending(shard, now)
}

// rack is a shard of workers as the VM list shows it.
type rack struct {
	name    string
	workers []ccvmlist.VM
}

// racksOf groups the workers of a region into shards, ordered by name.
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

// workerShards returns the names of the shards of workers in the region. It belongs to the control loop.
func (n *Node) workerShards() []string {
	out := make([]string, len(n.state.racks))
	for i := range n.state.racks {
		out[i] = n.state.racks[i].name
	}
	return out
}

// allShards returns every shard of the region.
func (n *Node) allShards() []string {
	out := n.workerShards()
	for i := range n.cfg.Limits.JobBuckets {
		out = append(out, bucketName(i))
	}
	return out
}

// bucketName names a bucket of jobs as a shard.
func bucketName(i int) string {
	return fmt.Sprintf("%s%02d", bucketPrefix, i)
}

// updateWorkers adds the workers of shards that this process may act for to the ledger, opens and
// closes them as the authority goes, and removes those of shards that another process owns. It
// belongs to the control loop.
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

// openShard lets the workers of a shard get tasks.
func (n *Node) openShard(ctx context.Context, r *rack, now ccclock.Millis) {
	if n.state.openShards[r.name] && !n.state.vmListChanged {
		return
	}
	for i := range r.workers {
		n.state.pool.Add(r.workers[i].LedgerWorker(), r.name, now)
	}
	n.state.pool.SetAuthority(r.name, true)
	n.state.openShards[r.name] = true
	// Nothing starts before the task tables were read: that must not wait for the next interval.
	for i := range r.workers {
		if w, ok := n.state.pool.Worker(r.workers[i].ID); ok && !w.Ready {
			n.syncIfDue(ctx, w, now)
		}
	}
}

// closeShard keeps the workers of a shard from getting tasks, and forgets them when another process
// owns the shard.
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

// removeUnlistedWorkers forgets workers that the platform no longer lists, once nothing of theirs can run.
// It belongs to the control loop.
func (n *Node) removeUnlistedWorkers(now ccclock.Millis) {
	for _, w := range n.state.pool.Workers() {
		unlisted := now > n.state.lastListedAt[w.ID]+ccclock.Millis(n.cfg.Timing.VMListLagMs)
		if w.Unreachable && w.Tasks == 0 && unlisted {
			n.removeWorker(w.ID)
		}
	}
}

// removeWorker forgets a worker.
func (n *Node) removeWorker(id string) {
	n.state.pool.Remove(id)
	n.cfg.Workers.Forget(id)
	delete(n.state.syncStates, id)
}

// writeShards writes changes of ownership. It belongs to the control loop and does not block.
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

// onShardsWritten takes in the end of a write. It belongs to the control loop.
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
	n.cfg.Log.Debug("shard records not written", "Err", err)
	n.readShards(ctx)
}

// storeBackoff spaces the calls for the shard table while the store fails.
var storeBackoff = ccretry.Backoff{Base: 100, Max: 1_000}

// readShards reads the shard table. It belongs to the control loop and does not block.
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

// readVMList reads the VM list.
func (n *Node) readVMList(ctx context.Context) {
	l, err := n.cfg.VMs.Read(ctx)
	if err != nil {
		n.cfg.Log.Debug("VM list not read", "Err", err)
		return
	}
	_ = n.post(func() { n.applyVMList(l) })
}

// applyVMList takes in a VM list. It belongs to the control loop.
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
	// A VM that a record names but that was never listed counts as listed until now.
	for _, rec := range n.state.shardTable.Records {
		for _, id := range []string{rec.Owner, rec.Successor} {
			if vm, _, ok := ccmember.ParseID(id); ok && n.state.lastListedAt[vm] == 0 {
				n.state.lastListedAt[vm] = now
			}
		}
	}
	n.removeUnlistedWorkers(now)
}
