package ccnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccjob"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccworker"

	"github.com/cockroachdb/errors"
)

const (
	// tasksPerRound bounds the number of tasks that a driver starts in one round, except for a gang, which is started
	// whole.
	tasksPerRound = 512
	// tasksPerCall bounds the number of tasks in one message.
	tasksPerCall = 128
	// reservationMs is how long an owner keeps a reservation for a task of a gang, in milliseconds.
	reservationMs = ccclock.Millis(3_000)
	// placeTimeout bounds the call that asks an owner to place tasks.
	placeTimeout = 4 * time.Second
)

// placeOrders starts the tasks that the driver of a bucket has chosen for this round.
func (n *Node) placeOrders(ctx context.Context, b *bucket) {
	var orders []ccjob.Order
	var owners []ccmember.Member
	_ = n.do(func() {
		now := n.now()
		if _, err := n.state.shards.Authority(b.name, now); err != nil {
			return
		}
		orders = b.driver.Next(tasksPerRound, now)
		owners = n.placementOwners(now)
	})
	for _, o := range orders {
		if o.Gang {
			n.placeGang(ctx, b, o, owners)
		} else {
			n.placeBatch(ctx, b, o, owners)
		}
	}
}

// placementOwners returns the owners of the region that accept work, the one with the most free slots first. It must
// run in the control loop.
func (n *Node) placementOwners(now ccclock.Millis) []ccmember.Member {
	owners := slices.DeleteFunc(n.livingMembers(now), func(m ccmember.Member) bool {
		return m.Region != n.cfg.Region || m.Digest.Leaving || m.Digest.Slots == 0
	})
	slices.SortStableFunc(owners, func(a, b ccmember.Member) int {
		return int(b.Digest.FreeSlots - a.Digest.FreeSlots)
	})
	return owners
}

// placeRequest builds the message that asks an owner to start tasks of an order, or only to reserve capacity for them.
func (b *bucket) placeRequest(o ccjob.Order, tasks []ccjob.OrderTask, reserve bool) *ccpeer.PlaceRequest {
	in := &ccpeer.PlaceRequest{
		Sender: b.sender(), Team: o.Job.Team, Kind: o.Job.Kind, Size: o.Job.Size,
		Long: o.Job.Long, Reserve: reserve,
	}
	for _, t := range tasks {
		in.Tasks = append(in.Tasks, ccpeer.PlaceTask{Task: t.ID, Payload: t.Payload, Avoid: t.Avoid})
	}
	return in
}

// placeBatch offers the tasks of an order to one owner after the other, to each as many as it has free slots, until all
// are placed.
func (n *Node) placeBatch(ctx context.Context, b *bucket, o ccjob.Order, owners []ccmember.Member) {
	remaining := o.Tasks
	reason := ccwork.ReasonOf(ccwork.ErrOverload)
	impossible := len(owners) > 0
	for _, m := range owners {
		if o.Job.Size.TooLarge(m.Digest.Largest()) != "" {
			continue
		}
		impossible = false
		offer := remaining[:min(int64(len(remaining)), max(m.Digest.FreeSlots, 0))]
		remaining = remaining[len(offer):]
		for chunk := range slices.Chunk(offer, tasksPerCall) {
			reply := n.callPlace(ctx, m, b.placeRequest(o, chunk, false))
			notStarted, lastReason := n.applyPlacements(b, chunk, reply)
			remaining = append(slices.Clip(remaining), notStarted...)
			if lastReason != "" {
				reason = lastReason
			}
		}
	}
	if impossible && n.tooLargeForAll(o.Job.Size) {
		reason = ccwork.ReasonOf(ccwork.ErrImpossible)
	}
	n.markNotPlaced(b, remaining, reason)
}

// tooLargeForAll reports whether a size needs more of some resource than any listed worker of the region has, even when
// the worker is empty.
func (n *Node) tooLargeForAll(size ccwork.Size) bool {
	tooLarge := false
	_ = n.do(func() { tooLarge = n.exceedsLargestWorker(size) != "" })
	return tooLarge
}

// markNotPlaced reports to the driver that tasks were not started.
func (n *Node) markNotPlaced(b *bucket, tasks []ccjob.OrderTask, reason string) {
	if len(tasks) == 0 {
		return
	}
	_ = n.do(func() {
		for _, t := range tasks {
			b.driver.NotPlaced(t.ID, reason, n.now())
		}
	})
}

