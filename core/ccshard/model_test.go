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

// model is several keepers over one store and a network that loses, repeats, delays and re-orders.
// What the keepers believe of each other's lives is drawn at random; only evidence of death is true.
type model struct {
	t     *rapid.T
	now   ccclock.Millis
	table Table
	procs []*proc
	// up is false while the store refuses every call.
	up     bool
	calls  []*storeCall
	letter []*letter
	shards []string
	next   int
	// until is the latest end of the authority that each process was ever given, by shard.
	until map[string]map[string]ccclock.Millis
	// acted counts the times that a process found itself in authority, and taken the times that
	// another one had it before.
	acted int
	taken int
	last  map[string]string
	cfg   Config
}

// proc is one process with a clock of its own.
type proc struct {
	id     string
	k      *Manager
	offset ccclock.Millis
	// ppm is the clock's error in parts per million.
	ppm      int64
	dead     bool
	paused   bool
	draining bool
	call     *storeCall
}

// storeCall is a call to the store in flight.
type storeCall struct {
	p       *proc
	write   *Table
	sentAt  ccclock.Millis
	applied bool
	reply   Table
	ok      bool
	// late is true once the caller has given up waiting.
	late bool
}

// letter is an ask or its answer in flight.
type letter struct {
	from, to string
	claims   []ShardEpoch
	askedAt  ccclock.Millis
	answer   bool
}

// local returns a process's own time.
func (p *proc) local(now ccclock.Millis) ccclock.Millis {
	return p.offset + now + now*ccclock.Millis(p.ppm)/1_000_000
}

// global converts a point of a process's own clock, rounded up.
func (p *proc) global(local ccclock.Millis) ccclock.Millis {
	return (local-p.offset)*1_000_000/ccclock.Millis(1_000_000+p.ppm) + 1
}

func newModel(t *rapid.T, cfg Config) *model {
	m := &model{t: t, now: 1_000, up: true, shards: []string{"rack:a", "rack:b", "jobs:00"}, until: map[string]map[string]ccclock.Millis{}, cfg: cfg, last: map[string]string{}}
	for range 4 {
		m.spawn()
	}
	return m
}

// spawn starts a process on a new VM.
func (m *model) spawn() {
	m.next++
	cfg := m.cfg
	cfg.Self = fmt.Sprintf("p%d", m.next)
	r := rand.New(rand.NewPCG(uint64(m.next), 7))
	p := &proc{id: cfg.Self, k: NewManager(cfg), offset: ccclock.Millis(r.Int64N(100_000)), ppm: r.Int64N(10_000) - 5_000}
	m.procs = append(m.procs, p)
}

