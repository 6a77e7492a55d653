package ccsuccession

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"coriandercross/core/ccquorum"
)

// The model plays the processes of a cell, their calls and the store on a simulated clock. Processes follow and campaign
// as those of io/cccontrol do, with the decisions of this package and the authority of package ccquorum. A process that
// gets more work than its VM can do answers late by what has piled up.

const (
	modelRegions          = 2
	modelCallTimeout   ms = 400
	modelContactMs     ms = 300
	modelRankDelay     ms = 120
	modelRetry         ms = 100
	modelReplyAfter    ms = 50
	modelAuthority     ms = 700
	modelTurnTimeout   ms = 400
	modelPaceInterval  ms = 30
	modelStoreMs       ms = 20
	modelAnnounceLimit ms = 300
	// modelLeadCores is the processor time that leading takes, and modelCallerCores what the requests of callers take at
	// each process, in cores. modelLoadWork is what the start of a term takes, in core-milliseconds.
	modelLeadCores   = 0.2
	modelCallerCores = 0.04
	modelLoadWork    = 60.0
	// modelBacklogMax bounds what piles up at a VM, in core-milliseconds: calls are given up by then.
	modelBacklogMax = 800.0
)

// modelProc is a process of the model.
type modelProc struct {
	id     ccquorum.Voter
	region string
	cores  float64
	slow   float64
	dead   bool
	// backlog is the work that waits for the processor, in core-milliseconds.
	backlog float64

	pace       Pace
	measuredAt ms
	// slowPeers holds the other processes that run slowly, as the leader has told.
	slowPeers  map[string]float64
	lag        Lag
	terms      Terms
	token      int
	receivedMs ms
	replyAt    ms
	failure    Evidence
	failedAt   ms
	lead       *modelTerm
	// handedOver is the token of the last term that ended by choosing a successor, ended that of a leader which has told
	// this process of that.
	handedOver, ended int
	// calls is the number of the present call to the leader; replies to earlier ones are dropped.
	calls int
}

// modelTerm is a term of a leader.
type modelTerm struct {
	token       int
	began       ms
	term        *ccquorum.Term
	handover    *ccquorum.Handover
	loaded      bool
	recorded    bool
	resignation Resignation
	offer       *Offer
	// slow is the slowness that followers have reported.
	slow    map[string]float64
	reports map[string]*Reports
}

// model is a cell.
type model struct {
	rand    *rand.Rand
	now     ms
	procs   []*modelProc
	events  modelEvents
	demand  float64
	without bool
	record  struct {
		token   int
		leader  *modelProc
		voters  []ccquorum.Voter
		settled bool
		demoted []Demotion
	}
	// changes holds the times at which a leader was replaced, placed the number of stages placed in each tenth of a
	// second.
	changes []ms
	placed  []int
	made    int
	debt    float64
}

type modelEvent struct {
	at ms
	n  int
	do func()
}

// modelEvents is a heap by time, and for the same time in the order of their making.
type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].n < e[b].n
}
func (e modelEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newModel returns a cell whose first process leads.
func newModel(seed uint64, cores []float64) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 1)), now: 10_000, demand: modelLeadCores}
	for i, c := range cores {
		p := &modelProc{id: ccquorum.Voter{VM: fmt.Sprintf("vm%02d", i), StartMs: 1}, region: fmt.Sprint("r", i%modelRegions), cores: c, slow: 1}
		m.procs = append(m.procs, p)
		m.record.voters = append(m.record.voters, p.id)
	}
	m.record.settled = true
	for _, p := range m.procs {
		p.token = 0
	}
	m.win(m.procs[0])
	m.changes = nil
	for _, p := range m.procs[1:] {
		m.observe(p, 1, nil)
	}
	return m
}

func (m *model) after(d ms, do func()) {
	m.made++
	heap.Push(&m.events, modelEvent{m.now + max(d, 1), m.made, do})
}

// rate is the processor time that a process gets, in cores.
func (p *modelProc) rate() float64 {
	return p.cores / p.slow
}

// delay returns how long a message waits at a process until it is handled.
func (p *modelProc) delay() ms {
	return ms((p.backlog + 0.3) / p.rate())
}

// trip returns the time of a message between two processes.
func (m *model) trip(a, b *modelProc) ms {
	if a.region != b.region {
		return ms(10 + m.rand.IntN(5))
	}
	return ms(1 + m.rand.IntN(4))
}