// callPlace asks an owner to place tasks. Without a reply the outcome of every task is Unknown, or NotRun when the
// owner was certainly not reached.
func (n *Node) callPlace(ctx context.Context, m ccmember.Member, in *ccpeer.PlaceRequest) *ccpeer.PlaceReply {
	var out *ccpeer.PlaceReply
	var err error
	if m.ID == n.id {
		out, err = n.Place(ctx, in)
	} else {
		ctx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		out, err = n.cfg.Peers.Place(ctx, m.Address, in)
	}
	if err == nil {
		return out
	}
	outcome := ccwork.Unknown
	if errors.Is(err, ccpeer.ErrUnreachable) {
		outcome = ccwork.NotRun
	}
	n.cfg.Log.Warn("no reply to a request to place tasks", "Bucket", in.Bucket, "Owner", m.ID, "Outcome", outcome, "Err", err)
	out = &ccpeer.PlaceReply{}
	for _, t := range in.Tasks {
		out.Placements = append(out.Placements, ccpeer.Placement{Task: t.Task, Outcome: outcome, Reason: ccwork.ReasonOf(ccwork.ErrNoOwner)})
	}
	return out
}

// applyPlacements passes an owner's reply to the driver. It returns the tasks that were not started, with the reason
// given for the last one. For the driver these still count as being placed, until they are placed elsewhere or passed
// to markNotPlaced.
func (n *Node) applyPlacements(b *bucket, tasks []ccjob.OrderTask, reply *ccpeer.PlaceReply) (notStarted []ccjob.OrderTask, reason string) {
	byID := make(map[string]ccpeer.Placement, len(reply.Placements))
	for _, p := range reply.Placements {
		byID[p.Task] = p
	}
	_ = n.do(func() {
		now := n.now()
		for _, t := range tasks {
			p, ok := byID[t.ID]
			switch {
			case !ok || p.Outcome == ccwork.Unknown:
				b.driver.MarkInDoubt(t.ID, now)
			case p.Outcome == ccwork.Ran:
				b.driver.Placed(t.ID, p.Worker, p.Shard, now)
			default:
				notStarted = append(notStarted, t)
				reason = p.Reason
			}
		}
	})
	return notStarted, reason
}

// placeGang reserves capacity for every task of a gang and then starts them all. If there is not enough for all, it
// releases the reservations, and the driver retries later.
func (n *Node) placeGang(ctx context.Context, b *bucket, o ccjob.Order, owners []ccmember.Member) {
	if len(owners) > 0 && n.tooLargeForAll(o.Job.Size) {
		n.markNotPlaced(b, o.Tasks, ccwork.ReasonOf(ccwork.ErrImpossible))
		return
	}
	remaining := o.Tasks
	reserved := map[string][]ccjob.OrderTask{}
	for _, m := range owners {
		if len(remaining) == 0 {
			break
		}
		reply := n.callPlace(ctx, m, b.placeRequest(o, remaining, true))
		var accepted []ccjob.OrderTask
		accepted, remaining = splitReserved(remaining, reply)
		reserved[m.ID] = accepted
	}
	if len(remaining) > 0 {
		// An owner whose reply was lost may hold reservations too, so every owner is ordered to release them.
		n.releaseGang(b, o, owners)
		n.markNotPlaced(b, o.Tasks, ccwork.ReasonOf(ccledger.ErrFull))
		return
	}
	n.startGang(ctx, b, o, owners, reserved)
}

// splitReserved splits tasks into those that an owner has reserved capacity for and the rest.
func splitReserved(tasks []ccjob.OrderTask, reply *ccpeer.PlaceReply) (reserved, rest []ccjob.OrderTask) {
	accepted := map[string]bool{}
	for _, p := range reply.Placements {
		accepted[p.Task] = p.Outcome == ccwork.Ran
	}
	for _, t := range tasks {
		if accepted[t.ID] {
			reserved = append(reserved, t)
		} else {
			rest = append(rest, t)
		}
	}
	return reserved, rest
}

// releaseGang makes the next report request to every owner release the reservations of a gang.
func (n *Node) releaseGang(b *bucket, o ccjob.Order, owners []ccmember.Member) {
	_ = n.do(func() {
		for _, m := range owners {
			for _, t := range o.Tasks {
				b.release[m.ID] = append(b.release[m.ID], t.ID)
			}
		}
	})
}

// startGang starts the tasks of a gang on all owners in parallel. If any is refused although capacity was reserved, the
// driver stops the others.
func (n *Node) startGang(ctx context.Context, b *bucket, o ccjob.Order, owners []ccmember.Member, reserved map[string][]ccjob.OrderTask) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var refused []ccjob.OrderTask
	for _, m := range owners {
		tasks := reserved[m.ID]
		if len(tasks) == 0 {
			continue
		}
		wg.Go(func() {
			reply := n.callPlace(ctx, m, b.placeRequest(o, tasks, false))
			notStarted, _ := n.applyPlacements(b, tasks, reply)
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, notStarted...)
		})
	}
	wg.Wait()
	n.markNotPlaced(b, refused, ccwork.ReasonOf(ccwork.ErrRefused))
	if len(refused) > 0 {
		_ = n.do(func() { b.driver.AbortGang(o.Key, n.now()) })
	}
}

