package cccell

import (
	"math"
	"sort"
)

// tickets is what the policy service has said of a stage. Which workers may run a stage never
// changes, so that a refusal is learned for good; a permission has to be renewed before it expires.
type tickets struct {
	allowed   map[string]ticket
	denied    map[string]bool
	requested bool
	// giveUpAt is the time after which the answer is awaited no more.
	deadline ms
	// idleUntil is the time before which no worker worth asking for is looked for again.
	noCandidatesUntil ms
}

// ticket permits the tasks of a stage on one life of a worker.
type ticket struct {
	text        string
	incarnation int64
	expiresAt   ms
}

// newTickets returns what is known at first: nothing.
func newTickets() tickets {
	return tickets{allowed: map[string]ticket{}, denied: map[string]bool{}}
}

// drop forgets a ticket that a worker did not take; the worker stays allowed.
func (t *tickets) expire(id string) {
	if tk, ok := t.allowed[id]; ok {
		tk.expiresAt = 0
		t.allowed[id] = tk
	}
}

// valid returns the ticket for a worker, if it can still be used when a start sent now arrives.
func (t *tickets) valid(w *worker, now ms) (string, bool) {
	tk, ok := t.allowed[w.info.ID]
	return tk.text, ok && tk.usable(w, now)
}

// usable reports whether a ticket is for the worker's present life and valid for long enough.
func (t *ticket) usable(w *worker, now ms) bool {
	return t.incarnation == w.newestIncarnation() && now+ticketMarginMs < t.expiresAt
}

const (
	// ticketMarginMs is the longest way of a start to a worker for which a ticket must stay valid: a round trip between regions.
	ticketMarginMs ms = 120
	// askWorkers is the number of workers named in a first call. The platform's own aim counts a call for 30.
	expensiveRequestWorkers int = 30
	// cheapCallMs is the length of a call up to which all workers are named at once.
	cheapCallMs int64 = 60
	// askTimeoutMs is the time over the expected one after which a call is given up, and askSlack how many times longer it may take.
	adviceTimeoutMs     ms      = 1500
	adviceTimeoutFactor float64 = 3
	// askIdleMs is the pause after a search for workers to ask for that found none: each search looks at every worker.
	noCandidatesDelayMs ms = 40
	// spareRoom is how much more room than needed is asked for, since other stages take part of it meanwhile.
	capacityMargin float64 = 1.5
)

// ask orders a call to the policy service for a stage whose tasks can't all be placed with the tickets at hand.
// Load pattern: batch stages whose calls take half a second each, with only a third of the workers allowed, so that
// neither too many workers may be named nor the same ones twice. It reports whether an answer is awaited.
func (c *Cell) requestAdvice(s *stage, unplaced int, now ms) bool {
	t := &s.tickets
	q := c.queue(s.job)
	advice := q.Advice
	if t.requested && now < t.deadline {
		return true
	}
	if now < t.noCandidatesUntil {
		return false
	}
	want := int(math.Ceil(float64(unplaced) * capacityMargin))
	var renewals, unknown []candidate
	for _, w := range c.usable {
		if t.denied[w.info.ID] || !c.eligible(s, w, now) {
			continue
		}
		_, allowed := t.allowed[w.info.ID]
		if _, ok := t.valid(w, now); ok {
			continue
		}
		fitting := min(c.fitting(s, w), unplaced)
		if fitting == 0 && (allowed || len(t.allowed) > 0) {
			continue // Renewing a ticket makes no fitting.
		}
		cand := candidate{w: w, fitting: fitting, cost: c.cost(s, w, now)}
		if allowed {
			renewals = append(renewals, cand)
		} else {
			unknown = append(unknown, cand)
		}
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
	if len(names) == 0 {
		t.noCandidatesUntil = now + noCandidatesDelayMs
		return false
	}
	callMs := advice.CallMs(len(names))
	t.requested, t.deadline = true, now+adviceTimeoutMs+ms(adviceTimeoutFactor*float64(callMs))
	c.stats.AdviceRequests++
	c.orders.AdviceRequests = append(c.orders.AdviceRequests, AdviceRequest{Stage: s.id, Workers: names, CallMs: callMs, Priority: q.Priority})
	return true
}

// maxNamed is the largest number of workers that one call may name.
const maxRequestWorkers = 100

// AdviceReply is what the policy service said of a stage.
type AdviceReply struct {
	Stage   StageID  `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint,omitempty"`
	// Tickets has one entry for each worker that may run the stage.
	Tickets map[string]string `cbor:"3,keyasint,omitempty"`
	ValidMs int64             `cbor:"4,keyasint,omitempty"`
	// Failed is true when the call was not answered.
	Failed bool `cbor:"5,keyasint,omitempty"`
}

// OnAdviceReply takes in an answer of the policy service.
func (c *Cell) OnAdviceReply(a *AdviceReply, now ms) {
	s := c.stageOf(TaskID{Job: a.Stage.Job, Run: a.Stage.Run, Stage: a.Stage.Stage})
	if s == nil {
		return
	}
	s.tickets.requested = false
	if a.Failed {
		s.notBefore = now + failedAdviceDelayMs
		return
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
}

// failedAskPauseMs is the pause of a stage after a call that was not answered.
const failedAdviceDelayMs ms = 150
