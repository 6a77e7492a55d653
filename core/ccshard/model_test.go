package ccshard

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"coriandercross/core/ccclock"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("400")
	}
	os.Exit(m.Run())
}

// model is several managers with one store and a network that loses, duplicates, delays and reorders messages. Which
// processes a manager takes to be alive is drawn at random; only the evidence that a process is dead is always true.
type model struct {
	t     *rapid.T
	now   ccclock.Millis
	table Table
	procs []*proc
	// storeUp is false while the store rejects every call.
	storeUp   bool
	calls     []*storeCall
	messages  []*message
	shards    []string
	procCount int
	// authorityUntil is the end of the latest authority of each process, by shard and process ID.
	authorityUntil map[string]map[string]ccclock.Millis
	// authorityCount counts how often a process had authority over a shard, and ownerChanges how often the last process
	// with authority over the shard was another one.
	authorityCount int
	ownerChanges   int
	lastOwner      map[string]string
	cfg            Config
}

// proc is one process with its own clock.
type proc struct {
	id      string
	manager *Manager
	offset  ccclock.Millis
	// ppm is the rate error of the clock in parts per million.
	ppm      int64
	dead     bool
	paused   bool
	draining bool
	call     *storeCall
}

// storeCall is a call to the store that is in flight.
type storeCall struct {
	p       *proc
	write   *Table
	sentAt  ccclock.Millis
	applied bool
	reply   Table
	ok      bool
	// timedOut is true once the caller no longer waits for the reply.
	timedOut bool
}

// message is a grant request or the reply to one, in flight.
type message struct {
	from, to    string
	epochs      []ShardEpoch
	requestedAt ccclock.Millis
	reply       bool
}

// local returns the time of the process's clock.
func (p *proc) local(now ccclock.Millis) ccclock.Millis {
	return p.offset + now + now*ccclock.Millis(p.ppm)/1_000_000
}

// global converts a time of the process's clock to the model's time, rounded up.
func (p *proc) global(local ccclock.Millis) ccclock.Millis {
	return (local-p.offset)*1_000_000/ccclock.Millis(1_000_000+p.ppm) + 1
}

func newModel(t *rapid.T, cfg Config) *model {
	m := &model{t: t, now: 1_000, storeUp: true, shards: []string{"rack:a", "rack:b", "jobs:00"}, authorityUntil: map[string]map[string]ccclock.Millis{}, cfg: cfg, lastOwner: map[string]string{}}
	for range 4 {
		m.spawn()
	}
	return m
}

// spawn starts a process on a new VM.
func (m *model) spawn() {
	m.procCount++
	cfg := m.cfg
	cfg.Self = fmt.Sprintf("p%d", m.procCount)
	r := rand.New(rand.NewPCG(uint64(m.procCount), 7))
	p := &proc{id: cfg.Self, manager: NewManager(cfg), offset: ccclock.Millis(r.Int64N(100_000)), ppm: r.Int64N(10_000) - 5_000}
	m.procs = append(m.procs, p)
}

// running returns the processes that are neither dead nor paused.
func (m *model) running() []*proc {
	var out []*proc
	for _, p := range m.procs {
		if !p.dead && !p.paused {
			out = append(out, p)
		}
	}
	return out
}

