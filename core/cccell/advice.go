package cccell

import (
	"math"
	"sort"
)

// tickets is what the policy service has said of a stage. Which workers may run a stage never
// changes, so that a refusal is learned for good; a permission has to be renewed before it expires.
type tickets struct {
	allowed map[string]ticket
	denied  map[string]bool
	asking  bool
	// giveUpAt is the time after which the answer is awaited no more.
	giveUpAt ms
	// idleUntil is the time before which no worker worth asking for is looked for again.
	idleUntil ms
}

// ticket permits the tasks of a stage on one life of a worker.
type ticket struct {
	text  string
	life  int64
	until ms
}

// newTickets returns what is known at first: nothing.
func newTickets() tickets {
	return tickets{allowed: map[string]ticket{}, denied: map[string]bool{}}
}

// drop forgets a ticket that a worker did not take; the worker stays allowed.
func (t *tickets) drop(id string) {
	if k, ok := t.allowed[id]; ok {
		k.until = 0
		t.allowed[id] = k
	}
}

// valid returns the ticket for a worker, if it can still be used when a start sent now arrives.
func (t *tickets) valid(w *worker, now ms) (string, bool) {
	k, ok := t.allowed[w.info.ID]
	return k.text, ok && k.usable(w, now)
}

// usable reports whether a ticket is for the worker's present life and valid for long enough.
func (k *ticket) usable(w *worker, now ms) bool {
	return k.life == w.born() && now+ticketMarginMs < k.until
}

const (
	// ticketMarginMs is the longest way of a start to a worker for which a ticket must stay valid: a round trip between regions.
	ticketMarginMs ms = 120
	// askWorkers is the number of workers named in a first call. The platform's own aim counts a call for 30.
	askWorkers int = 30
	// cheapCallMs is the length of a call up to which all workers are named at once.
	cheapCallMs int64 = 60
	// askTimeoutMs is the time over the expected one after which a call is given up, and askSlack how many times longer it may take.
	askTimeoutMs ms      = 1500
	askSlack     float64 = 3
	// askIdleMs is the pause after a search for workers to ask for that found none: each search looks at every worker.
	askIdleMs ms = 40
	// spareRoom is how much more room than needed is asked for, since other stages take part of it meanwhile.
	spareRoom float64 = 1.5
)

// ask orders a call to the policy service for a stage whose tasks can't all be placed with the tickets at hand.
// Load pattern: batch stages whose calls take half a second each, with only a third of the workers allowed, so that
// neither too many workers may be named nor the same ones twice. It reports whether an answer is awaited.
func (c *Cell) ask(s *stage, missing int, now ms) bool {
	t := &s.tickets
	q := c.queue(s.job)
	adv := q.Advice
	if t.asking && now < t.giveUpAt {
		return true
	}
	if now < t.idleUntil {
		return false
	}
	want := int(math.Ceil(float64(missing) * spareRoom))
	var known, fresh []candidate
	for _, w := range c.usable {
		if t.denied[w.info.ID] || !c.suits(s, w, now) {
			continue
		}
		_, allowed := t.allowed[w.info.ID]
		if _, ok := t.valid(w, now); ok {
			continue
		}
		room := min(c.roomFor(s, w), missing)
		if room == 0 && (allowed || len(t.allowed) > 0) {
			continue // Renewing a ticket makes no room.
		}
		k := candidate{w: w, room: room, cost: c.cost(s, w, now)}
		if allowed {
			known = append(known, k)
		} else {
			fresh = append(fresh, k)
		}
	}
	better := func(list []candidate) func(a, b int) bool {
		return func(a, b int) bool {
			x, y := list[a], list[b]
			if (x.room > 0) != (y.room > 0) {
				return x.room > 0
			}
			if x.cost != y.cost {
				return x.cost < y.cost
			}
			if x.room != y.room {
				return x.room > y.room
			}
			return x.w.info.ID < y.w.info.ID
		}
	}
	sort.Slice(known, better(known))
	sort.Slice(fresh, better(fresh))
	var names []string
	for _, k := range known {
		if want <= 0 {
			break
		}
		names = append(names, k.w.info.ID)
		want -= k.room
	}
	if want > 0 {
		limit := askWorkers
		if adv.CallMs(min(len(c.workers), maxNamed)) <= cheapCallMs {
			limit = maxNamed
		}
		for _, k := range fresh {
			if len(names) >= limit {
				break
			}
			names = append(names, k.w.info.ID)
		}
	}
	if len(names) == 0 {
		t.idleUntil = now + askIdleMs
		return false
	}
	callMs := adv.CallMs(len(names))
	t.asking, t.giveUpAt = true, now+askTimeoutMs+ms(askSlack*float64(callMs))
	c.stats.AdviceRequests++
	c.out.AdviceRequests = append(c.out.AdviceRequests, AdviceRequest{Stage: s.id, Workers: names, CallMs: callMs, Priority: q.Priority})
	return true
}

// maxNamed is the largest number of workers that one call may name.
const maxNamed = 100

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
	s.tickets.asking = false
	if a.Failed {
		s.notBefore = now + failedAskPauseMs
		return
	}
	for _, id := range a.Workers {
		text, ok := a.Tickets[id]
		w := c.workers[id]
		switch {
		case !ok:
			s.tickets.denied[id] = true
		case w != nil:
			s.tickets.allowed[id] = ticket{text: text, life: w.born(), until: now + ms(a.ValidMs)}
		}
	}
}

// failedAskPauseMs is the pause of a stage after a call that was not answered.
const failedAskPauseMs ms = 150
