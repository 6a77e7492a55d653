package ccquorum

import (
	"fmt"

	"pgregory.net/rapid"
)

const (
	modelProcesses       = 5
	modelWorkers         = 4
	modelAuthorityMs  ms = 700
	maxMessageDelayMs    = 2500
)

// modelRecord is the leader record in the store.
type modelRecord struct {
	leader      Voter
	token       int
	voters      []Voter
	votersToken int
	revision    int
	// roster is a record of its own.
	roster         Incarnations
	rosterRevision int
}

// modelWorker is a worker, which keeps the highest token that it has seen until it restarts. Another one may take its place.
type modelWorker struct {
	// place names the worker in links that are cut. Only one worker has an address at a time.
	place, id, address string
	startMs            int64
	token              int
}

// modelReply is the last reply of a worker to a leader: its incarnation, and when the call was sent.
type modelReply struct {
	startMs int64
	at      ms
}

// modelProcess is a process that follows a leader, or leads.
type modelProcess struct {
	id          Voter
	up          bool
	suspended   bool
	suspendedAt ms
	// lostMs is the time that the clock of the process did not count.
	lostMs ms
	// token is the highest token that the process has seen; receivedAt is the leader's time of the last reply from that
	// leader.
	token      int
	receivedAt ms
	lead       *modelLead
	// slow is true while the process handles messages late, and its calls leave late.
	slow bool
	// endedToken is the token of a leader that has told this process that its term has ended.
	endedToken int
}

// modelLead is the term of a process.
type modelLead struct {
	p        *modelProcess
	token    int
	term     *Term
	handover *Handover
	revision int
	prior    Voter
	writing  bool
	// rosterRevision is the expected revision of the roster; replies holds the last reply of each worker.
	rosterRevision int
	writingRoster  bool
	replies        map[string]modelReply
	// answering has the ID of the worker that has replied last at an address.
	answering map[string]string
}

// modelEvent is something that happens later, such as the arrival of a message.
type modelEvent struct {
	at ms
	do func()
}

// model holds the processes, the store and the messages under way.
type model struct {
	t         *rapid.T
	now       ms
	processes []*modelProcess
	workers   []*modelWorker
	record    modelRecord
	storeDown bool
	// cut holds the processes that don't reach the store, blocked the pairs of processes without a connection.
	cut     map[string]bool
	blocked map[[2]string]bool
	events  []modelEvent
	starts  int64
	// addresses has the addresses of all workers that there have been, by ID.
	addresses map[string]string
}

func (m *model) draw(n int, what string) int {
	return rapid.IntRange(0, n-1).Draw(m.t, what)
}

// clock returns the time on the clock of a process.
func (m *model) clock(p *modelProcess) ms {
	if p.suspended {
		return p.suspendedAt - p.lostMs
	}
	return m.now - p.lostMs
}

// later runs do after a random delay, usually a short one.
func (m *model) later(do func()) {
	d := ms(1 + m.draw(40, "delay"))
	if m.draw(8, "late") == 0 {
		d = ms(1 + m.draw(maxMessageDelayMs, "longDelay"))
	}
	m.events = append(m.events, modelEvent{m.now + d, do})
}

// laterAt runs do when a process handles a message: after a random delay, which is long for a slow process.
func (m *model) laterAt(p *modelProcess, do func()) {
	if !p.slow {
		m.later(do)
		return
	}
	m.events = append(m.events, modelEvent{m.now + ms(200+m.draw(maxMessageDelayMs, "slowDelay")), do})
}

// running reports whether a process is still the given one and handles messages.
func (m *model) running(p *modelProcess, id Voter) bool {
	return p.up && !p.suspended && p.id == id
}

func (m *model) connected(a, b *modelProcess) bool {
	return !m.blocked[[2]string{a.id.VM, b.id.VM}] && !m.blocked[[2]string{b.id.VM, a.id.VM}]
}

func (m *model) reachesStore(p *modelProcess) bool {
	return !m.storeDown && !m.cut[p.id.VM]
}

// observe records that a process has seen a token. A term of its own with a lower token ends.
func (m *model) observe(p *modelProcess, token int) {
	if token > p.token {
		p.token, p.receivedAt = token, 0
	}
	if p.lead != nil && p.lead.token < p.token {
		p.lead = nil
	}
}