// Place implements ccpeer.Handler: it starts tasks of a job on workers of this process, or reserves capacity for them.
func (n *Node) Place(ctx context.Context, in *ccpeer.PlaceRequest) (*ccpeer.PlaceReply, error) {
	out := &ccpeer.PlaceReply{}
	var starts []*startCall
	err := n.do(func() { out.Placements, starts = n.claimCapacity(in, n.now()) })
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for _, s := range starts {
		wg.Go(func() { n.startOnWorker(ctx, s) })
	}
	wg.Wait()
	for _, s := range starts {
		out.Placements = append(out.Placements, s.placements...)
	}
	return out, nil
}

// startCall is a call that starts tasks on one worker. placements is the outcome, once the call has ended.
type startCall struct {
	permit     ccworker.Permit
	shard      string
	tasks      []ccworker.TaskSpec
	placements []ccpeer.Placement
}

// claimCapacity claims capacity on workers for the tasks of a message. It returns the placements that are decided
// without a call to a worker, and the start calls to make. It must run in the control loop.
func (n *Node) claimCapacity(in *ccpeer.PlaceRequest, now ccclock.Millis) ([]ccpeer.Placement, []*startCall) {
	var decided []ccpeer.Placement
	byWorker := map[string]*startCall{}
	var starts []*startCall
	for _, t := range in.Tasks {
		c, p := n.claimTask(in, t, now)
		if c == nil {
			decided = append(decided, p)
			continue
		}
		s := byWorker[c.Worker]
		if s == nil {
			s = &startCall{permit: n.permitFor(c, now), shard: c.Shard}
			byWorker[c.Worker] = s
			starts = append(starts, s)
		}
		s.tasks = append(s.tasks, ccworker.TaskSpec{
			Task: t.Task, Team: in.Team, Kind: in.Kind, Long: c.Long, Size: in.Size, Payload: t.Payload,
		})
	}
	return decided, starts
}

// claimTask claims capacity on a worker for one task. It returns a nil claim, and the outcome, when there is no start
// to send. It must run in the control loop.
func (n *Node) claimTask(in *ccpeer.PlaceRequest, t ccpeer.PlaceTask, now ccclock.Millis) (*ccledger.Claim, ccpeer.Placement) {
	p := ccpeer.Placement{Task: t.Task, Outcome: ccwork.NotRun}
	if n.state.draining {
		p.Reason = ccwork.ReasonOf(ccwork.ErrDraining)
		return nil, p
	}
	if n.state.pool.Claim(t.Task) == nil && n.overQuota(in.Team, in.Size, now) {
		p.Reason = ccwork.ReasonOf(ccwork.ErrQuota)
		return nil, p
	}
	o := ccledger.Order{
		Sender: in.Sender,
		Request: ccledger.Request{
			Row: ccledger.Row{
				Task: t.Task, Team: in.Team, Kind: in.Kind, Long: in.Long, Size: in.Size, State: ccwork.Running,
			},
			Deferrable: !in.Urgent,
			Avoid:      t.Avoid,
		},
		Hold:      in.Reserve,
		HoldUntil: now + reservationMs,
	}
	c, outcome, err := n.state.orderGate.Place(o, func(shard string) error {
		_, err := n.state.shards.Authority(shard, now)
		return err
	}, now)
	p.Outcome = outcome
	p.Reason = ccwork.ReasonOf(err)
	return c, p
}

// startOnWorker sends one start call to a worker and records the outcome in the ledger.
func (n *Node) startOnWorker(ctx context.Context, s *startCall) {
	refused, err := n.cfg.Workers.Start(ctx, s.permit, s.tasks)
	outcome := ccwork.Ran
	switch {
	case errors.Is(err, ccwork.ErrFenced), errors.Is(err, ccwork.ErrRefused):
		outcome = ccwork.NotRun
	case err != nil:
		outcome = ccwork.Unknown
	}
	_ = n.do(func() {
		now := n.now()
		for _, t := range s.tasks {
			p := ccpeer.Placement{Task: t.Task, Worker: s.permit.Worker, Shard: s.shard, Outcome: outcome, Reason: ccwork.ReasonOf(err)}
			if reason, isRefused := refused[t.Task]; isRefused {
				p.Outcome = ccwork.NotRun
				p.Reason = reason
			}
			n.state.orderGate.RecordStart(t.Task, p.Outcome, now, s.permit.Until+ccclock.Millis(n.cfg.Timing.FlightMs))
			s.placements = append(s.placements, p)
		}
		if err != nil && !errors.Is(err, ccwork.ErrFenced) {
			n.cfg.Log.Warn("call to start tasks on a worker failed", "Worker", s.permit.Worker, "Epoch", s.permit.Epoch, "Tasks", len(s.tasks), "Err", err)
			n.state.pool.RecordOutcome(s.permit.Worker, false, now)
		}
	})
}

// bucketClaims returns the claims of a bucket's tasks, without reservations. It must run in the control loop.
func (n *Node) bucketClaims(name string) []ccledger.Claim {
	return n.state.pool.Claims(func(c *ccledger.Claim) bool {
		key, _, _, ok := ccjob.ParseTaskID(c.Task)
		return ok && n.bucketOf(key) == name && c.Phase != ccledger.Reserved
	})
}
