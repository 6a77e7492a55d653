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

// observeShards takes in a version of the shard table.
func (n *Node) observeShards(v ccstore.Value, sent ccclock.Millis) {
	_ = n.post(func() { n.takeShards(v, sent) })
}

// takeShards takes in a version of the shard table. It belongs to the control loop.
func (n *Node) takeShards(v ccstore.Value, sent ccclock.Millis) {
	t := ccshard.Table{Version: v.Version}
	err := ccstore.Decode(v, &t)
	if err == nil {
		err = t.Check()
	}
	if err != nil {
		n.cfg.Log.Error("shard table can't be used", "Err", err)
		return
	}
	n.c.keeper.Observe(t, sent, n.now())
	if t.Version >= n.c.table.Version {
		n.c.table = t
	}
}

// tendShards plans and writes changes of ownership, and follows them with the ledger. It belongs
// to the control loop.
func (n *Node) tendShards(ctx context.Context, now ccclock.Millis) {
	n.followAuthority(ctx, now)
	if n.c.writing || !n.c.vmsRead || now < n.c.storeNotBefore {
		return
	}
	changes := n.c.keeper.Plan(n.view(now), now)
	if len(changes) > 0 {
		n.writeShards(ctx, changes)
		return
	}
	if n.c.keeper.NeedsRead(now) {
		n.readShards(ctx)
	}
}

// view is what a plan rests on.
func (n *Node) view(now ccclock.Millis) ccshard.View {
	return ccshard.View{
		Shards:     n.wantedShards(),
		Candidates: n.candidates(now),
		Dead:       func(id string) bool { return n.gone(id, now) },
		Busy:       func(shard string) bool { return n.busy(shard, now) },
		Draining:   n.c.draining,
	}
}

// candidates returns the living processes of the region, this one included.
func (n *Node) candidates(now ccclock.Millis) []ccshard.Candidate {
	out := []ccshard.Candidate{{ID: n.id, FailureDomain: n.cfg.FailureDomain, Leaving: n.c.draining}}
	for _, m := range n.c.members.Alive(now) {
		if m.Region != n.cfg.Region {
			continue
		}
		out = append(out, ccshard.Candidate{ID: m.ID, FailureDomain: m.FailureDomain, Leaving: m.Digest.Leaving || n.vmLeaving(m.VM)})
	}
	return out
}

// vmLeaving reports whether the VM list calls a VM leaving.
func (n *Node) vmLeaving(id string) bool {
	return slices.ContainsFunc(n.c.vms, func(vm ccvmlist.VM) bool { return vm.ID == id && vm.Leaving })
}

// gone reports evidence that a process no longer exists: a newer one holds its VM's address, or the
// VM has been off the list for longer than the list lags.
func (n *Node) gone(id string, now ccclock.Millis) bool {
	if n.c.members.Superseded(id) {
		return true
	}
	vm, _, ok := ccmember.ParseID(id)
	if !ok {
		return false
	}
	listed, known := n.c.listedAt[vm]
	return known && now > listed+ccclock.Millis(n.cfg.Timing.VMListLagMs)
}