// sync is a call of a process to the leader that it follows, and the reply.
func (m *model) sync(p *modelProcess) {
	id, token, received := p.id, p.token, p.receivedAt
	for _, x := range m.processes {
		l := x.lead
		if l == nil || l.token != token || x == p || !m.connected(p, x) {
			continue
		}
		m.laterAt(x, func() {
			if !m.running(x, x.id) || x.lead != l {
				return
			}
			if received > 0 {
				l.term.Confirm(id, received)
			}
			if x.slow && m.draw(4, "handOver") == 0 {
				m.handOver(l, p, id)
				return
			}
			stamp := m.clock(x)
			m.laterAt(p, func() {
				if m.running(p, id) && p.token == token {
					p.receivedAt = max(p.receivedAt, stamp)
				}
			})
		})
	}
}

// handOver is the end of the term of a slow leader in favour of a process, which replaces it unless another one has.
func (m *model) handOver(l *modelLead, to *modelProcess, id Voter) {
	l.p.lead = nil
	m.laterAt(to, func() {
		if m.running(to, id) && to.token == l.token {
			to.endedToken = l.token
			m.campaign(to)
		}
	})
}

// announce tells a process of a leader; the reply tells the leader that the process follows it.
func (m *model) announce(l *modelLead, to *modelProcess) {
	if !m.connected(l.p, to) {
		return
	}
	m.laterAt(to, func() {
		if l.p.lead != l {
			return
		}
		if !to.up {
			// The VM refuses the connection, so its process has ended.
			if l.prior == to.id {
				l.handover.PriorLeaderEnded(m.clock(l.p))
			}
			l.handover.Ended(to.id, m.clock(l.p))
			return
		}
		if to.suspended {
			return
		}
		m.observe(to, l.token)
		id, follows := to.id, to.token == l.token
		m.laterAt(l.p, func() {
			if l.p.lead != l || l.p.suspended || !follows {
				return
			}
			l.handover.Follows(id, m.clock(l.p))
			if id.VM == l.prior.VM {
				l.handover.PriorLeaderEnded(m.clock(l.p))
			}
		})
	})
}

// campaign is an attempt of a process to replace the leader.
func (m *model) campaign(p *modelProcess) {
	if !m.reachesStore(p) {
		return
	}
	id, read, sent := p.id, m.record, m.clock(p)
	m.later(func() {
		if m.storeDown || m.record.revision != read.revision || read.token < p.token {
			return
		}
		votersToken := read.votersToken
		if read.token == 0 {
			votersToken = 1
		}
		m.record.leader, m.record.token, m.record.votersToken, m.record.revision = id, read.token+1, votersToken, read.revision+1
		won := m.record
		m.laterAt(p, func() {
			if !m.running(p, id) || p.token >= won.token {
				return
			}
			ended := p.endedToken == read.token && read.token > 0
			m.observe(p, won.token)
			now := m.clock(p)
			p.lead = &modelLead{
				p: p, token: won.token, revision: won.revision, prior: read.leader, term: NewTerm(id, modelAuthorityMs, won.voters, sent),
				handover:       NewHandover(won.voters, read.votersToken == read.token, modelAuthorityMs, now),
				rosterRevision: won.rosterRevision, replies: map[string]modelReply{}, answering: map[string]string{},
			}
			// The prior leader may have written a roster between the read and the write of the record, but none since.
			p.lead.term.RecordedWorkers(won.roster)
			p.lead.handover.AwaitWorkers(won.roster, true)
			p.lead.handover.Follows(id, now)
			if ended {
				p.lead.handover.PriorLeaderEnded(now)
			}
		})
	})
}

// confirm is a read of the record by a leader.
func (m *model) confirm(l *modelLead) {
	if !m.reachesStore(l.p) {
		return
	}
	sent, id := m.clock(l.p), l.p.id
	m.later(func() {
		if m.storeDown {
			return
		}
		read := m.record
		m.laterAt(l.p, func() {
			if !m.running(l.p, id) || l.p.lead != l {
				return
			}
			m.observe(l.p, read.token)
			if read.token == l.token && read.revision >= l.revision && !l.writing {
				l.term.ConfirmByStore(sent)
			}
		})
	})
}

