package cccell

import (
	"math"
	"sort"
)

// tickets holds the replies of the policy service for one stage. The set of workers that may run a stage never changes,
// so a denial is kept for the lifetime of the stage. A permission comes with a ticket, which has to be renewed before
// it expires.
type tickets struct {
	allowed map[string]ticket
	denied  map[string]bool
	// requested is true while a request is queued or in flight; requestID identifies it.
	requested bool
	requestID int64
	// deadline is the time after which a request is given up that is neither queued nor assigned to a process.
	deadline ms
	// noCandidatesUntil is the time until which no new search for workers to request tickets for is made, since the
	// last one found none.
	noCandidatesUntil ms
}

// ticket permits the tasks of one stage on one incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	expiresAt   ms
}

func newTickets() tickets {
	return tickets{allowed: map[string]ticket{}, denied: map[string]bool{}}
}

// expire marks a ticket as expired after a worker has refused it. The worker stays allowed, so the ticket is renewed.
func (t *tickets) expire(id string) {
	if tk, ok := t.allowed[id]; ok {
		tk.expiresAt = 0
		t.allowed[id] = tk
	}
}

// valid returns the ticket for a worker, and whether it will still be valid when a start that is sent now arrives.
func (t *tickets) valid(w *worker, now ms) (string, bool) {
	tk, ok := t.allowed[w.info.ID]
	return tk.text, ok && tk.usable(w, now)
}

// usable reports whether the ticket is for the worker's newest known incarnation and valid for another ticketMarginMs.
func (t *ticket) usable(w *worker, now ms) bool {
	return t.incarnation == w.newestIncarnation() && now+ticketMarginMs < t.expiresAt
}

const (
	// ticketMarginMs is the longest time that a start takes to reach a worker: one round trip between regions.
	ticketMarginMs ms = 120
	// expensiveRequestWorkers bounds the workers that a request names, unless the call is cheap or all are renewals of
	// tickets. The platform computes its latency target with a call that names 30 workers.
	expensiveRequestWorkers int = 30
	// cheapCallMs is the expected duration up to which calls count as cheap, taken for a call that names all workers,
	// but at most maxRequestWorkers. A cheap call names up to maxRequestWorkers workers.
	cheapCallMs int64 = 60
	// A request without a reply is given up after adviceTimeoutMs plus adviceTimeoutFactor times its expected duration.
	adviceTimeoutMs     ms      = 1500
	adviceTimeoutFactor float64 = 3
	// noCandidatesDelayMs is the delay after a search that found no workers to request tickets for: each search visits
	// every worker.
	noCandidatesDelayMs ms = 40
	// capacityMargin is the ratio of the capacity to request tickets for to the capacity needed, since other stages
	// take part of it before the reply arrives.
	capacityMargin float64 = 1.5
)

// requestAdvice requests tickets for a stage. It is called when the workers with a valid ticket can't hold all unplaced
// tasks of the stage. It requests nothing while a request is queued or in flight, and returns true while a reply is
// expected.
func (c *Cell) requestAdvice(s *stage, now ms) bool {
	t := &s.tickets
	if t.requested && now < t.deadline {
		return true
	}
	if now < t.noCandidatesUntil {
		return false
	}
	names := c.adviceCandidates(s, now)
	if len(names) == 0 {
		t.noCandidatesUntil = now + noCandidatesDelayMs
		return false
	}
	callMs := c.queue(s.job).Advice.CallMs(len(names))
	c.stats.AdviceRequests++
	t.requested, t.requestID, t.deadline = true, c.cfg.Token<<attemptBits+c.stats.AdviceRequests, adviceDeadline(callMs, now)
	c.orders.AdviceRequests = append(c.orders.AdviceRequests, AdviceRequest{
		ID: t.requestID, Stage: s.id, Workers: names, CallMs: callMs, rank: c.rank(s), chosenAt: now,
	})
	return true
}

// adviceDeadline returns the time at which a request is given up unless it is kept.
func adviceDeadline(callMs int64, now ms) ms {
	return now + adviceTimeoutMs + ms(adviceTimeoutFactor*float64(callMs))
}

// keepAdvice reports whether a request that is queued or assigned is still needed, and extends its deadline and renews
// its rank if so. A new configuration may have removed the policy service of the queue since the request was made.
func (c *Cell) keepAdvice(r *AdviceRequest, now ms) bool {
	s := c.stageByID(r.Stage)
	if s == nil || !s.tickets.requested || s.tickets.requestID != r.ID {
		return false
	}
	if _, open := c.open[s]; !open || s.unplaced == 0 || c.queue(s.job).Advice == nil {
		s.tickets.requested = false
		return false
	}
	s.tickets.deadline = adviceDeadline(r.CallMs, now)
	r.rank = c.rank(s)
	return true
}