// busy reports whether something of this process would outlast the hand-over of a shard.
func (n *Node) busy(shard string, now ccclock.Millis) bool {
	if b := n.c.drivers[shard]; b != nil {
		return b.inRound
	}
	return n.c.pool.StartPending(shard, now)
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

// rackShards returns the names of the shards of workers in the region. It belongs to the control loop.
func (n *Node) rackShards() []string {
	out := make([]string, len(n.c.racks))
	for i := range n.c.racks {
		out[i] = n.c.racks[i].name
	}
	return out
}

// wantedShards returns every shard of the region.
func (n *Node) wantedShards() []string {
	out := n.rackShards()
	for i := range n.cfg.Limits.JobBuckets {
		out = append(out, bucketName(i))
	}
	return out
}

// bucketName names a bucket of jobs as a shard.
func bucketName(i int) string {
	return fmt.Sprintf("%s%02d", bucketPrefix, i)
}

// followAuthority adds the workers of shards that this process may act for to the ledger, opens and
// closes them as the authority goes, and removes those of shards that another process owns. It
// belongs to the control loop.
func (n *Node) followAuthority(ctx context.Context, now ccclock.Millis) {
	for i := range n.c.racks {
		r := &n.c.racks[i]
		_, err := n.c.keeper.Authority(r.name, now)
		switch {
		case err == nil:
			n.openRack(ctx, r, now)
		case errors.Is(err, ccshard.ErrNotOwner):
			n.closeRack(r.name, true)
		default:
			n.closeRack(r.name, false)
		}
	}
	n.c.vmsChanged = false
}

// openRack lets the workers of a shard get tasks.
func (n *Node) openRack(ctx context.Context, r *rack, now ccclock.Millis) {
	if n.c.opened[r.name] && !n.c.vmsChanged {
		return
	}
	for i := range r.workers {
		n.c.pool.Add(r.workers[i].LedgerWorker(), r.name, now)
	}
	n.c.pool.SetAuthority(r.name, true)
	n.c.opened[r.name] = true
	// Nothing starts before the task tables were read: that must not wait for the next interval.
	for i := range r.workers {
		if w, ok := n.c.pool.Worker(r.workers[i].ID); ok && !w.Ready {
			n.tendWorker(ctx, w, now)
		}
	}
}

// closeRack keeps the workers of a shard from getting tasks, and forgets them when another process
// owns the shard.
func (n *Node) closeRack(name string, lost bool) {
	if n.c.opened[name] {
		n.c.pool.SetAuthority(name, false)
		delete(n.c.opened, name)
	}
	if !lost {
		return
	}
	for _, id := range n.c.pool.WorkersOf(name) {
		n.removeWorker(id)
	}
}

// dropGoneWorkers forgets workers that the platform no longer lists, once nothing of theirs can run.
// It belongs to the control loop.
func (n *Node) dropGoneWorkers(now ccclock.Millis) {
	for _, w := range n.c.pool.Workers() {
		gone := now > n.c.listedAt[w.ID]+ccclock.Millis(n.cfg.Timing.VMListLagMs)
		if w.Unreachable && w.Tasks == 0 && gone {
			n.removeWorker(w.ID)
		}
	}
}

// removeWorker forgets a worker.
func (n *Node) removeWorker(id string) {
	n.c.pool.Remove(id)
	n.cfg.Workers.Forget(id)
	delete(n.c.contacts, id)
}

// writeShards writes changes of ownership. It belongs to the control loop and does not block.
func (n *Node) writeShards(ctx context.Context, changes []ccshard.Change) {
	next := n.c.table.Apply(changes)
	data, err := json.Marshal(&next)
	if err != nil {
		n.cfg.Log.Error("shard table can't be encoded", "Err", err)
		return
	}
	n.c.writing = true
	sent := n.now()
	go func() {
		version, err := n.cfg.Store.Put(ctx, n.shardKey(), ccstore.Value{Version: next.Version, Data: data})
		_ = n.post(func() { n.wroteShards(ctx, ccstore.Value{Version: version, Data: data}, sent, changes, err) })
	}()
}

// wroteShards takes in the end of a write. It belongs to the control loop.
func (n *Node) wroteShards(ctx context.Context, v ccstore.Value, sent ccclock.Millis, changes []ccshard.Change, err error) {
	n.c.writing = false
	switch {
	case err == nil:
		for _, c := range changes {
			n.cfg.Log.Info("shard record written", "Shard", c.Shard, "Owner", c.Record.Owner, "Heir", c.Record.Successor, "Epoch", c.Record.Epoch)
		}
		n.takeShards(v, sent)
		return
	case errors.Is(err, ccstore.ErrInDoubt):
		n.c.keeper.WriteInDoubt()
	case !errors.Is(err, ccstore.ErrConflict):
		n.c.keeper.WriteFailed()
	}
	n.cfg.Log.Debug("shard records not written", "Err", err)
	n.readShards(ctx)
}

// storeRetry spaces the calls for the shard table while the store fails.
var storeRetry = ccretry.Backoff{Base: 100, Max: 1_000}

// readShards reads the shard table. It belongs to the control loop and does not block.
func (n *Node) readShards(ctx context.Context) {
	n.c.writing = true
	sent := n.now()
	go func() {
		v, err := n.cfg.Store.Get(ctx, n.shardKey())
		_ = n.post(func() {
			n.c.writing = false
			if err != nil {
				n.c.storeFailures++
				n.c.storeNotBefore = n.now() + storeRetry.Delay(n.c.storeFailures, n.c.rand)
				return
			}
			n.c.storeFailures = 0
			n.takeShards(v, sent)
		})
	}()
}

// readVMs reads the VM list.
func (n *Node) readVMs(ctx context.Context) {
	l, err := n.cfg.VMs.Read(ctx)
	if err != nil {
		n.cfg.Log.Debug("VM list not read", "Err", err)
		return
	}
	_ = n.post(func() { n.takeVMs(l) })
}

// takeVMs takes in a VM list. It belongs to the control loop.
func (n *Node) takeVMs(l ccvmlist.List) {
	now := n.now()
	if !n.c.vmsRead || !slices.Equal(n.c.vms, l.VMs) {
		n.c.vms = l.VMs
		n.c.racks = racksOf(l.VMs, n.cfg.Region)
		n.c.vmsChanged = true
	}
	n.c.vmsRead = true
	for _, vm := range l.VMs {
		n.c.listedAt[vm.ID] = now
	}
	// A VM that a record names but that was never listed counts as listed until now.
	for _, rec := range n.c.table.Records {
		for _, id := range []string{rec.Owner, rec.Successor} {
			if vm, _, ok := ccmember.ParseID(id); ok && n.c.listedAt[vm] == 0 {
				n.c.listedAt[vm] = now
			}
		}
	}
	n.dropGoneWorkers(now)
}
