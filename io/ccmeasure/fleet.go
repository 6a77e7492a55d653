// Package ccmeasure measures the decisions: it drives the core's own code over a virtual fleet in
// virtual time, with bursty arrivals and heavy-tailed lengths, beside baselines in the same run.
package ccmeasure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccqueue"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccwork"
)

// micros is a point of the virtual clock in microseconds.
type micros int64

// millis converts to the core's clock.
func (m micros) millis() ccclock.Millis {
	return ccclock.Millis(m / 1_000)
}

const second = micros(1_000_000)

// fleetConfig sets up a fleet.
type fleetConfig struct {
	owners  int
	workers int
	routing ccroute.Policy
	// fifo gives every request the same rank, so that the queue is first in, first out.
	fifo bool
	// digestEvery is the time between two rounds of digests; answers carry digests unless stale is set.
	digestEvery micros
	stale       bool
	reserve     int64
	// preempt stops work that can wait for requests that have waited too long.
	preempt  bool
	firstFit bool
	// noShed lets requests wait past their deadline.
	noShed bool
	seed   uint64
}

// capacity is the users' worker: 8 slots, 64 connections, 16 cores, 64 GB.
var capacity = ccwork.Size{MilliCores: 16_000, MemoryMB: 64_000, Slots: 8, Connections: 62}

// work is one request or task.
type work struct {
	id      string
	team    string
	size    ccwork.Size
	patient bool
	arrived micros
	run     micros
	// deadline is the longest wait.
	deadline micros
	urgency  int
	entry    int
	done     func(w *work, started micros, ok bool)
}

// fleet is owners with their ledgers and queues.
type fleet struct {
	cfg    fleetConfig
	now    micros
	events eventHeap
	seq    int
	owners []*fleetOwner
	// routers and views belong to the entry side of each process.
	routers []*ccroute.Router
	views   [][]ccmember.Member
	rand    *rand.Rand
}

// fleetOwner is the owner side of one process.
type fleetOwner struct {
	id      int
	pool    *ccledger.Pool
	queue   *ccqueue.Queue
	pending map[string]*work
	running map[string]*runningWork
	service float64
}

// runningWork is work on a worker; when it is stopped its end does not come.
type runningWork struct {
	w       *work
	stopped bool
}

// event is something that happens at a point in time.
type event struct {
	at  micros
	seq int
	do  func()
}

// newFleet returns a fleet whose workers are ready.
func newFleet(cfg fleetConfig) *fleet {
	f := &fleet{cfg: cfg, now: second, rand: rand.New(rand.NewPCG(cfg.seed, 1))}
	for i := range cfg.owners {
		o := &fleetOwner{id: i, queue: ccqueue.New(), pending: map[string]*work{}, running: map[string]*runningWork{}, service: 50}
		o.pool = ccledger.NewPool(ccledger.Config{
			ReservePercent: cfg.reserve, QuarantinePercent: 20, MaxFailures: 1 << 30, TaskLease: 6_000, FirstFit: cfg.firstFit,
		})
		f.owners = append(f.owners, o)
	}
	for i := range cfg.workers {
		o := f.owners[i%cfg.owners]
		id := fmt.Sprintf("worker-%05d", i)
		o.pool.Add(ccledger.Worker{ID: id, Capacity: capacity}, "rack", 0)
		o.pool.Reconcile(id, nil, 0, 0)
		o.pool.SetAuthority("rack", true)
	}
	for range cfg.owners {
		router := ccroute.New(ccroute.Config{Region: "r", Policy: cfg.routing, Rand: rand.New(rand.NewPCG(cfg.seed, 2))})
		f.routers = append(f.routers, router)
		f.views = append(f.views, f.digests())
	}
	f.refresh()
	if cfg.preempt {
		f.makeRoom()
	}
	return f
}

const (
	// preemptAfter and preemptEvery are those of the product: the wait of a request before other work
	// is stopped for it, and the interval of the control loop.
	preemptAfter = 300
	preemptEvery = second / 20
)

// makeRoom stops work that can wait for requests that have waited too long, and again after an interval.
func (f *fleet) makeRoom() {
	for _, o := range f.owners {
		for _, it := range o.queue.HeadsOlderThan(f.now.millis() - preemptAfter) {
			if o.pending[it.Task].patient {
				continue
			}
			if c := o.pool.Preempt(it.Size, f.now.millis()); c != nil {
				f.stop(o, c.Task)
			}
		}
		f.dispatch(o)
	}
	f.at(f.now+preemptEvery, f.makeRoom)
}

// stop stops a task, which begins anew where there is room.
func (f *fleet) stop(o *fleetOwner, id string) {
	r := o.running[id]
	r.stopped = true
	delete(o.running, id)
	o.pool.Release(id)
	f.enqueue(o, r.w)
}

// digests returns the present digest of every owner.
func (f *fleet) digests() []ccmember.Member {
	out := make([]ccmember.Member, len(f.owners))
	for i, o := range f.owners {
		out[i] = f.member(o)
	}
	return out
}

