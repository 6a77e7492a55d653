package ccjob

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "500"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

const (
	// leaseMs is the length of a task's lease.
	leaseMs = ccclock.Millis(3_000)
	// flightMs is how long after its sending a start may still arrive.
	flightMs = ccclock.Millis(400)
)

// model is one bucket of jobs, its current driver, the workers and their owners. Messages are lost, delayed and
// reordered; drivers and owners are replaced; workers lose their tasks or their connection.
type model struct {
	t            *rapid.T
	now          ccclock.Millis
	bucket       Bucket
	driver       *Driver
	epoch        uint64
	seq          uint64
	workers      []*worker
	owners       []*owner
	messages     []message
	starts       int
	workerLosses int
}

// worker runs tasks. Its task table survives the replacement of its owner and of the driver.
type worker struct {
	id           string
	capacity     ccwork.Size
	tasks        map[string]*ccledger.Row
	leaseUntil   map[string]ccclock.Millis
	disconnected bool
}

// owner is the process that owns one worker at present.
type owner struct {
	worker     *worker
	shard      string
	pool       *ccledger.Pool
	gate       *ccledger.OrderGate
	generation int
}

// message is a message in flight, or a timeout.
type message struct {
	name      string
	deliverBy ccclock.Millis
	handle    func()
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: 1}
	for i := range 3 {
		w := &worker{
			id: fmt.Sprintf("w%d", i), capacity: ccwork.Size{MilliCores: 4, MemoryMB: 4, Slots: 4, Connections: 4},
			tasks: map[string]*ccledger.Row{}, leaseUntil: map[string]ccclock.Millis{},
		}
		m.workers = append(m.workers, w)
		m.owners = append(m.owners, m.newOwner(w, 0))
	}
	size := ccwork.Size{MilliCores: 1, MemoryMB: 1, Slots: 1, Connections: 1}
	for i, class := range []ccwork.Class{ccwork.Batch, ccwork.Gang, ccwork.Batch} {
		j := &Job{ID: fmt.Sprint("j", i), Team: "t", Kind: "k", Class: class, Size: size, MaxFailures: 1000, State: Accepted, AcceptedAt: int64(i), Tasks: make([]Task, 3)}
		_, _ = m.bucket.Submit(j)
	}
	m.replaceDriver()
	return m
}

// newOwner returns a new owner of a worker, with an empty ledger.
func (m *model) newOwner(w *worker, generation int) *owner {
	o := &owner{worker: w, shard: "rack:" + w.id, generation: generation}
	o.pool = ccledger.NewPool(ccledger.Config{QuarantinePercent: 100, MaxFailures: 1 << 30, TaskLease: leaseMs + flightMs})
	o.gate = ccledger.NewOrderGate(o.pool)
	o.pool.Add(ccledger.Worker{ID: w.id, Capacity: w.capacity}, o.shard, m.now)
	o.pool.SetAuthority(o.shard, true)
	return o
}

// replaceDriver creates a new driver, which knows only the stored jobs.
func (m *model) replaceDriver() {
	m.epoch++
	m.seq = 0
	m.driver = NewDriver(m.epoch)
	m.driver.Load(m.stored(), m.now)
}

// stored returns a copy of the bucket, like a read of the store.
func (m *model) stored() *Bucket {
	b := Bucket{Jobs: map[string]*Job{}}
	for key, j := range m.bucket.Jobs {
		c := *j
		c.Tasks = slices.Clone(j.Tasks)
		b.Jobs[key] = &c
	}
	return &b
}

// send puts a message in flight; it is lost unless it is delivered by the given time.
func (m *model) send(name string, deliverBy ccclock.Millis, handle func()) {
	m.messages = append(m.messages, message{name, deliverBy, handle})
}

// deliver delivers a random message in flight, unless it is past its time.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		m.t.Skip("no message in flight")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	if m.now <= msg.deliverBy {
		msg.handle()
	}
}