func (m *model) find(id string) *proc {
	for _, p := range m.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

// pickRunning draws a running process, or skips the action.
func (m *model) pickRunning() *proc {
	running := m.running()
	if len(running) == 0 {
		m.t.Skip("no running process")
	}
	return running[rapid.IntRange(0, len(running)-1).Draw(m.t, "proc")]
}

// startPlan runs one iteration of a process's control loop up to its call to the store. Which other processes it takes
// to be alive is drawn at random.
func (m *model) startPlan() {
	p := m.pickRunning()
	if p.call != nil {
		m.t.Skip("call in flight")
	}
	now := p.local(m.now)
	view := PlanInput{Shards: m.shards, Draining: p.draining, Busy: func(string) bool { return false }, Dead: func(id string) bool {
		q := m.find(id)
		return q != nil && q.dead
	}}
	belief := rapid.Uint32().Draw(m.t, "belief")
	for i, q := range m.procs {
		if q == p || belief>>(i%32)&1 == 1 && !q.dead {
			view.Candidates = append(view.Candidates, Candidate{ID: q.id, FailureDomain: fmt.Sprint(i % 2), Leaving: q.draining})
		}
	}
	changes := p.manager.Plan(view, now)
	if len(changes) > 0 {
		next := m.tableOf(p).Apply(changes)
		p.call = &storeCall{p: p, write: &next, sentAt: now}
	} else {
		p.call = &storeCall{p: p, sentAt: now}
	}
	m.calls = append(m.calls, p.call)
}

// tableOf returns the table that a process bases a write on: the newest records that it knows.
func (m *model) tableOf(p *proc) *Table {
	t := Table{Version: p.manager.version, Records: map[string]Record{}}
	for name, s := range p.manager.shards {
		if s.rec.Epoch > 0 {
			t.Records[name] = s.rec
		}
	}
	// From a grant request a manager may know a newer record than the version that it has read. The store compares
	// versions, so the write has to start from the table as it was read.
	if t.Version == m.table.Version {
		t.Records = maps.Clone(m.table.Records)
	}
	if t.Records == nil {
		t.Records = map[string]Record{}
	}
	return &t
}

// executeCall executes a random call at the store.
func (m *model) executeCall() {
	var open []*storeCall
	for _, c := range m.calls {
		if !c.applied {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		m.t.Skip("no call in flight")
	}
	m.execute(open[rapid.IntRange(0, len(open)-1).Draw(m.t, "call")])
}

// execute applies one call to the table.
func (m *model) execute(c *storeCall) {
	c.applied = true
	c.ok = m.storeUp
	if !m.storeUp {
		return
	}
	if c.write != nil && c.write.Version == m.table.Version {
		m.table = Table{Version: m.table.Version + 1, Records: maps.Clone(c.write.Records)}
	} else if c.write != nil {
		c.ok = false
	}
	c.reply = Table{Version: m.table.Version, Records: maps.Clone(m.table.Records)}
}

// deliverAnyReply delivers a random reply in flight.
func (m *model) deliverAnyReply() {
	var replies []int
	for i, c := range m.calls {
		if c.applied && !c.p.paused {
			replies = append(replies, i)
		}
	}
	if len(replies) == 0 {
		m.t.Skip("no reply in flight")
	}
	m.deliverReply(replies[rapid.IntRange(0, len(replies)-1).Draw(m.t, "reply")])
}

// deliverReply delivers the reply to a call, unless its caller is dead or no longer waits.
func (m *model) deliverReply(i int) {
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	if c.timedOut || c.p.dead {
		return
	}
	c.p.call = nil
	if c.ok {
		c.p.manager.Observe(c.reply, c.sentAt, c.p.local(m.now))
	} else if c.write != nil {
		c.p.manager.WriteFailed()
	}
}

// timeOutCall makes a caller stop waiting for a call, which may still take effect.
func (m *model) timeOutCall() {
	for _, c := range m.calls {
		if c.timedOut || c.p.paused || c.p.dead {
			continue
		}
		c.timedOut = true
		c.p.call = nil
		if c.write != nil {
			c.p.manager.WriteInDoubt()
		}
		return
	}
	m.t.Skip("no call in flight")
}

// sendGrantRequests sends a process's grant requests to the successors.
func (m *model) sendGrantRequests() {
	p := m.pickRunning()
	requests := p.manager.GrantRequests()
	for _, successor := range slices.Sorted(maps.Keys(requests)) {
		epochs := requests[successor]
		slices.SortFunc(epochs, func(a, b ShardEpoch) int {
			return len(a.Shard)*256 + int(a.Shard[len(a.Shard)-1]) - len(b.Shard)*256 - int(b.Shard[len(b.Shard)-1])
		})
		m.messages = append(m.messages, &message{from: p.id, to: successor, epochs: epochs, requestedAt: p.local(m.now)})
	}
}

// deliver delivers a random message in flight; in one of five cases a copy stays in flight.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		m.t.Skip("no message in flight")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[i]
	to := m.find(msg.to)
	if to == nil || to.dead {
		m.messages = slices.Delete(m.messages, i, i+1)
		return
	}
	if to.paused {
		m.t.Skip("receiver is paused")
	}
	if rapid.IntRange(0, 4).Draw(m.t, "repeat") > 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if msg.reply {
		to.manager.RecordGrants(msg.from, msg.epochs, msg.requestedAt)
		return
	}
	granted := to.manager.Grant(msg.from, msg.epochs, to.local(m.now))
	m.messages = append(m.messages, &message{from: msg.to, to: msg.from, epochs: granted, requestedAt: msg.requestedAt, reply: true})
}

// planAndWrite runs startPlan, and executes and answers the call at once.
func (m *model) planAndWrite() {
	m.startPlan()
	c := m.calls[len(m.calls)-1]
	m.execute(c)
	m.deliverReply(len(m.calls) - 1)
}

// exchangeGrants sends a process's grant requests, which every successor answers at once.
func (m *model) exchangeGrants() {
	p := m.pickRunning()
	for successor, epochs := range p.manager.GrantRequests() {
		to := m.find(successor)
		if to == nil || to.dead || to.paused {
			continue
		}
		granted := to.manager.Grant(p.id, epochs, to.local(m.now))
		p.manager.RecordGrants(successor, granted, p.local(m.now))
	}
}

// loseMessage loses a random message.
func (m *model) loseMessage() {
	if len(m.messages) == 0 {
		m.t.Skip("no message in flight")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	m.messages = slices.Delete(m.messages, i, i+1)
}

// check examines the authority of every process: none may have authority over a shard while that of another may still
// last.
func (m *model) check() {
	for _, p := range m.procs {
		if p.dead || p.paused {
			continue
		}
		for _, name := range m.shards {
			a, err := p.manager.Authority(name, p.local(m.now))
			if err != nil {
				m.recordYield(p, name, err)
				continue
			}
			m.authorityCount++
			if m.lastOwner[name] != p.id && m.lastOwner[name] != "" {
				m.ownerChanges++
			}
			m.lastOwner[name] = p.id
			m.recordAuthority(p, name, a)
		}
	}
}

// recordYield ends the recorded authority of a process that gave it up before its end.
func (m *model) recordYield(p *proc, name string, err error) {
	if err == ErrReleasing || err == ErrNotOwner {
		if held := m.authorityUntil[name]; held != nil && held[p.id] > m.now {
			held[p.id] = m.now
		}
	}
}

// recordAuthority records an authority. It fails if the authority of another process over the shard may still last.
func (m *model) recordAuthority(p *proc, name string, a Authority) {
	if m.authorityUntil[name] == nil {
		m.authorityUntil[name] = map[string]ccclock.Millis{}
	}
	for id, until := range m.authorityUntil[name] {
		if id != p.id && until > m.now && !m.find(id).dead {
			m.t.Fatalf("at %d %s has authority over %s (epoch %d) while that of %s may last until %d", m.now, p.id, name, a.Epoch, id, until)
		}
	}
	m.authorityUntil[name][p.id] = p.global(a.Until)
}

// actions returns the steps that a run draws from. A step that occurs under several names is drawn more often.
func (m *model) actions() map[string]func(*rapid.T) {
	step := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) { m.t = t; f() }
	}
	return map[string]func(*rapid.T){
		"":           step(m.check),
		"tick":       step(m.startPlan),
		"turn":       step(m.planAndWrite),
		"turn2":      step(m.planAndWrite),
		"turn3":      step(m.planAndWrite),
		"round":      step(m.exchangeGrants),
		"round2":     step(m.exchangeGrants),
		"storeStep":  step(m.executeCall),
		"storeStep2": step(m.executeCall),
		"storeReply": step(m.deliverAnyReply),
		"reply2":     step(m.deliverAnyReply),
		"storeLose":  step(m.timeOutCall),
		"ask":        step(m.sendGrantRequests),
		"deliver":    step(m.deliver),
		"deliver2":   step(m.deliver),
		"drop":       step(m.loseMessage),
		"short":      step(func() { m.now += ccclock.Millis(rapid.IntRange(1, 120).Draw(m.t, "ms")) }),
		"medium":     step(func() { m.now += ccclock.Millis(rapid.IntRange(1, 700).Draw(m.t, "ms")) }),
		"long": step(func() {
			if rapid.IntRange(0, 2).Draw(m.t, "rare") == 0 {
				m.now += ccclock.Millis(rapid.IntRange(1, 4_000).Draw(m.t, "ms"))
			}
		}),
		"store": step(func() { m.storeUp = rapid.IntRange(0, 3).Draw(m.t, "up") > 0 }),
		"freeze": step(func() {
			if rapid.IntRange(0, 3).Draw(m.t, "rare") == 0 {
				m.pickRunning().paused = true
			}
		}),
		"wake": step(func() {
			for _, p := range m.procs {
				p.paused = false
			}
		}),
		"drain": step(func() {
			if rapid.IntRange(0, 9).Draw(m.t, "rare") == 0 {
				m.pickRunning().draining = true
			}
		}),
		"kill": step(func() {
			if rapid.IntRange(0, 5).Draw(m.t, "rare") == 0 {
				m.pickRunning().dead = true
				m.spawn()
			}
		}),
	}
}

var modelConfig = Config{ReadWindow: 1_500, GrantPeriod: 2_000, Drift: 50, MaxMoves: 1}

// TestOneOwner runs random interleavings: two processes must never have authority over the same shard at once.
func TestOneOwner(t *testing.T) {
	cases := map[string]Config{
		"Grants":   modelConfig,
		"NoGrants": {ReadWindow: 1_500, Drift: 50, MaxMoves: 1},
	}
	for name, cfg := range cases {
		t.Run(name, func(t *testing.T) {
			authorityCount, ownerChanges := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, cfg)
				t.Repeat(m.actions())
				authorityCount += m.authorityCount
				ownerChanges += m.ownerChanges
			})
			if ownerChanges == 0 {
				t.Fatal("no shard changed its owner: the run tested nothing")
			}
			t.Logf("a process had authority %d times; the process with authority changed %d times", authorityCount, ownerChanges)
		})
	}
}
