// Package ccmeasure measures the placements: it drives the core's own code over a virtual fleet in
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

// simConfig sets up a fleet.
type simConfig struct {
	owners  int
	workers int
	routing ccroute.Policy
	// fifo gives every request the same rank, so that the queue is first in, first out.
	fifo bool
	// digestInterval is the time between two rounds of digests; answers carry digests unless stale is set.
	digestInterval micros
	noReplyDigests bool
	reservePercent int64
	// preempt stops work that can wait for requests that have waited too long.
	preempt  bool
	firstFit bool
	// noShed lets requests wait past their deadline.
	noShed bool
	seed   uint64
}

// capacity is the users' worker: 8 slots, 64 connections, 16 cores, 64 GB.
var capacity = ccwork.Size{MilliCores: 16_000, MemoryMB: 64_000, Slots: 8, Connections: 62}

// simTask is one request or task.
type simTask struct {
	id         string
	team       string
	size       ccwork.Size
	deferrable bool
	arrived    micros
	run        micros
	// deadline is the longest wait.
	maxWait micros
	urgency int
	entry   int
	done    func(t *simTask, started micros, ok bool)
}

// simulation is owners with their ledgers and queues.
type simulation struct {
	cfg    simConfig
	now    micros
	events eventHeap
	seq    int
	owners []*simOwner
	// routers and views belong to the entry side of each process.
	routers []*ccroute.Router
	views   [][]ccmember.Member
	rand    *rand.Rand
}

// simOwner is the owner side of one process.
type simOwner struct {
	id        int
	pool      *ccledger.Pool
	queue     *ccqueue.Queue
	pending   map[string]*simTask
	running   map[string]*execution
	serviceMs float64
}

// execution is work on a worker; when it is stopped its end does not come.
type execution struct {
	t       *simTask
	stopped bool
}

// event is something that happens at a point in time.
type event struct {
	at  micros
	seq int
	do  func()
}

// newSimulation returns a fleet whose workers are ready.
func newSimulation(cfg simConfig) *simulation {
	s := &simulation{cfg: cfg, now: second, rand: rand.New(rand.NewPCG(cfg.seed, 1))}
	for i := range cfg.owners {
		o := &simOwner{id: i, queue: ccqueue.New(), pending: map[string]*simTask{}, running: map[string]*execution{}, serviceMs: 50}
		o.pool = ccledger.NewPool(ccledger.Config{
			ReservePercent: cfg.reservePercent, QuarantinePercent: 20, MaxFailures: 1 << 30, TaskLease: 6_000, FirstFit: cfg.firstFit,
		})
		s.owners = append(s.owners, o)
	}
	for i := range cfg.workers {
		o := s.owners[i%cfg.owners]
		id := fmt.Sprintf("worker-%05d", i)
		o.pool.Add(ccledger.Worker{ID: id, Capacity: capacity}, "rack", 0)
		o.pool.Reconcile(id, nil, 0, 0)
		o.pool.SetAuthority("rack", true)
	}
	for range cfg.owners {
		router := ccroute.New(ccroute.Config{Region: "r", Policy: cfg.routing, Rand: rand.New(rand.NewPCG(cfg.seed, 2))})
		s.routers = append(s.routers, router)
		s.views = append(s.views, s.digests())
	}
	s.publishDigests()
	if cfg.preempt {
		s.preemptForWaiting()
	}
	return s
}

const (
	// preemptAfterMs and preemptInterval are those of the product: the wait of a request before other work
	// is stopped for it, and the interval of the control loop.
	preemptAfterMs  = 300
	preemptInterval = second / 20
)

// preemptForWaiting stops work that can wait for requests that have waited too long, and again after an interval.
func (s *simulation) preemptForWaiting() {
	for _, o := range s.owners {
		for _, it := range o.queue.HeadsOlderThan(s.now.millis() - preemptAfterMs) {
			if o.pending[it.Task].deferrable {
				continue
			}
			if c := o.pool.Preempt(it.Size, s.now.millis()); c != nil {
				s.preempt(o, c.Task)
			}
		}
		s.dispatch(o)
	}
	s.schedule(s.now+preemptInterval, s.preemptForWaiting)
}

// preempt stops a task, which begins anew where there is room.
func (s *simulation) preempt(o *simOwner, id string) {
	r := o.running[id]
	r.stopped = true
	delete(o.running, id)
	o.pool.Release(id)
	s.enqueue(o, r.t)
}

// digests returns the present digest of every owner.
func (s *simulation) digests() []ccmember.Member {
	out := make([]ccmember.Member, len(s.owners))
	for i, o := range s.owners {
		out[i] = s.member(o)
	}
	return out
}