// requestReports requests a report from every owner.
func (m *model) requestReports() {
	m.seq++
	d, sender, requestedAt := m.driver, ccledger.Sender{Bucket: "b", Epoch: m.epoch, Seq: m.seq}, m.now
	stop, forget := d.TakeStops(), d.TakeForget()
	for i := range m.owners {
		m.send("report request", m.now+1_000, func() {
			o := m.owners[i]
			if !o.gate.AdvanceFence(sender) {
				return
			}
			m.executeOrders(o, stop, forget)
			rep := Report{Tasks: o.pool.Claims(func(c *ccledger.Claim) bool { return c.Phase != ccledger.Reserved })}
			if o.pool.ShardReady(o.shard, m.now) {
				rep.Ready = []string{o.shard}
			}
			m.send("report", m.now+1_000, func() { d.Observe(rep, requestedAt, m.now) })
		})
	}
}

// executeOrders applies a driver's stops and forgets to the worker.
func (m *model) executeOrders(o *owner, stop, forget []string) {
	for _, id := range stop {
		if r := o.worker.tasks[id]; r != nil && r.State == ccwork.Running {
			m.send("stop", m.now+1_000, func() {
				if r.State == ccwork.Running {
					r.State = ccwork.Stopped
				}
			})
		}
	}
	for _, id := range forget {
		if r := o.worker.tasks[id]; r != nil && r.State.Ended() {
			delete(o.worker.tasks, id)
		}
	}
}

// place sends the tasks that the driver returns as the next to start to random owners.
func (m *model) place() {
	d, sender := m.driver, ccledger.Sender{Bucket: "b", Epoch: m.epoch, Seq: m.seq}
	d.ReclaimLost(m.shards(), m.now)
	for _, order := range d.Next(4, m.now) {
		for _, t := range order.Tasks {
			i := rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner")
			m.placeTask(d, sender, order.Job, t, i)
		}
	}
}

func (m *model) shards() []string {
	var out []string
	for _, o := range m.owners {
		out = append(out, o.shard)
	}
	return out
}

// placeTask sends one task. The outcome is passed to the driver; without a reply in time, the task is in doubt.
func (m *model) placeTask(d *Driver, sender ccledger.Sender, j *Job, t OrderTask, i int) {
	resolved := false
	m.send("place", m.now+1_500, func() {
		o := m.owners[i]
		order := ccledger.Order{Sender: sender, HoldUntil: m.now + 1_000}
		order.Row = ccledger.Row{Task: t.ID, Team: j.Team, Size: j.Size, State: ccwork.Running}
		c, outcome, _ := o.gate.Place(order, func(string) error { return nil }, m.now)
		if c == nil {
			m.send("refusal", m.now+1_000, func() {
				resolved = true
				if outcome == ccwork.Unknown {
					d.MarkInDoubt(t.ID, m.now)
				} else {
					d.NotPlaced(t.ID, "Overload", m.now)
				}
			})
			return
		}
		m.sendStart(o, d, order.Row, &resolved)
	})
	m.send("place timeout", m.now+9_000, func() {
		if !resolved {
			d.MarkInDoubt(t.ID, m.now)
		}
	})
}

// sendStart sends a start to a worker. It arrives before its time limit or never.
func (m *model) sendStart(o *owner, d *Driver, row ccledger.Row, resolved *bool) {
	inDoubtUntil := m.now + flightMs
	replied := false
	m.send("start", inDoubtUntil, func() {
		if o.worker.disconnected || o.generation < m.ownerOf(o.worker).generation {
			return
		}
		m.startTask(o.worker, row)
		m.send("started", m.now+1_000, func() {
			if replied {
				return
			}
			replied = true
			o.gate.RecordStart(row.Task, ccwork.Ran, m.now, 0)
			m.send("placed", m.now+1_000, func() {
				*resolved = true
				d.Placed(row.Task, o.worker.id, o.shard, m.now)
			})
		})
	})
	m.send("start timeout", m.now+9_000, func() {
		if !replied {
			replied = true
			o.gate.RecordStart(row.Task, ccwork.Unknown, m.now, inDoubtUntil)
		}
	})
}

