// Package ccroute chooses the process to which a request is sent. That process, an owner of workers, then chooses the
// worker.
package ccroute

import (
	"math/rand/v2"

	"coriandercross/core/ccmember"
	"coriandercross/core/ccwork"
)

// Policy is a way to choose among owners.
type Policy string

const (
	// TwoChoices draws two owners at random and takes the one with the shorter estimated wait.
	TwoChoices Policy = "TwoChoices"
	// LeastWait takes the owner with the shortest estimated wait.
	LeastWait Policy = "LeastWait"
	// Random takes a random owner.
	Random Policy = "Random"
)

// Config configures a Router.
type Config struct {
	Region string
	Policy Policy
	// CrossRegionMs is the cost of sending a request to another region, as a time: the round trip and the transfer of
	// the bytes.
	CrossRegionMs int64
	Rand          *rand.Rand
}

// Router chooses owners by their load digests. It is not safe for concurrent use.
type Router struct {
	cfg Config
	// sent has, by owner, the requests sent there since its current digest was received.
	sent map[string]sentCount
}

// sentCount is the number of requests sent to an owner since its digest of the given gossip round was received.
type sentCount struct {
	round uint64
	n     int64
}

// New returns a Router.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, sent: map[string]sentCount{}}
}

// Request is the properties of a request that the choice depends on.
type Request struct {
	Size ccwork.Size
	// CrossRegion is true if the request may be sent to another region.
	CrossRegion bool
	// BudgetMs is the time left until the start deadline.
	BudgetMs int64
	// Tried are the IDs of owners that have refused the request.
	Tried map[string]bool
}

// Choose returns the owner to send a request to. It fails with ccwork.ErrNoOwner if no living process owns a usable
// worker, with ccwork.ErrImpossible if no worker is large enough, with ccwork.ErrOverload if every owner with a large
// enough worker has refused, and with ccwork.ErrDeadline if no estimated wait is within the budget.
func (r *Router) Choose(members []ccmember.Member, req Request) (ccmember.Member, error) {
	owners, err := r.eligible(members, req)
	if err != nil {
		return ccmember.Member{}, err
	}
	best, wait := r.pick(owners)
	if wait > req.BudgetMs {
		// The policy may have picked a busy owner by chance; refuse only if no owner has a short enough wait.
		best, wait = r.leastWait(owners)
	}
	if wait > req.BudgetMs {
		return ccmember.Member{}, ccwork.ErrDeadline
	}
	c := r.sent[best.ID]
	if c.round != best.Round {
		c = sentCount{round: best.Round}
	}
	c.n++
	r.sent[best.ID] = c
	return best, nil
}

// eligible returns the owners that may take the request: those with a large enough worker, in this region unless the
// request may leave it, that are not draining and have not refused it. The errors are those of Choose.
func (r *Router) eligible(members []ccmember.Member, req Request) ([]ccmember.Member, error) {
	var out []ccmember.Member
	anyOwner := false
	for _, m := range members {
		if m.Digest.Slots == 0 || m.Digest.Leaving {
			continue
		}
		if m.Region != r.cfg.Region && !req.CrossRegion {
			continue
		}
		anyOwner = true
		if req.Size.TooLarge(m.Digest.Largest()) == "" && !req.Tried[m.ID] {
			out = append(out, m)
		}
	}
	switch {
	case !anyOwner:
		return nil, ccwork.ErrNoOwner
	case len(out) > 0:
		return out, nil
	case len(req.Tried) > 0:
		return nil, ccwork.ErrOverload
	}
	return nil, ccwork.ErrImpossible
}

// pick chooses an owner by the policy and returns it with its estimated wait, which is 0 for the policy Random.
func (r *Router) pick(owners []ccmember.Member) (ccmember.Member, int64) {
	switch r.cfg.Policy {
	case Random:
		m := owners[r.cfg.Rand.IntN(len(owners))]
		return m, 0
	case LeastWait:
		return r.leastWait(owners)
	}
	a := r.drawWeighted(owners)
	b := r.drawWeighted(owners)
	if r.shorterWait(&b, &a) {
		a = b
	}
	if r.freeSlots(&a) > 0 {
		return a, r.WaitMs(&a)
	}
	return r.withFreeSlot(owners, a)
}