// deliver runs do when a process has handled a message from another, unless either has died meanwhile.
func (m *model) deliver(from, to *modelProc, do func()) {
	m.after(m.trip(from, to), func() {
		if !to.dead {
			m.after(to.delay(), func() {
				if !to.dead {
					do()
				}
			})
		}
	})
}

// observe records that a process has learned of a leader.
func (m *model) observe(p *modelProc, token int, demoted []Demotion) {
	if token <= p.token {
		return
	}
	p.token, p.replyAt, p.receivedMs, p.failure = token, 0, 0, Evidence{}
	p.calls++
	p.terms.Began(int64(token), m.now)
	p.terms.Adopt(demoted, m.now)
	p.lead = nil
	m.after(1, func() { m.follow(p) })
}

// leaderOf returns the process that a process follows, nil if it has ended.
func (m *model) leaderOf(p *modelProc) *modelProc {
	for _, x := range m.procs {
		if !x.dead && x.lead != nil && x.lead.token == p.token {
			return x
		}
	}
	return nil
}

// follow calls the leader.
func (m *model) follow(p *modelProc) {
	if p.dead || p.lead != nil {
		return
	}
	m.measure(p)
	p.calls++
	call, token := p.calls, p.token
	current := func() bool { return !p.dead && p.lead == nil && p.calls == call }
	again := func(after ms) {
		m.after(after, func() {
			if current() {
				m.follow(p)
			}
		})
	}
	if l := m.leaderOf(p); l != nil {
		received, slowness := p.receivedMs, p.reported(m)
		m.deliver(p, l, func() {
			t := l.lead
			if t == nil || t.token != token {
				return
			}
			if t.reports[p.id.VM].Add(slowness) {
				t.slow[p.id.VM] = slowness
			} else {
				delete(t.slow, p.id.VM)
			}
			c := Candidate{VM: p.id.VM, Region: p.region, Cores: p.cores, Slowness: slowness, ReportedAt: received, Demoted: l.terms.Demoted(p.id.VM, m.now)}
			if received > 0 {
				t.term.Confirm(p.id, received)
			}
			m.after(modelReplyAfter, func() {
				if l.dead || l.lead != t {
					return
				}
				slow := map[string]float64{}
				maps.Copy(slow, t.slow)
				sent, chosen := m.now, t.offer != nil && t.offer.Accepts(&c)
				if chosen {
					l.lead, l.handedOver = nil, t.token
					m.after(1, func() { m.follow(l) })
				}
				m.deliver(l, p, func() {
					if !current() {
						return
					}
					p.receivedMs, p.replyAt, p.failure, p.slowPeers = sent, m.now, Evidence{}, slow
					if chosen {
						for range 3 {
							p.measuredAt = 0
							m.measure(p)
						}
						p.failure, p.ended, p.failedAt = Evidence{Failure: Resigns, Misses: 1}, token, m.now
						if p.slowness(m) >= SlowFrom {
							p.failure.Failure = Ended
						}
						m.campaign(p, again)
						return
					}
					again(1)
				})
			})
		})
	}
	for _, x := range m.procs {
		// A process that has chosen a successor says so.
		if x != p && !x.dead && x.lead == nil && x.handedOver == token && m.leaderOf(p) == nil && token > 0 {
			m.deliver(p, x, func() {
				m.deliver(x, p, func() {
					if current() {
						p.failure.Misses, p.failedAt, p.failure.Failure, p.ended = 1, m.now, Ended, token
						m.campaign(p, again)
					}
				})
			})
		}
	}
	m.after(modelCallTimeout+p.delay(), func() {
		if !current() {
			return
		}
		if p.failure.Misses++; p.failure.Misses == 1 {
			p.failedAt = m.now
		}
		p.failure.Failure = Silent
		m.campaign(p, again)
	})
}

// reported returns the slowness that a process reports to the leader.
func (p *modelProc) reported(m *model) float64 {
	if m.without {
		return 1
	}
	return p.pace.LastSlowness()
}

// slowness returns the slowness by which a process decides itself.
func (p *modelProc) slowness(m *model) float64 {
	if m.without {
		return 1
	}
	return p.pace.Slowness()
}