func (m *model) ownerOf(w *worker) *owner {
	for _, o := range m.owners {
		if o.worker == w {
			return o
		}
	}
	return nil
}

// startTask runs a task on a worker. It fails if the worker's capacity is exceeded or another attempt at the task runs.
func (m *model) startTask(w *worker, row ccledger.Row) {
	if _, ok := w.tasks[row.Task]; ok {
		return
	}
	m.starts++
	w.tasks[row.Task] = &row
	w.leaseUntil[row.Task] = m.now + leaseMs
	var used ccwork.Size
	for _, r := range w.tasks {
		if r.State == ccwork.Running {
			used = used.Plus(r.Size)
		}
	}
	if !used.Fits(&w.capacity) {
		m.t.Fatalf("at %d worker %s runs %+v of %+v", m.now, w.id, used, w.capacity)
	}
	key, index, _, _ := ParseTaskID(row.Task)
	for _, other := range m.workers {
		for id, r := range other.tasks {
			k, i, _, _ := ParseTaskID(id)
			if r != &row && k == key && i == index && r.State == ccwork.Running {
				m.t.Fatalf("at %d task %s#%d runs as %s on %s and as %s on %s", m.now, key, index, row.Task, w.id, id, other.id)
			}
		}
	}
}

// syncWorker reads a worker's task table, which renews the leases of its tasks.
func (m *model) syncWorker() {
	o := m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner")]
	requestedAt := m.now
	if o.worker.disconnected {
		o.pool.MarkUnreachable(o.worker.id, m.now)
		return
	}
	for id, r := range o.worker.tasks {
		if r.State == ccwork.Running {
			o.worker.leaseUntil[id] = m.now + leaseMs
		}
	}
	var rows []ccledger.Row
	for _, id := range slices.Sorted(maps.Keys(o.worker.tasks)) {
		rows = append(rows, *o.worker.tasks[id])
	}
	m.send("table", m.now+800, func() {
		if o == m.ownerOf(o.worker) {
			o.pool.Reconcile(o.worker.id, rows, requestedAt, m.now)
		}
	})
}

// advance advances the time and stops the tasks whose leases have lapsed.
func (m *model) advance(ms int) {
	m.now += ccclock.Millis(ms)
	for _, w := range m.workers {
		for id, r := range w.tasks {
			if r.State == ccwork.Running && m.now > w.leaseUntil[id] {
				r.State = ccwork.Stopped
			}
		}
	}
}

// endTask ends a running task, in one of four cases with a failure.
func (m *model) endTask() {
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if r := w.tasks[id]; r.State == ccwork.Running {
			r.State = ccwork.Succeeded
			if rapid.IntRange(0, 3).Draw(m.t, "fails") == 0 {
				r.State = ccwork.Failed
			}
			return
		}
	}
	m.t.Skip("no running task")
}

// record writes the completions to the store. In one of five cases the write fails, and in another one its reply is
// lost.
func (m *model) record() {
	completions := m.driver.TakeCompletions()
	if len(completions) == 0 {
		m.t.Skip("no completions")
	}
	result := rapid.IntRange(0, 4).Draw(m.t, "result")
	if result > 0 {
		m.bucket.RecordCompletions(completions, int64(m.now))
	}
	if result < 2 {
		m.driver.ReturnCompletions(completions)
		return
	}
	m.driver.CompletionsPersisted(completions)
	m.driver.Load(m.stored(), m.now)
}

