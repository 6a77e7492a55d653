// Package ccmeasure measures the performance of the system, and compares it with baselines in the same run. The
// scheduling policies are measured by a simulation in virtual time, which runs the real code of core/ with bursty
// arrivals and heavy-tailed run times. Resource use, added latency, store calls and takeover are measured on real
// processes.
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

// micros is a time or a duration of the virtual clock, in microseconds.
type micros int64

// millis converts to the unit of the clock in core/.
func (m micros) millis() ccclock.Millis {
	return ccclock.Millis(m / 1_000)
}

const second = micros(1_000_000)

// simConfig configures a simulation.
type simConfig struct {
	// owners is the number of entry processes. Each owns an equal share of the workers.
	owners  int
	workers int
	routing ccroute.Policy
	// fifo gives all requests the same deadline in the queues, which are then first in, first out.
	fifo bool
	// digestInterval is the time between two exchanges of the digests of all owners.
	digestInterval micros
	// noReplyDigests omits the owner's digest from replies, so that only the periodic exchange updates digests.
	noReplyDigests bool
	// reservePercent is the share of the capacity, in percent, that deferrable tasks may not use.
	reservePercent int64
	// preempt stops deferrable tasks in favour of requests that have waited for preemptAfterMs.
	preempt  bool
	firstFit bool
	// noShed makes requests wait for any length of time, instead of being rejected at their deadline.
	noShed bool
	seed   uint64
}

// capacity is that of a worker of the example deployments. Of its 64 connections, 2 are set aside for syncs.
var capacity = ccwork.Size{MilliCores: 16_000, MemoryMB: 64_000, Slots: 8, Connections: 62}

// simTask is a simulated request, or a simulated task of a job.
type simTask struct {
	id         string
	team       string
	size       ccwork.Size
	deferrable bool
	arrived    micros
	run        micros
	// maxWait is the time from the arrival to the deadline for the start.
	maxWait micros
	urgency int
	entry   int
	// done is called when the task has ended, with ok and the time of its start, or when it was rejected, without ok
	// and with the time of the rejection.
	done func(t *simTask, started micros, ok bool)
}

// simulation is a discrete event simulation of entry processes and their workers.
type simulation struct {
	cfg    simConfig
	now    micros
	events eventHeap
	seq    int
	owners []*simOwner
	// routers and views hold for each entry process its router, and the digests of all owners as it knows them.
	routers []*ccroute.Router
	views   [][]ccmember.Member
	rand    *rand.Rand
}

// simOwner is the part of an entry process that owns workers.
type simOwner struct {
	id    int
	pool  *ccledger.Pool
	queue *ccqueue.Queue
	// pending holds the queued tasks and running those that run on the owner's workers, by task ID.
	pending map[string]*simTask
	running map[string]*execution
	// serviceMs is the moving average of the run times of requests.
	serviceMs float64
}

// execution is a task that runs on a worker. If it is stopped, the scheduled event of its end has no effect.
type execution struct {
	t       *simTask
	stopped bool
}

// event is a function to call at a point in time. Events of the same time are called in the order of seq.
type event struct {
	at  micros
	seq int
	do  func()
}

// newSimulation returns a simulation in which all workers are ready and idle.
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
	// preemptAfterMs is the time that a request waits before other tasks are stopped for it, and preemptInterval that
	// between two checks for such requests. Both are as in the real system.
	preemptAfterMs  = 300
	preemptInterval = second / 20
)

// preemptForWaiting stops deferrable tasks in favour of requests that have waited too long. It repeats after
// preemptInterval.
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

// preempt stops a task and puts it back into the owner's queue. It will run from the beginning.
func (s *simulation) preempt(o *simOwner, id string) {
	r := o.running[id]
	r.stopped = true
	delete(o.running, id)
	o.pool.Release(id)
	s.enqueue(o, r.t)
}

// digests returns every owner as a member with its current digest.
func (s *simulation) digests() []ccmember.Member {
	out := make([]ccmember.Member, len(s.owners))
	for i, o := range s.owners {
		out[i] = s.member(o)
	}
	return out
}