// rank returns the position of a process among the candidates.
func (m *model) rank(p *modelProc) int {
	var list []Candidate
	home := m.record.leader.region
	for _, x := range m.procs {
		if x == m.record.leader {
			continue
		}
		c := Candidate{VM: x.id.VM, Region: x.region, Cores: x.cores, Demoted: p.terms.Demoted(x.id.VM, m.now) && !m.without}
		if !m.without {
			c.Slowness = p.slowPeers[x.id.VM]
		}
		if x == p {
			c.Slowness = 1
			if s := p.slowness(m); s >= SlowFrom {
				c.Slowness = s
			}
		}
		list = append(list, c)
	}
	Order(list, home)
	for i := range list {
		if list[i].VM == p.id.VM {
			return i
		}
	}
	return len(list)
}

// campaign waits for the turn of a process, and then replaces the leader unless it is kept.
func (m *model) campaign(p *modelProc, again func(ms)) {
	call, chosen := p.calls, p.failure.Failure == Resigns
	rank := m.rank(p)
	switch {
	case chosen:
		rank = 0
	case p.failure.Failure == Ended:
		rank += 4
	}
	wait := p.failedAt + ms(rank)*modelRankDelay - m.now
	if wait > modelTurnTimeout {
		again(modelTurnTimeout + modelRetry)
		return
	}
	m.after(wait+modelStoreMs+p.delay(), func() {
		if p.dead || p.calls != call || p.token < m.record.token {
			if !p.dead && p.calls == call {
				m.observe(p, m.record.token, m.record.demoted)
			}
			return
		}
		read := m.record.token
		ask := m.askContacts
		if !p.failure.NeedsContacts() {
			ask = func(_ *modelProc, do func(asked, answered, reached int)) { do(0, 0, 0) }
		}
		ask(p, func(asked, answered, reached int) {
			if p.dead || p.calls != call {
				return
			}
			e := p.failure
			e.ForMs, e.Asked, e.Answered, e.Reached = m.now-p.failedAt, asked, answered, reached
			e.OwnSlow, e.Patience = p.slowness(m) >= SlowFrom, p.terms.Patience(m.now)
			if m.without {
				e.OwnSlow, e.Patience, e.Answered = false, 0, asked
			}
			if e.Keep() != "" {
				again(modelRetry)
				return
			}
			m.after(modelStoreMs+p.delay(), func() {
				if p.dead || p.calls != call || m.record.token != read {
					again(modelRetry)
					return
				}
				m.win(p)
			})
		})
	})
}

// askContacts asks three processes for their contact with the leader.
func (m *model) askContacts(p *modelProc, do func(asked, answered, reached int)) {
	var asked, answered, reached int
	for _, i := range m.rand.Perm(len(m.procs)) {
		x := m.procs[i]
		if x == p || x == m.record.leader || asked == 3 {
			continue
		}
		asked++
		began := m.now
		m.deliver(p, x, func() {
			slow, token, replyAt := x.slowness(m) >= SlowFrom, x.token, x.replyAt
			has := token == p.token && replyAt > 0 && m.now-replyAt < modelContactMs
			m.deliver(x, p, func() {
				if m.now-began > 150 {
					return
				}
				if !slow {
					answered++
				}
				if has {
					reached++
				}
			})
		})
	}
	m.after(150+p.delay(), func() { do(asked, answered, reached) })
}

// win lets a process replace the leader.
func (m *model) win(p *modelProc) {
	prior := m.record.leader
	now := m.now
	if prior != nil && p.failure.Failure != Dead {
		p.terms.Demote(prior.id.VM, now)
	}
	m.record.token++
	m.record.leader = p
	m.changes = append(m.changes, now)
	m.observe(p, m.record.token, nil)
	t := &modelTerm{
		token: m.record.token, began: now, term: ccquorum.NewTerm(p.id, modelAuthority, m.record.voters, now), slow: map[string]float64{}, reports: map[string]*Reports{},
		handover: ccquorum.NewHandover(m.record.voters, m.record.settled, modelAuthority, now),
	}
	m.record.settled = false
	for _, x := range m.procs {
		t.reports[x.id.VM] = &Reports{}
	}
	p.lead = t
	p.backlog += modelLoadWork
	t.handover.Follows(p.id, now)
	if prior == nil || p.ended == t.token-1 {
		t.handover.PriorLeaderEnded(now)
	}
	demoted := p.terms.Demotions(now)
	m.record.demoted = demoted
	for _, x := range m.procs {
		if x != p {
			m.announce(p, t, x, x == prior, demoted, 50)
		}
	}
	m.after(p.delay(), func() { t.loaded = true })
	m.confirm(p, t)
}