func (m *model) actions() map[string]func(*rapid.T) {
	step := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) { m.t = t; f() }
	}
	rare := func(n int, f func()) func(*rapid.T) {
		return step(func() {
			if rapid.IntRange(0, n).Draw(m.t, "rare") == 0 {
				f()
			}
		})
	}
	return map[string]func(*rapid.T){
		"report": step(m.requestReports), "place": step(m.place), "place2": step(m.place), "end": step(m.endTask),
		"deliver": step(m.deliver), "deliver2": step(m.deliver), "deliver3": step(m.deliver), "deliver4": step(m.deliver), "deliver5": step(m.deliver),
		"sync": step(m.syncWorker), "sync2": step(m.syncWorker), "record": step(m.record),
		"short":  step(func() { m.advance(rapid.IntRange(1, 100).Draw(m.t, "ms")) }),
		"medium": rare(2, func() { m.advance(rapid.IntRange(1, 1_500).Draw(m.t, "ms")) }),
		"driver": rare(8, m.replaceDriver),
		"owner": rare(6, func() {
			// A new owner of a worker acts only once the starts of the previous one can't arrive any more.
			i := rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner")
			m.advance(int(flightMs) + 1)
			m.owners[i] = m.newOwner(m.owners[i].worker, m.owners[i].generation+1)
		}),
		"cut":  rare(4, func() { m.workers[rapid.IntRange(0, 2).Draw(m.t, "worker")].disconnected = true }),
		"mend": step(func() { m.reconnectAll() }),
		"die": rare(8, func() {
			w := m.workers[rapid.IntRange(0, 2).Draw(m.t, "worker")]
			w.tasks = map[string]*ccledger.Row{}
			m.workerLosses++
		}),
	}
}

func (m *model) reconnectAll() {
	for _, w := range m.workers {
		w.disconnected = false
	}
}

// runUntilDone runs without faults until every job has succeeded.
func (m *model) runUntilDone() {
	m.reconnectAll()
	// All messages in flight are lost, and owners that wait for a reply time out.
	lost := m.messages
	m.messages = nil
	for _, msg := range lost {
		if msg.name == "start timeout" {
			msg.handle()
		}
	}
	m.replaceDriver()
	for range 400 {
		if m.done() {
			return
		}
		m.requestReports()
		for _, o := range m.owners {
			m.reconcileOwner(o)
		}
		m.deliverAll()
		if completions := m.driver.TakeCompletions(); len(completions) > 0 {
			m.bucket.RecordCompletions(completions, int64(m.now))
			m.driver.CompletionsPersisted(completions)
			m.driver.Load(m.stored(), m.now)
		}
		d, sender := m.driver, ccledger.Sender{Bucket: "b", Epoch: m.epoch, Seq: m.seq}
		d.ReclaimLost(m.shards(), m.now)
		for _, order := range d.Next(4, m.now) {
			for k, t := range order.Tasks {
				m.placeTask(d, sender, order.Job, t, k%len(m.owners))
			}
		}
		m.deliverAll()
		m.advance(700)
		for _, w := range m.workers {
			for _, r := range w.tasks {
				if r.State == ccwork.Running {
					r.State = ccwork.Succeeded
				}
			}
		}
	}
	m.t.Fatalf("jobs did not end: %+v", m.driver.Counts())
}

func (m *model) reconcileOwner(o *owner) {
	var rows []ccledger.Row
	for _, id := range slices.Sorted(maps.Keys(o.worker.tasks)) {
		rows = append(rows, *o.worker.tasks[id])
	}
	o.pool.Reconcile(o.worker.id, rows, m.now, m.now)
}

// deliverAll delivers all messages in order and discards the timeouts.
func (m *model) deliverAll() {
	for len(m.messages) > 0 {
		msg := m.messages[0]
		m.messages = m.messages[1:]
		if msg.name != "place timeout" && msg.name != "start timeout" {
			msg.handle()
		}
	}
}

func (m *model) done() bool {
	for _, j := range m.bucket.Jobs {
		if j.State != Succeeded {
			return false
		}
	}
	return true
}

// TestNoTaskTwice runs random interleavings: no task may run in two places at once, no worker may run more than its
// capacity, and every accepted job must end once there are no more faults.
func TestNoTaskTwice(t *testing.T) {
	starts, workerLosses := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		m.t = t
		m.runUntilDone()
		starts += m.starts
		workerLosses += m.workerLosses
	})
	if starts == 0 || workerLosses == 0 {
		t.Fatal("no task was started or no worker lost its tasks: the run tested nothing")
	}
	t.Logf("%d tasks were started; workers lost their tasks %d times", starts, workerLosses)
}