// live returns the processes that can act now.
func (m *model) live() []*proc {
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

// pick draws an acting process, or skips the action.
func (m *model) pick() *proc {
	live := m.live()
	if len(live) == 0 {
		m.t.Skip("nobody acts")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(m.t, "proc")]
}

// tick is one turn of a process's control loop with a random belief about the others.
func (m *model) tick() {
	p := m.pick()
	if p.call != nil {
		m.t.Skip("call in flight")
	}
	now := p.local(m.now)
	view := View{Shards: m.shards, Draining: p.draining, Busy: func(string) bool { return false }, Dead: func(id string) bool {
		q := m.find(id)
		return q != nil && q.dead
	}}
	belief := rapid.Uint32().Draw(m.t, "belief")
	for i, q := range m.procs {
		if q == p || belief>>(i%32)&1 == 1 && !q.dead {
			view.Candidates = append(view.Candidates, Candidate{ID: q.id, FailureDomain: fmt.Sprint(i % 2), Leaving: q.draining})
		}
	}
	changes := p.k.Plan(view, now)
	if len(changes) > 0 {
		next := m.tableOf(p).Apply(changes)
		p.call = &storeCall{p: p, write: &next, sentAt: now}
	} else {
		p.call = &storeCall{p: p, sentAt: now}
	}
	m.calls = append(m.calls, p.call)
}

// tableOf returns the table that a process bases a write on: its own newest knowledge.
func (m *model) tableOf(p *proc) *Table {
	t := Table{Version: p.k.version, Records: map[string]Record{}}
	for name, s := range p.k.shards {
		if s.rec.Epoch > 0 {
			t.Records[name] = s.rec
		}
	}
	// A keeper may know a record from its owner's word that this version lacks; the version guards
	// the write, so that only a table read whole counts.
	if t.Version == m.table.Version {
		t.Records = maps.Clone(m.table.Records)
	}
	if t.Records == nil {
		t.Records = map[string]Record{}
	}
	return &t
}

// storeStep carries out a call at the store.
func (m *model) storeStep() {
	var open []*storeCall
	for _, c := range m.calls {
		if !c.applied {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		m.t.Skip("no call")
	}
	m.carryOut(open[rapid.IntRange(0, len(open)-1).Draw(m.t, "call")])
}

// carryOut applies one call to the table.
func (m *model) carryOut(c *storeCall) {
	c.applied = true
	c.ok = m.up
	if !m.up {
		return
	}
	if c.write != nil && c.write.Version == m.table.Version {
		m.table = Table{Version: m.table.Version + 1, Records: maps.Clone(c.write.Records)}
	} else if c.write != nil {
		c.ok = false
	}
	c.reply = Table{Version: m.table.Version, Records: maps.Clone(m.table.Records)}
}

// storeReply delivers any reply in flight, unless its caller gave up.
func (m *model) storeReply() {
	var replies []int
	for i, c := range m.calls {
		if c.applied && !c.p.paused {
			replies = append(replies, i)
		}
	}
	if len(replies) == 0 {
		m.t.Skip("no reply")
	}
	m.finish(replies[rapid.IntRange(0, len(replies)-1).Draw(m.t, "reply")])
}

// finish hands a call's reply to its caller.
func (m *model) finish(i int) {
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	if c.late || c.p.dead {
		return
	}
	c.p.call = nil
	if c.ok {
		c.p.k.Observe(c.reply, c.sentAt, c.p.local(m.now))
	} else if c.write != nil {
		c.p.k.WriteFailed()
	}
}

// storeLose makes a caller give up on a call, which may still take effect.
func (m *model) storeLose() {
	for _, c := range m.calls {
		if c.late || c.p.paused || c.p.dead {
			continue
		}
		c.late = true
		c.p.call = nil
		if c.write != nil {
			c.p.k.WriteInDoubt()
		}
		return
	}
	m.t.Skip("no call")
}

// ask sends a process's asks to the heirs.
func (m *model) ask() {
	p := m.pick()
	asks := p.k.GrantRequests()
	for _, heir := range slices.Sorted(maps.Keys(asks)) {
		claims := asks[heir]
		slices.SortFunc(claims, func(a, b ShardEpoch) int {
			return len(a.Shard)*256 + int(a.Shard[len(a.Shard)-1]) - len(b.Shard)*256 - int(b.Shard[len(b.Shard)-1])
		})
		m.letter = append(m.letter, &letter{from: p.id, to: heir, claims: claims, askedAt: p.local(m.now)})
	}
}

// deliver hands over any letter in flight; now and then it stays to be delivered again.
func (m *model) deliver() {
	if len(m.letter) == 0 {
		m.t.Skip("no letter")
	}
	i := rapid.IntRange(0, len(m.letter)-1).Draw(m.t, "letter")
	l := m.letter[i]
	to := m.find(l.to)
	if to == nil || to.dead {
		m.letter = slices.Delete(m.letter, i, i+1)
		return
	}
	if to.paused {
		m.t.Skip("reader is paused")
	}
	if rapid.IntRange(0, 4).Draw(m.t, "repeat") > 0 {
		m.letter = slices.Delete(m.letter, i, i+1)
	}
	if l.answer {
		to.k.RecordGrants(l.from, l.claims, l.askedAt)
		return
	}
	granted := to.k.Grant(l.from, l.claims, to.local(m.now))
	m.letter = append(m.letter, &letter{from: l.to, to: l.from, claims: granted, askedAt: l.askedAt, answer: true})
}

// turn is a tick whose call runs through at once.
func (m *model) turn() {
	m.tick()
	c := m.calls[len(m.calls)-1]
	m.carryOut(c)
	m.finish(len(m.calls) - 1)
}

// round is an ask that every heir answers at once.
func (m *model) round() {
	p := m.pick()
	for heir, claims := range p.k.GrantRequests() {
		to := m.find(heir)
		if to == nil || to.dead || to.paused {
			continue
		}
		granted := to.k.Grant(p.id, claims, to.local(m.now))
		p.k.RecordGrants(heir, granted, p.local(m.now))
	}
}

// drop loses a letter.
func (m *model) drop() {
	if len(m.letter) == 0 {
		m.t.Skip("no letter")
	}
	i := rapid.IntRange(0, len(m.letter)-1).Draw(m.t, "letter")
	m.letter = slices.Delete(m.letter, i, i+1)
}

// check looks at every process's authority: nobody may have any while another was promised it.
func (m *model) check() {
	for _, p := range m.procs {
		if p.dead || p.paused {
			continue
		}
		for _, name := range m.shards {
			a, err := p.k.Authority(name, p.local(m.now))
			if err != nil {
				m.yield(p, name, err)
				continue
			}
			m.acted++
			if m.last[name] != p.id && m.last[name] != "" {
				m.taken++
			}
			m.last[name] = p.id
			m.claim(p, name, a)
		}
	}
}

// yield cuts an authority that its holder gave up by itself.
func (m *model) yield(p *proc, name string, err error) {
	if err == ErrReleasing || err == ErrNotOwner {
		if held := m.until[name]; held != nil && held[p.id] > m.now {
			held[p.id] = m.now
		}
	}
}

// claim notes an authority and holds it against those of others.
func (m *model) claim(p *proc, name string, a Authority) {
	if m.until[name] == nil {
		m.until[name] = map[string]ccclock.Millis{}
	}
	for id, until := range m.until[name] {
		if id != p.id && until > m.now && !m.find(id).dead {
			m.t.Fatalf("at %d %s acts for %s (epoch %d) while %s may act until %d", m.now, p.id, name, a.Epoch, id, until)
		}
	}
	m.until[name][p.id] = p.global(a.Until)
}

// actions are the steps of a run.
func (m *model) actions() map[string]func(*rapid.T) {
	step := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) { m.t = t; f() }
	}
	return map[string]func(*rapid.T){
		"":           step(m.check),
		"tick":       step(m.tick),
		"turn":       step(m.turn),
		"turn2":      step(m.turn),
		"turn3":      step(m.turn),
		"round":      step(m.round),
		"round2":     step(m.round),
		"storeStep":  step(m.storeStep),
		"storeStep2": step(m.storeStep),
		"storeReply": step(m.storeReply),
		"reply2":     step(m.storeReply),
		"storeLose":  step(m.storeLose),
		"ask":        step(m.ask),
		"deliver":    step(m.deliver),
		"deliver2":   step(m.deliver),
		"drop":       step(m.drop),
		"short":      step(func() { m.now += ccclock.Millis(rapid.IntRange(1, 120).Draw(m.t, "ms")) }),
		"medium":     step(func() { m.now += ccclock.Millis(rapid.IntRange(1, 700).Draw(m.t, "ms")) }),
		"long": step(func() {
			if rapid.IntRange(0, 2).Draw(m.t, "rare") == 0 {
				m.now += ccclock.Millis(rapid.IntRange(1, 4_000).Draw(m.t, "ms"))
			}
		}),
		"store": step(func() { m.up = rapid.IntRange(0, 3).Draw(m.t, "up") > 0 }),
		"freeze": step(func() {
			if rapid.IntRange(0, 3).Draw(m.t, "rare") == 0 {
				m.pick().paused = true
			}
		}),
		"wake": step(func() {
			for _, p := range m.procs {
				p.paused = false
			}
		}),
		"drain": step(func() {
			if rapid.IntRange(0, 9).Draw(m.t, "rare") == 0 {
				m.pick().draining = true
			}
		}),
		"kill": step(func() {
			if rapid.IntRange(0, 5).Draw(m.t, "rare") == 0 {
				m.pick().dead = true
				m.spawn()
			}
		}),
	}
}

var modelConfig = Config{ReadWindow: 1_500, GrantPeriod: 2_000, Drift: 50, MaxMoves: 1}

// TestOneOwner drives random interleavings: no two processes may ever act for one shard.
func TestOneOwner(t *testing.T) {
	cases := map[string]Config{
		"Promises":   modelConfig,
		"NoPromises": {ReadWindow: 1_500, Drift: 50, MaxMoves: 1},
	}
	for name, cfg := range cases {
		t.Run(name, func(t *testing.T) {
			acted, taken := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, cfg)
				t.Repeat(m.actions())
				acted += m.acted
				taken += m.taken
			})
			if taken == 0 {
				t.Fatal("no shard ever changed hands: the run proves nothing")
			}
			t.Logf("authority was found %d times; shards changed hands %d times", acted, taken)
		})
	}
}
