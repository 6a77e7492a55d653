package ccquorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fault injects a random fault.
func (m *model) fault() {
	p := m.processes[m.draw(modelProcesses, "process")]
	other := m.processes[m.draw(modelProcesses, "other")]
	w := m.workers[m.draw(modelWorkers, "worker")]
	switch m.draw(15, "fault") {
	case 0:
		p.up, p.lead, p.suspended = false, nil, false
	case 1:
		if !p.up {
			m.starts++
			p.id.StartMs, p.up = m.starts, true
			p.token, p.receivedAt, p.lead, p.endedToken, p.slow = m.draw(m.record.token+1, "tokenAfterRestart"), 0, nil, 0, false
		}
	case 2:
		if p.up && !p.suspended {
			p.suspended, p.suspendedAt = true, m.now
		}
	case 3:
		if p.suspended {
			p.suspended = false
			p.lostMs += m.now - p.suspendedAt
			if p.lead != nil {
				p.lead.term.Invalidate(m.clock(p))
			}
		}
	case 4, 5:
		key := [2]string{p.id.VM, other.id.VM}
		m.blocked[key] = !m.blocked[key]
	case 6:
		m.cut[p.id.VM] = !m.cut[p.id.VM]
	case 7:
		m.storeDown = !m.storeDown
	case 8:
		p.slow = !p.slow
	case 9:
		for _, x := range m.processes {
			if x.lead != nil {
				x.slow = true // Leaders are slow the most often, since they have the most work.
			}
		}
	case 10:
		m.starts++
		w.startMs, w.token = m.starts, 0
	case 11:
		key := [2]string{p.id.VM, w.place}
		m.blocked[key] = !m.blocked[key]
	case 13:
		m.replaceWorker(w, w.address)
	case 14:
		m.replaceWorker(w, fmt.Sprintf("a%d", modelWorkers+m.starts))
	case 12:
		// All VMs but one or two are lost, and none comes back soon.
		for i, x := range m.processes {
			if i%modelProcesses != m.draw(modelProcesses, "survivor") {
				x.up, x.lead, x.suspended = false, nil, false
			}
		}
	}
}

// replaceWorker lets another worker take the place of one, at an address.
func (m *model) replaceWorker(w *modelWorker, address string) {
	m.starts++
	w.id, w.address, w.startMs, w.token = fmt.Sprintf("w%d", m.starts), address, m.starts, 0
	m.addresses[w.id] = address
}

// partition cuts the processes into two groups, the larger of which may be cut off from the store. It lasts for longer than
// MaxWithoutStoreMs.
func (m *model) partition() {
	m.blocked, m.cut = map[[2]string]bool{}, map[string]bool{}
	minority := 1 + m.draw(modelProcesses/2, "minority")
	first := m.draw(modelProcesses, "first")
	inMinority := func(i int) bool { return (i-first+modelProcesses)%modelProcesses < minority }
	storeForAll := m.draw(3, "storeForAll") == 0
	for i, p := range m.processes {
		m.cut[p.id.VM] = !inMinority(i) && !storeForAll
		for k, w := range m.workers {
			if (k < modelWorkers/2) != inMinority(i) && m.draw(3, "workersToo") > 0 {
				m.blocked[[2]string{p.id.VM, w.place}] = true
			}
		}
		for k, other := range m.processes {
			// One process of the majority may reach the minority.
			if inMinority(i) != inMinority(k) && (i+k)%modelProcesses != first {
				m.blocked[[2]string{p.id.VM, other.id.VM}] = true
			}
		}
	}
	m.storeDown = false
}

// TestOneLeaderActs injects faults into processes, connections and the store while processes campaign, and checks that no
// two leaders have authority at the same time.
func TestOneLeaderActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: 10_000, cut: map[string]bool{}, blocked: map[[2]string]bool{}, addresses: map[string]string{}}
		for i := range modelProcesses {
			m.processes = append(m.processes, &modelProcess{id: Voter{VM: fmt.Sprintf("vm%d", i)}, up: true})
		}
		for i := range modelWorkers {
			w := &modelWorker{place: fmt.Sprintf("w%d", i), address: fmt.Sprintf("a%d", i)}
			m.workers = append(m.workers, w)
			m.replaceWorker(w, w.address)
		}
		stableRounds := 0
		for range 130 {
			p := m.processes[m.draw(modelProcesses, "actor")]
			switch {
			case stableRounds > 0:
				stableRounds--
			case m.draw(25, "partition") == 0:
				m.partition()
				stableRounds = 60
			case m.draw(4, "what") == 0:
				m.fault()
			}
			// The usual traffic between processes goes on unless faults prevent it.
			for _, x := range m.processes {
				if !x.up || x.suspended {
					continue
				}
				if x.lead == nil {
					m.sync(x)
					continue
				}
				m.confirm(x.lead)
				for _, w := range m.workers {
					m.poll(x.lead, w)
				}
				m.useReplies(x.lead)
				for _, to := range m.processes {
					if to != x && to.token < x.lead.token || to.id.VM == x.lead.prior.VM {
						m.announce(x.lead, to)
					}
				}
			}
			if p.up && !p.suspended {
				switch {
				case p.lead != nil:
					m.recordVoters(p.lead)
					m.recordRoster(p.lead)
				case m.draw(5, "campaign") == 0:
					m.campaign(p)
				}
			}
			d := ms(5 + m.draw(300, "time"))
			if stableRounds > 0 {
				d = ms(150 + m.draw(250, "stableTime"))
			}
			m.step(d)
		}
	})
}
