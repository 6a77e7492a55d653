package cccell

import "sort"

// AdviceQueue assigns advice requests to the processes that call the policy service on behalf of the leader. The
// service answers one call at a time from each VM, so that load such as batch stages, whose calls take half a second
// each, needs many callers. Requests wait in the queue while no caller is free.
//
// Typical load: after an outage or the loss of a leader, all stages request tickets at once, while some callers are cut
// off or slow. A request that waits is neither made again nor sent with workers that have become full meanwhile, the
// stage that is due first goes first, and a caller whose result is overdue gets no more requests.
type AdviceQueue struct {
	cell    *Cell
	waiting []AdviceRequest
	callers map[string]*adviceCaller
}

// adviceCaller is a process that calls the policy service.
type adviceCaller struct {
	// pending holds the requests without a result.
	pending []pendingAdvice
	// busyUntil is the time by which all results are expected.
	busyUntil ms
	// pausedUntil is the end of the pause after a call that failed or whose result did not arrive in time.
	pausedUntil ms
}

// pendingAdvice is a request that was assigned to a caller.
type pendingAdvice struct {
	AdviceRequest
	expectedAt ms
}

// AdviceAssignment is a request that a process has to make now.
type AdviceAssignment struct {
	VM      string
	Request AdviceRequest
}

const (
	// longAdviceMs is the expected duration above which a request counts as long. Long requests leave one caller free
	// for short ones.
	longAdviceMs int64 = 100
	// maxShortBacklogMs is the longest time for which a short request is queued at a caller behind another request.
	maxShortBacklogMs ms = 60
	// adviceOverdueMs and adviceOverdueFactor define when a result is overdue: adviceOverdueMs, which covers the round
	// trips between processes, plus adviceOverdueFactor times the duration of the call after it was expected.
	adviceOverdueMs     ms      = 400
	adviceOverdueFactor float64 = 0.5
	// callerPauseMs is the time for which a caller gets no requests after a call has failed or its result was overdue.
	callerPauseMs ms = 1500
)

// NewAdviceQueue returns an empty queue for the requests of a cell.
func NewAdviceQueue(c *Cell) *AdviceQueue {
	return &AdviceQueue{cell: c, callers: map[string]*adviceCaller{}}
}

// Add adds new requests.
func (q *AdviceQueue) Add(requests []AdviceRequest) {
	q.waiting = append(q.waiting, requests...)
}

// Len returns the number of waiting requests.
func (q *AdviceQueue) Len() int {
	return len(q.waiting)
}

// Complete records that the result of a request has arrived from a process. A process whose call failed may be cut off
// from the policy service.
func (q *AdviceQueue) Complete(vm string, reply *AdviceReply, now ms) {
	caller := q.callers[vm]
	if caller == nil {
		return
	}
	caller.pausedUntil = 0
	if reply.Failed {
		caller.pausedUntil = now + callerPauseMs
	}
	for i := range caller.pending {
		if p := &caller.pending[i]; p.ID == reply.ID || (reply.ID == 0 && p.Stage == reply.Stage) {
			caller.pending = append(caller.pending[:i], caller.pending[i+1:]...)
			break
		}
	}
	if len(caller.pending) == 0 {
		caller.busyUntil = now
	}
}

// Assign assigns waiting requests to the available processes, those of the stages that are due first, until no process
// is free. Requests of processes that are gone, or whose results are overdue, are assigned anew; slackMs is added to the
// time after which a result is overdue.
func (q *AdviceQueue) Assign(available []string, gone func(vm string) bool, slackMs, now ms) []AdviceAssignment {
	q.reclaim(gone, slackMs, now)
	needed := q.waiting[:0]
	for _, r := range q.waiting {
		if q.cell.keepAdvice(&r, now) {
			needed = append(needed, r)
		}
	}
	q.waiting = needed
	if len(q.waiting) == 0 {
		return nil
	}
	sort.SliceStable(q.waiting, func(a, b int) bool { return q.waiting[a].rank < q.waiting[b].rank })
	vms := append([]string(nil), available...)
	sort.Strings(vms)
	var out []AdviceAssignment
	var rest []AdviceRequest
	for _, r := range q.waiting {
		vm := q.choose(&r, vms, now)
		switch {
		case vm == "":
			rest = append(rest, r)
		case q.cell.refreshAdvice(&r, now):
			caller := q.callers[vm]
			caller.busyUntil = max(now, caller.busyUntil) + ms(r.CallMs)
			caller.pending = append(caller.pending, pendingAdvice{r, caller.busyUntil})
			out = append(out, AdviceAssignment{vm, r})
		}
	}
	q.waiting = rest
	return out
}

// reclaim queues the requests of callers that are gone, and overdue requests, again.
func (q *AdviceQueue) reclaim(gone func(vm string) bool, slackMs, now ms) {
	for vm, caller := range q.callers {
		lost := gone(vm)
		remaining := caller.pending[:0]
		for _, p := range caller.pending {
			overdueAt := p.expectedAt + adviceOverdueMs + slackMs + ms(adviceOverdueFactor*float64(p.CallMs))
			switch {
			case lost:
			case now < overdueAt:
				q.cell.keepAdvice(&p.AdviceRequest, now)
				remaining = append(remaining, p)
				continue
			default:
				caller.pausedUntil = now + callerPauseMs
			}
			q.cell.stats.AdviceLost++
			q.cell.cfg.Log("call to the policy service taken back", "VM", vm, "Job", p.Stage.Job, "Stage", p.Stage.Stage, "Gone", lost)
			q.waiting = append(q.waiting, p.AdviceRequest)
		}
		caller.pending = remaining
		if lost {
			delete(q.callers, vm)
		}
	}
}

// choose returns the process with the smallest backlog, or "" if none is free for a request: a long request needs a
// process without a backlog, and a second free one if there are several processes; a short request needs a backlog of
// maxShortBacklogMs at most. A process with a result that has not arrived when it was expected is not free, and one
// during its pause only if there is no other.
func (q *AdviceQueue) choose(r *AdviceRequest, vms []string, now ms) string {
	best, bestBacklog, bestPaused := "", ms(0), false
	free := 0
	for _, vm := range vms {
		caller := q.callers[vm]
		if caller == nil {
			caller = &adviceCaller{}
			q.callers[vm] = caller
		}
		if len(caller.pending) > 0 && caller.busyUntil <= now {
			continue
		}
		backlog, paused := max(caller.busyUntil-now, 0), now < caller.pausedUntil
		if backlog == 0 && !paused {
			free++
		}
		if best == "" || (bestPaused && !paused) || (paused == bestPaused && backlog < bestBacklog) {
			best, bestBacklog, bestPaused = vm, backlog, paused
		}
	}
	if r.CallMs > longAdviceMs && (bestBacklog > 0 || (free < 2 && len(vms) > 1 && !bestPaused)) {
		return ""
	}
	if bestBacklog > maxShortBacklogMs {
		return ""
	}
	return best
}