// member returns an owner as others see it now.
func (f *fleet) member(o *fleetOwner) ccmember.Member {
	room := o.pool.Capacity(f.now.millis())
	return ccmember.Member{
		ID: fmt.Sprint(o.id), Region: "r", Round: uint64(f.now),
		Digest: ccmember.Digest{
			Waiting: int64(o.queue.Len()), Slots: room.Total.Slots, FreeSlots: room.Free.Slots, HeldSlots: room.HeldSlots, ServiceMs: int64(o.service),
			LargestMilliCores: room.Largest.MilliCores, LargestMemoryMB: room.Largest.MemoryMB,
		},
	}
}

// refresh spreads all digests, and again after the interval.
func (f *fleet) refresh() {
	all := f.digests()
	for i := range f.views {
		copy(f.views[i], all)
	}
	f.at(f.now+f.cfg.digestEvery, f.refresh)
}

// at makes something happen later.
func (f *fleet) at(when micros, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: when, seq: f.seq, do: do})
}

// run lets time pass until a point.
func (f *fleet) run(until micros) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// submit takes in a piece of work at an entry process.
func (f *fleet) submit(w *work) {
	w.entry = f.rand.IntN(len(f.routers))
	f.send(w)
}

// send routes a piece of work to an owner.
func (f *fleet) send(w *work) {
	budget := int64((w.arrived + w.deadline - f.now) / 1_000)
	if f.cfg.noShed {
		budget = math.MaxInt32
	}
	m, err := f.routers[w.entry].Choose(f.views[w.entry], ccroute.Request{Size: w.size, BudgetMs: budget})
	if err != nil {
		w.done(w, f.now, false)
		return
	}
	var i int
	_, _ = fmt.Sscan(m.ID, &i)
	f.enqueue(f.owners[i], w)
}

// enqueue puts a piece of work into an owner's queue.
func (f *fleet) enqueue(o *fleetOwner, w *work) {
	deadline := (w.arrived + w.deadline).millis()
	if f.cfg.noShed || f.cfg.fifo {
		deadline = math.MaxInt64
	}
	o.pending[w.id] = w
	o.queue.Push(&ccqueue.Item{
		Task: w.id, Team: w.team, Size: w.size, Urgency: w.urgency, Deadline: deadline,
		Since: f.now.millis(),
		Done:  func(err error) { f.started(o, w, err) },
	})
	f.dispatch(o)
}

// dispatch offers an owner's queue to its workers.
func (f *fleet) dispatch(o *fleetOwner) {
	o.queue.Dispatch(f.now.millis(), func(it *ccqueue.Item) error {
		w := o.pending[it.Task]
		_, err := o.pool.Reserve(ccledger.Request{Row: ccledger.Row{Task: w.id, Team: w.team, Size: w.size, Long: w.patient}, Deferrable: w.patient}, f.now.millis(), 0)
		return err
	})
}

// started runs a piece of work that got a worker.
func (f *fleet) started(o *fleetOwner, w *work, err error) {
	delete(o.pending, w.id)
	if err != nil {
		w.done(w, f.now, false)
		return
	}
	o.pool.Advance(w.id, ccledger.Admitted, f.now.millis(), 0)
	f.begin(o, w)
}

// begin lets a piece of work run.
func (f *fleet) begin(o *fleetOwner, w *work) {
	start := f.now
	r := &runningWork{w: w}
	o.running[w.id] = r
	f.at(start+w.run, func() {
		if !r.stopped {
			delete(o.running, w.id)
			f.finished(o, w, start)
		}
	})
}

// finished frees what a piece of work held.
func (f *fleet) finished(o *fleetOwner, w *work, start micros) {
	o.pool.Release(w.id)
	if !w.patient {
		o.service += (float64(w.run)/1_000 - o.service) * 0.05
	}
	w.done(w, start, true)
	f.dispatch(o)
	if !f.cfg.stale {
		f.views[w.entry][o.id] = f.member(o)
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// arrivals calls send at random times whose rate, in work per second, follows rate.
func (f *fleet) arrivals(from, until micros, peak float64, rate func(at micros) float64, send func()) {
	var next func()
	schedule := func(at micros) {
		gap := micros(f.rand.ExpFloat64() / peak * float64(second))
		if at+gap < until {
			f.at(at+gap, next)
		}
	}
	next = func() {
		// Thinning: candidates come at the peak rate, and are kept by the present one.
		if f.rand.Float64()*peak < rate(f.now) {
			send()
		}
		schedule(f.now)
	}
	schedule(from)
}

// pareto returns a heavy-tailed length with the given mean, bounded at a multiple of it.
func pareto(r *rand.Rand, mean micros, bound float64) micros {
	const shape = 1.5
	scale := float64(mean) * (shape - 1) / shape
	x := scale / math.Pow(1-r.Float64(), 1/shape)
	return micros(min(x, float64(mean)*bound))
}

// percentile returns the p-th percentile of values, in milliseconds.
func percentile(values []micros, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := int(math.Ceil(p/100*float64(len(values)))) - 1
	return float64(values[max(i, 0)]) / 1_000
}