// member returns an owner as a member with its current digest.
func (s *simulation) member(o *simOwner) ccmember.Member {
	summary := o.pool.Capacity(s.now.millis())
	return ccmember.Member{
		ID: fmt.Sprint(o.id), Region: "r", Round: uint64(s.now),
		Digest: ccmember.Digest{
			Waiting: int64(o.queue.Len()), Slots: summary.Total.Slots, FreeSlots: summary.Free.Slots, DeferrableSlots: summary.DeferrableSlots, ServiceMs: int64(o.serviceMs),
			LargestMilliCores: summary.Largest.MilliCores, LargestMemoryMB: summary.Largest.MemoryMB,
		},
	}
}

// publishDigests sends the digests of all owners to all entry processes. It repeats after digestInterval.
func (s *simulation) publishDigests() {
	all := s.digests()
	for i := range s.views {
		copy(s.views[i], all)
	}
	s.schedule(s.now+s.cfg.digestInterval, s.publishDigests)
}

// schedule calls do at the given time.
func (s *simulation) schedule(when micros, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: when, seq: s.seq, do: do})
}

// runUntil processes the events up to the given time, and sets the clock to it.
func (s *simulation) runUntil(until micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// submit submits a task at a random entry process.
func (s *simulation) submit(t *simTask) {
	t.entry = s.rand.IntN(len(s.routers))
	s.send(t)
}

// send routes a task from its entry process to an owner. The task is rejected if the router finds no owner.
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

// enqueue adds a task to an owner's queue.
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

// dispatch starts queued tasks of an owner for which its workers have capacity.
func (s *simulation) dispatch(o *simOwner) {
	o.queue.Dispatch(s.now.millis(), func(it *ccqueue.Item) error {
		t := o.pending[it.Task]
		_, err := o.pool.Reserve(ccledger.Request{Row: ccledger.Row{Task: t.id, Team: t.team, Size: t.size, Long: t.deferrable}, Deferrable: t.deferrable}, s.now.millis(), 0)
		return err
	})
}

// onDispatched is called when a task leaves the queue. It starts the task or, if err is not nil, rejects it.
func (s *simulation) onDispatched(o *simOwner, t *simTask, err error) {
	delete(o.pending, t.id)
	if err != nil {
		t.done(t, s.now, false)
		return
	}
	o.pool.Advance(t.id, ccledger.Admitted, s.now.millis(), 0)
	s.start(o, t)
}

// start runs a task whose capacity is reserved, and schedules its end.
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

// onEnd handles the end of a task: it releases the capacity, starts queued tasks, and sends the owner's digest with the
// reply.
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

// generateArrivals calls send at random times between from and until, as a Poisson process. The function rate returns
// the number of arrivals per second at a time, which may not exceed peak.
func (s *simulation) generateArrivals(from, until micros, peak float64, rate func(at micros) float64, send func()) {
	var next func()
	schedule := func(at micros) {
		interval := micros(s.rand.ExpFloat64() / peak * float64(second))
		if at+interval < until {
			s.schedule(at+interval, next)
		}
	}
	next = func() {
		// Thinning: candidates arrive at the peak rate, and each is accepted with the probability rate/peak.
		if s.rand.Float64()*peak < rate(s.now) {
			send()
		}
		schedule(s.now)
	}
	schedule(from)
}

// pareto returns a random duration of a Pareto distribution with the given mean, limited to bound times the mean.
func pareto(r *rand.Rand, mean micros, bound float64) micros {
	const shape = 1.5
	scale := float64(mean) * (shape - 1) / shape
	x := scale / math.Pow(1-r.Float64(), 1/shape)
	return micros(min(x, float64(mean)*bound))
}

// percentile returns the p-th percentile of values, in milliseconds, or 0 if there are none. It sorts values in place.
func percentile(values []micros, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := int(math.Ceil(p/100*float64(len(values)))) - 1
	return float64(values[max(i, 0)]) / 1_000
}