// announce tells a process of a term, again until it replies.
func (m *model) announce(p *modelProc, t *modelTerm, x *modelProc, isPrior bool, demoted []Demotion, retry ms) {
	if p.dead || p.lead != t {
		return
	}
	replied := false
	m.deliver(p, x, func() {
		m.observe(x, t.token, demoted)
		m.deliver(x, p, func() {
			if p.lead != t || replied || x.token > t.token {
				return
			}
			replied = true
			t.handover.Follows(x.id, m.now)
			if isPrior {
				t.handover.PriorLeaderEnded(m.now)
			}
		})
	})
	m.after(modelAnnounceLimit+retry, func() {
		if !replied {
			m.announce(p, t, x, isPrior, demoted, min(2*retry, 1000))
		}
	})
}

// confirm reads the leader record again and again.
func (m *model) confirm(p *modelProc, t *modelTerm) {
	if p.dead || p.lead != t {
		return
	}
	sent := m.now
	m.after(modelStoreMs, func() {
		won := m.record.token
		m.after(p.delay(), func() {
			if p.dead || p.lead != t {
				return
			}
			if won > t.token {
				m.observe(p, won, m.record.demoted)
				return
			}
			t.term.ConfirmByStore(sent)
			if !t.recorded && m.now >= t.handover.EndsAt() {
				t.recorded, m.record.settled = true, true
			}
			m.after(250, func() { m.confirm(p, t) })
		})
	})
}

// acting returns the leader that may give orders, nil for none.
func (m *model) acting() *modelProc {
	for _, p := range m.procs {
		if t := p.lead; !p.dead && t != nil && t.loaded && m.now >= t.handover.EndsAt() && m.now < t.term.Authority() {
			return p
		}
	}
	return nil
}

// step advances the time by 1 ms at a time.
func (m *model) step(d ms) {
	for end := m.now + d; m.now < end; {
		m.now++
		for len(m.events) > 0 && m.events[0].at <= m.now {
			heap.Pop(&m.events).(modelEvent).do()
		}
		for _, p := range m.procs {
			if p.dead {
				continue
			}
			p.backlog += modelCallerCores
			if t := p.lead; t != nil {
				p.backlog += m.demand
				m.succession(p, t)
			}
			p.backlog = min(p.backlog, modelBacklogMax)
			p.backlog = max(0, p.backlog-p.rate())
		}
		if p := m.acting(); p != nil {
			// A leader that gets a part of the time that it needs places a part of the stages.
			m.debt += 0.06 * min(1, p.rate()/m.demand)
		}
		if m.now%100 == 0 {
			m.placed = append(m.placed, int(m.debt))
			m.debt -= float64(int(m.debt))
		}
	}
}

// measure lets a process measure its pace. One measurement in twenty is interrupted.
func (m *model) measure(p *modelProc) {
	if m.now-p.measuredAt < modelPaceInterval {
		return
	}
	p.measuredAt = m.now
	d := time.Duration(10*p.slow/p.cores*float64(time.Microsecond)) * time.Duration(90+m.rand.IntN(20)) / 100
	if m.rand.IntN(20) == 0 {
		d *= 5
	}
	p.pace.Observe(d)
}

// succession is the decision of a leader to hand over, every 40 ms.
func (m *model) succession(p *modelProc, t *modelTerm) {
	if m.now%40 != 0 || m.without {
		return
	}
	m.measure(p)
	p.lag.Observe(p.delay(), m.now)
	s := State{
		Region: p.region, Cores: p.cores, Slowness: p.pace.Slowness(), Lag: p.lag.Ms(m.now), AgeMs: m.now - t.began, Settled: t.recorded,
		StoreReached: true, Patience: p.terms.Patience(m.now),
	}
	t.offer = t.resignation.Offer(&s, m.now)
}

// longestGap returns the longest time, in tenths of a second, in which no stage was placed.
func (m *model) longestGap() int {
	longest, gap := 0, 0
	for _, n := range m.placed {
		if gap++; n > 0 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}