// recordVoters is a write of the voters by a leader whose handover is complete. Its reply may be lost.
func (m *model) recordVoters(l *modelLead) {
	if m.clock(l.p) < l.handover.EndsAt() || l.writing || !m.reachesStore(l.p) {
		return
	}
	var list []Voter
	for _, p := range m.processes {
		if p.up && m.draw(3, "leftOut") > 0 {
			list = append(list, p.id)
		}
	}
	sent, id, revision := m.clock(l.p), l.p.id, l.revision
	l.term.Propose(list)
	l.writing = true
	lost := m.draw(4, "lost") == 0
	m.later(func() {
		done := !m.storeDown && m.record.revision == revision
		if done {
			m.record.voters, m.record.votersToken, m.record.revision = list, l.token, revision+1
		}
		found := m.record
		m.later(func() {
			if !m.running(l.p, id) || l.p.lead != l {
				return
			}
			l.writing = false
			switch {
			case lost:
				return
			case done:
				l.revision = revision + 1
				l.term.Recorded(list)
				l.term.ConfirmByStore(sent)
			case found.token == l.token && found.revision > revision:
				l.revision = found.revision // An earlier write whose reply was lost was carried out.
				l.term.Recorded(found.voters)
			default:
				m.observe(l.p, found.token)
			}
		})
	})
}

// poll is a call of a leader to a worker, and the reply.
func (m *model) poll(l *modelLead, w *modelWorker) {
	blocked := func() bool { return m.blocked[[2]string{l.p.id.VM, w.place}] }
	if blocked() {
		return
	}
	sent, id := m.clock(l.p), l.p.id
	m.later(func() {
		if blocked() || w.token > l.token {
			if w.token > l.token {
				m.later(func() {
					if l.p.lead == l {
						l.p.lead = nil
					}
				})
			}
			return
		}
		w.token = l.token
		startMs, worker, address := w.startMs, w.id, w.address
		m.laterAt(l.p, func() {
			if !m.running(l.p, id) || l.p.lead != l {
				return
			}
			if last := l.replies[worker]; startMs >= last.startMs {
				l.replies[worker] = modelReply{startMs, max(sent, last.at)}
			}
			l.answering[address] = worker
		})
	})
}

// useReplies tells the term and the handover of a leader what its workers have replied.
func (m *model) useReplies(l *modelLead) {
	l.term.ConfirmByWorkers(func(id string, startMs int64) ms {
		if r := l.replies[id]; r.startMs == startMs {
			return r.at
		}
		return 0
	})
	l.handover.ReachWorkers(func(id string, _ int64) bool {
		other, answered := l.answering[m.addresses[id]]
		return l.replies[id].at > 0 || (answered && other != id)
	}, m.clock(l.p))
}

// recordRoster is a write of the roster by a leader whose handover is complete. Its reply may be lost, and it may be carried
// out late.
func (m *model) recordRoster(l *modelLead) {
	if m.clock(l.p) < l.handover.EndsAt() || l.writingRoster || !m.reachesStore(l.p) {
		return
	}
	list := Incarnations{}
	for _, w := range m.workers {
		if m.draw(4, "workerLeftOut") > 0 {
			list[w.id] = w.startMs
		}
	}
	id, revision, rosterRevision := l.p.id, l.revision, l.rosterRevision
	l.term.ProposeWorkers(list)
	l.writingRoster = true
	lost := m.draw(4, "rosterLost") == 0
	m.later(func() {
		done := !m.storeDown && m.record.revision == revision && m.record.rosterRevision == rosterRevision
		if done {
			m.record.roster, m.record.rosterRevision = list, rosterRevision+1
		}
		found := m.record.rosterRevision
		m.later(func() {
			if !m.running(l.p, id) || l.p.lead != l {
				return
			}
			l.writingRoster = false
			switch {
			case lost:
			case done:
				l.rosterRevision = found
				l.term.RecordedWorkers(list)
			default:
				l.rosterRevision = found // An earlier write whose reply was lost was carried out.
			}
		})
	})
}

// step advances the time by 1 ms at a time, so that the invariant is checked between all events.
func (m *model) step(d ms) {
	for end := m.now + d; m.now < end; {
		m.now++
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at <= m.now {
				e.do()
			} else {
				m.events = append(m.events, e)
			}
		}
		if m.now%20 == 0 || len(due) > len(m.events) {
			m.check()
		}
	}
}

// check fails the test if two processes have authority.
func (m *model) check() {
	var acting []string
	for _, p := range m.processes {
		l := p.lead
		if l == nil || !p.up || p.suspended {
			continue
		}
		if now := m.clock(p); now >= l.handover.EndsAt() && now < l.term.Authority() {
			acting = append(acting, fmt.Sprintf("%s with token %d", p.id.VM, l.token))
		}
	}
	if len(acting) > 1 {
		m.t.Fatalf("at %d ms several leaders have authority: %v", m.now, acting)
	}
}