// refreshAdvice chooses the workers of a request anew, since workers may have become full or free while it was queued.
// The request must be one that keepAdvice keeps. It returns false if no worker is left to request a ticket for.
func (c *Cell) refreshAdvice(r *AdviceRequest, now ms) bool {
	if r.chosenAt == now {
		return true
	}
	s := c.stageByID(r.Stage)
	if r.Workers = c.adviceCandidates(s, now); len(r.Workers) == 0 {
		s.tickets.requested = false
		s.tickets.noCandidatesUntil = now + noCandidatesDelayMs
		return false
	}
	r.CallMs, r.chosenAt = c.queue(s.job).Advice.CallMs(len(r.Workers)), now
	s.tickets.deadline = adviceDeadline(r.CallMs, now)
	return true
}

// adviceCandidates returns the IDs of the workers to request tickets for. Typical load: batch stages whose calls take
// half a second each while only a third of the workers are allowed. A request must therefore not name too many workers,
// nor name denied workers again.
func (c *Cell) adviceCandidates(s *stage, now ms) []string {
	t := &s.tickets
	unplaced := s.unplaced
	advice := c.queue(s.job).Advice
	want := int(math.Ceil(float64(unplaced) * capacityMargin))
	var renewals, unknown []candidate
	fittingAllowed := 0
	for _, w := range c.usable {
		if t.denied[w.info.ID] || !c.eligible(s, w, now) {
			continue
		}
		_, allowed := t.allowed[w.info.ID]
		fitting := min(c.fitting(s, w), unplaced)
		if allowed {
			fittingAllowed += fitting
		}
		if _, ok := t.valid(w, now); ok {
			continue
		}
		if fitting == 0 && (allowed || len(t.allowed) > 0) {
			continue // Renewing a ticket adds no capacity.
		}
		cand := candidate{w: w, fitting: fitting, cost: c.cost(s, w, now)}
		if allowed {
			renewals = append(renewals, cand)
		} else {
			unknown = append(unknown, cand)
		}
	}
	if s.spec.Gang && len(s.held) > 0 && fittingAllowed < unplaced {
		// The gang needs all tickets at once. They would expire before the workers that are held for it are empty.
		renewals = nil
	}
	better := func(list []candidate) func(a, b int) bool {
		return func(a, b int) bool {
			x, y := list[a], list[b]
			if (x.fitting > 0) != (y.fitting > 0) {
				return x.fitting > 0
			}
			if x.cost != y.cost {
				return x.cost < y.cost
			}
			if x.fitting != y.fitting {
				return x.fitting > y.fitting
			}
			return x.w.info.ID < y.w.info.ID
		}
	}
	sort.Slice(renewals, better(renewals))
	sort.Slice(unknown, better(unknown))
	var names []string
	for _, cand := range renewals {
		if want <= 0 {
			break
		}
		names = append(names, cand.w.info.ID)
		want -= cand.fitting
	}
	if want > 0 {
		limit := expensiveRequestWorkers
		if advice.CallMs(min(len(c.workers), maxRequestWorkers)) <= cheapCallMs {
			limit = maxRequestWorkers
		}
		for _, cand := range unknown {
			if len(names) >= limit {
				break
			}
			names = append(names, cand.w.info.ID)
		}
	}
	return names
}

// maxRequestWorkers is the largest number of workers that one request may name.
const maxRequestWorkers = 100

// AdviceReply is the reply of the policy service to an AdviceRequest.
type AdviceReply struct {
	Stage   StageID  `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint,omitempty"`
	// Tickets holds a ticket for each of Workers that may run the stage, by worker ID.
	Tickets map[string]string `cbor:"3,keyasint,omitempty"`
	// ValidMs is the lifetime of the tickets, counted from the reply.
	ValidMs int64 `cbor:"4,keyasint,omitempty"`
	// Failed is true when the policy service did not reply.
	Failed bool `cbor:"5,keyasint,omitempty"`
	// ID is that of the request. Processes of earlier releases leave it out.
	ID int64 `cbor:"6,keyasint,omitempty"`
}

// OnAdviceReply handles a reply of the policy service, or its absence. It reports whether the stage still has tasks to
// be started.
func (c *Cell) OnAdviceReply(a *AdviceReply, now ms) bool {
	s := c.stageByID(a.Stage)
	if s == nil {
		return false
	}
	_, open := c.open[s]
	needed := open && s.unplaced > 0
	if a.ID == 0 || a.ID == s.tickets.requestID {
		s.tickets.requested = false
	} else if a.Failed {
		return needed // A later request is queued or in flight.
	}
	if a.Failed {
		s.notBefore = now + failedAdviceDelayMs
		return needed
	}
	for _, id := range a.Workers {
		text, ok := a.Tickets[id]
		w := c.workers[id]
		switch {
		case !ok:
			s.tickets.denied[id] = true
		case w != nil:
			s.tickets.allowed[id] = ticket{text: text, incarnation: w.newestIncarnation(), expiresAt: now + ms(a.ValidMs)}
		}
	}
	return needed
}

// failedAdviceDelayMs is the delay before a stage is placed again after a failed request.
const failedAdviceDelayMs ms = 150