// member returns an owner as others see it now.
func (s *simulation) member(o *simOwner) ccmember.Member {
	summary := o.pool.Capacity(s.now.millis())
	return ccmember.Member{
		ID: fmt.Sprint(o.id), Region: "r", Round: uint64(s.now),
		Digest: ccmember.Digest{
			Waiting: int64(o.queue.Len()), Slots: summary.Total.Slots, FreeSlots: summary.Free.Slots, HeldSlots: summary.HeldSlots, ServiceMs: int64(o.serviceMs),
			LargestMilliCores: summary.Largest.MilliCores, LargestMemoryMB: summary.Largest.MemoryMB,
		},
	}
}

// publishDigests spreads all digests, and again after the interval.
func (s *simulation) publishDigests() {
	all := s.digests()
	for i := range s.views {
		copy(s.views[i], all)
	}
	s.schedule(s.now+s.cfg.digestInterval, s.publishDigests)
}

// schedule makes something happen later.
func (s *simulation) schedule(when micros, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: when, seq: s.seq, do: do})
}

// runUntil lets time pass until a point.
func (s *simulation) runUntil(until micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// submit takes in a piece of work at an entry process.
func (s *simulation) submit(t *simTask) {
	t.entry = s.rand.IntN(len(s.routers))
	s.send(t)
}

// send routes a piece of work to an owner.
func (s *simulation) send(t *simTask) {
	budget := int64((t.arrived + t.maxWait - s.now) / 1_000)
	if s.cfg.noShed {
		budget = math.MaxInt32
	}
	m, err := s.routers[t.entry].Choose(s.views[t.entry], ccroute.Request{Size: t.size, BudgetMs: budget})
	if err != nil {
		t.done(t, s.now, false)
		return
	}
	var i int
	_, _ = fmt.Sscan(m.ID, &i)
	s.enqueue(s.owners[i], t)
}

// enqueue puts a piece of work into an owner's queue.
func (s *simulation) enqueue(o *simOwner, t *simTask) {
	deadline := (t.arrived + t.maxWait).millis()
	if s.cfg.noShed || s.cfg.fifo {
		deadline = math.MaxInt64
	}
	o.pending[t.id] = t
	o.queue.Push(&ccqueue.Item{
		Task: t.id, Team: t.team, Size: t.size, Urgency: t.urgency, Deadline: deadline,
		Since: s.now.millis(),
		Done:  func(err error) { s.onDispatched(o, t, err) },
	})
	s.dispatch(o)
}

// dispatch offers an owner's queue to its workers.
func (s *simulation) dispatch(o *simOwner) {
	o.queue.Dispatch(s.now.millis(), func(it *ccqueue.Item) error {
		t := o.pending[it.Task]
		_, err := o.pool.Reserve(ccledger.Request{Row: ccledger.Row{Task: t.id, Team: t.team, Size: t.size, Long: t.deferrable}, Deferrable: t.deferrable}, s.now.millis(), 0)
		return err
	})
}

// onDispatched runs a piece of work that got a worker.
func (s *simulation) onDispatched(o *simOwner, t *simTask, err error) {
	delete(o.pending, t.id)
	if err != nil {
		t.done(t, s.now, false)
		return
	}
	o.pool.Advance(t.id, ccledger.Admitted, s.now.millis(), 0)
	s.start(o, t)
}

// start lets a piece of work run.
func (s *simulation) start(o *simOwner, t *simTask) {
	start := s.now
	r := &execution{t: t}
	o.running[t.id] = r
	s.schedule(start+t.run, func() {
		if !r.stopped {
			delete(o.running, t.id)
			s.onEnd(o, t, start)
		}
	})
}

// onEnd frees what a piece of work held.
func (s *simulation) onEnd(o *simOwner, t *simTask, start micros) {
	o.pool.Release(t.id)
	if !t.deferrable {
		o.serviceMs += (float64(t.run)/1_000 - o.serviceMs) * 0.05
	}
	t.done(t, start, true)
	s.dispatch(o)
	if !s.cfg.noReplyDigests {
		s.views[t.entry][o.id] = s.member(o)
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

// generateArrivals calls send at random times whose rate, in work per second, follows rate.
func (s *simulation) generateArrivals(from, until micros, peak float64, rate func(at micros) float64, send func()) {
	var next func()
	schedule := func(at micros) {
		interval := micros(s.rand.ExpFloat64() / peak * float64(second))
		if at+interval < until {
			s.schedule(at+interval, next)
		}
	}
	next = func() {
		// Thinning: candidates come at the peak rate, and are kept by the present one.
		if s.rand.Float64()*peak < rate(s.now) {
			send()
		}
		schedule(s.now)
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