// shorterWait reports whether a is preferred to b: it has the shorter estimated wait, or the same with more free slots.
func (r *Router) shorterWait(a, b *ccmember.Member) bool {
	wa, wb := r.WaitMs(a), r.WaitMs(b)
	return wa < wb || wa == wb && r.freeSlots(a) > r.freeSlots(b)
}

// withFreeSlot returns a random owner that has a free slot and no longer estimated wait than fallback, or else
// fallback.
func (r *Router) withFreeSlot(owners []ccmember.Member, fallback ccmember.Member) (ccmember.Member, int64) {
	n := 0
	for i := range owners {
		if r.freeSlots(&owners[i]) <= 0 {
			continue
		}
		n++
		// Reservoir sampling: the n-th owner with a free slot replaces the one chosen so far with probability 1/n, unless
		// its wait is longer.
		if r.cfg.Rand.IntN(n) == 0 && r.WaitMs(&owners[i]) <= r.WaitMs(&fallback) {
			fallback = owners[i]
		}
	}
	return fallback, r.WaitMs(&fallback)
}

// drawWeighted returns a random owner, weighted by slots and region.
func (r *Router) drawWeighted(owners []ccmember.Member) ccmember.Member {
	var total int64
	for i := range owners {
		total += r.weight(&owners[i])
	}
	x := r.cfg.Rand.Int64N(max(total, 1))
	for i := range owners {
		x -= r.weight(&owners[i])
		if x < 0 {
			return owners[i]
		}
	}
	return owners[len(owners)-1]
}

// remoteWeightShift divides the weight of an owner in another region by 8, so that such an owner is rarely drawn. Of two
// owners drawn, the one with the shorter wait is used, and the wait includes the cost of sending to the other region.
const remoteWeightShift = 3

// weight returns the weight of an owner in a draw.
func (r *Router) weight(m *ccmember.Member) int64 {
	w := max(m.Digest.InteractiveSlots(), 1) << remoteWeightShift
	if m.Region != r.cfg.Region {
		w >>= remoteWeightShift
	}
	return w
}

// leastWait returns the owner with the shortest estimated wait.
func (r *Router) leastWait(owners []ccmember.Member) (ccmember.Member, int64) {
	best, bestWait := owners[0], r.WaitMs(&owners[0])
	for i := 1; i < len(owners); i++ {
		w := r.WaitMs(&owners[i])
		if w < bestWait || w == bestWait && r.freeSlots(&owners[i]) > r.freeSlots(&best) {
			best, bestWait = owners[i], w
		}
	}
	return best, bestWait
}

// freeSlots returns an owner's free slots by its digest, less the requests sent there since.
func (r *Router) freeSlots(m *ccmember.Member) int64 {
	free := m.Digest.FreeSlots
	if c := r.sent[m.ID]; c.round == m.Round {
		free -= c.n
	}
	return free
}

// preemptionMs is the estimated time until a preempted task has freed its slot.
const preemptionMs = 1_000

// WaitMs returns the estimated wait for a slot at an owner, including the cost of a transfer to another region.
func (r *Router) WaitMs(m *ccmember.Member) int64 {
	var wait int64
	if queue := m.Digest.Waiting - r.freeSlots(m); queue >= 0 {
		wait = (queue + 1) * m.Digest.ServiceMs / max(m.Digest.InteractiveSlots(), 1)
		if m.Digest.InteractiveSlots() <= 0 {
			// All slots are used by long or deferrable work, so a task has to be preempted first.
			wait += preemptionMs
		}
	}
	if m.Region != r.cfg.Region {
		wait += r.cfg.CrossRegionMs
	}
	return wait
}
