// Package ccroute chooses the process that shall find a worker for a request.
package ccroute

import (
	"math/rand/v2"

	"coriandercross/core/ccmember"
	"coriandercross/core/ccwork"
)

// Policy names a way to choose among owners.
type Policy string

const (
	// TwoChoices compares two random owners by their estimated wait.
	TwoChoices Policy = "TwoChoices"
	// LeastWait takes the owner with the least estimated wait.
	LeastWait Policy = "LeastWait"
	// Random takes any owner.
	Random Policy = "Random"
)

// Config sets up a Router.
type Config struct {
	Region string
	Policy Policy
	// CrossRegionMs is the price of leaving the region, as time: the way there and back, and
	// the bytes.
	CrossRegionMs int64
	Rand          *rand.Rand
}

// Router chooses owners by their digests. It must be used by one goroutine only.
type Router struct {
	cfg Config
	// sent counts what was sent to an owner since its digest came.
	sent map[string]sentCount
}

// sentCount is the number of requests sent on one digest.
type sentCount struct {
	round uint64
	n     int64
}

// New returns a Router.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, sent: map[string]sentCount{}}
}

// Request is what the choice depends on.
type Request struct {
	Size ccwork.Size
	// CrossRegion allows owners in other regions.
	CrossRegion bool
	// BudgetMs is the time left until the start deadline.
	BudgetMs int64
	// Tried are owners that refused already.
	Tried map[string]bool
}

// Choose returns the owner to send to. It fails with ccwork.ErrNoOwner when no living process owns
// a usable worker, ccwork.ErrImpossible when no worker is large enough, and ccwork.ErrDeadline when
// no estimated wait is within the budget.
func (r *Router) Choose(members []ccmember.Member, w Request) (ccmember.Member, error) {
	fitting, err := r.fitting(members, w)
	if err != nil {
		return ccmember.Member{}, err
	}
	best, wait := r.pick(fitting)
	if wait > w.BudgetMs {
		// Two unlucky choices do not make a refusal.
		best, wait = r.leastWait(fitting)
	}
	if wait > w.BudgetMs {
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

// fitting returns the owners that may take the work. It prefers the own region unless
// every owner there has a queue.
func (r *Router) fitting(members []ccmember.Member, w Request) ([]ccmember.Member, error) {
	var out []ccmember.Member
	owners := false
	for _, m := range members {
		if m.Digest.Slots == 0 || m.Digest.Leaving {
			continue
		}
		if m.Region != r.cfg.Region && !w.CrossRegion {
			continue
		}
		owners = true
		if w.Size.TooLarge(m.Digest.Largest()) == "" && !w.Tried[m.ID] {
			out = append(out, m)
		}
	}
	switch {
	case !owners:
		return nil, ccwork.ErrNoOwner
	case len(out) > 0:
		return out, nil
	case len(w.Tried) > 0:
		return nil, ccwork.ErrOverload
	}
	return nil, ccwork.ErrImpossible
}

// pick applies the policy.
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

// shorterWait reports whether an owner is to be preferred to another.
func (r *Router) shorterWait(a, b *ccmember.Member) bool {
	wa, wb := r.WaitMs(a), r.WaitMs(b)
	return wa < wb || wa == wb && r.freeSlots(a) > r.freeSlots(b)
}

// withFreeSlot returns a random owner that has a free slot by its digest, or the one given.
func (r *Router) withFreeSlot(owners []ccmember.Member, fallback ccmember.Member) (ccmember.Member, int64) {
	n := 0
	for i := range owners {
		if r.freeSlots(&owners[i]) <= 0 {
			continue
		}
		n++
		// Each owner with room is equally likely to stay.
		if r.cfg.Rand.IntN(n) == 0 && r.WaitMs(&owners[i]) <= r.WaitMs(&fallback) {
			fallback = owners[i]
		}
	}
	return fallback, r.WaitMs(&fallback)
}

// drawWeighted picks an owner at random, weighted by its slots and the price of the link.
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

// remoteWeightShift makes owners across the link rare draws; the wait decides between two draws.
const remoteWeightShift = 3

// weight is the chance of an owner to be drawn.
func (r *Router) weight(m *ccmember.Member) int64 {
	w := max(m.Digest.InteractiveSlots(), 1) << remoteWeightShift
	if m.Region != r.cfg.Region {
		w >>= remoteWeightShift
	}
	return w
}

// leastWait returns the owner with the leastWait estimated wait.
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

// freeSlots returns an owner's free slots less what was sent there since.
func (r *Router) freeSlots(m *ccmember.Member) int64 {
	free := m.Digest.FreeSlots
	if c := r.sent[m.ID]; c.round == m.Round {
		free -= c.n
	}
	return free
}

// preemptionMs is the estimated time until other work has made room.
const preemptionMs = 1_000

// WaitMs estimates the wait for a slot at an owner, with the price of the link.
func (r *Router) WaitMs(m *ccmember.Member) int64 {
	var wait int64
	if queue := m.Digest.Waiting - r.freeSlots(m); queue >= 0 {
		wait = (queue + 1) * m.Digest.ServiceMs / max(m.Digest.InteractiveSlots(), 1)
		if m.Digest.InteractiveSlots() <= 0 {
			// Only by stopping other work can this owner start any.
			wait += preemptionMs
		}
	}
	if m.Region != r.cfg.Region {
		wait += r.cfg.CrossRegionMs
	}
	return wait
}
