package ccmeasure

import (
	"fmt"

	"coriandercross/core/ccledger"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccwork"
)

// Parameters of the scenarios. Each deployment in examples/ has exampleWorkers workers and seven entry processes.
const (
	exampleWorkers = 50
	processes      = 7
	meanRunTime    = 50 * second / 1_000
	urgentMaxWait  = 2_300 * second / 1_000
	// tailBound is the longest run time, as a multiple of the mean.
	tailBound      = 20
	digestInterval = second / 2
	seeds          = 3
)

// shortRequestSize is the size of a short request, which takes one slot.
var shortRequestSize = ccwork.Size{MilliCores: 2_000, MemoryMB: 4_000, Slots: 1, Connections: 1}

// productPolicy returns a configuration with the policies that the real system uses.
func productPolicy(seed uint64) simConfig {
	return simConfig{owners: processes, workers: exampleWorkers, routing: ccroute.TwoChoices, digestInterval: digestInterval, reservePercent: 10, preempt: true, seed: seed}
}

// singleQueue returns the ideal to compare with: productPolicy with one owner, and so one queue, for all workers.
func singleQueue(seed uint64) simConfig {
	cfg := productPolicy(seed)
	cfg.owners = 1
	return cfg
}

// randomFIFO returns the simple baseline: the owner is chosen at random, queues are first in, first out, and there are
// neither preemption nor reserved capacity.
func randomFIFO(seed uint64) simConfig {
	cfg := productPolicy(seed)
	cfg.routing = ccroute.Random
	cfg.fifo, cfg.preempt, cfg.reservePercent = true, false, 0
	return cfg
}

// medianOverSeeds returns the median of f over the fixed seeds.
func medianOverSeeds(f func(seed uint64) float64) float64 {
	var values []float64
	for seed := uint64(1); seed <= seeds; seed++ {
		values = append(values, f(seed))
	}
	return median(values...)
}

// totalSlots is the number of slots of exampleWorkers workers.
const totalSlots = exampleWorkers * 8

// burstWait returns the p-th percentile, in milliseconds, of the wait of urgent requests in a burst, in which the
// arrival rate rises from a third of the peak to the peak within two seconds. At the peak, the requests need the
// fraction load of all slots. The wait of a rejected request counts as urgentMaxWait.
func burstWait(cfg simConfig, load, p float64) float64 {
	sim := newSimulation(cfg)
	var waits []micros
	peak := load * totalSlots / (float64(meanRunTime) / float64(second))
	const warmUp, rise, burst = 3 * second, 2 * second, 6 * second
	from := sim.now
	rate := func(at micros) float64 {
		progress := min(max(float64(at-from-warmUp)/float64(rise), 0), 1)
		return peak * (1 + 2*progress) / 3
	}
	n := 0
	sim.generateArrivals(from, from+warmUp+rise+burst, peak, rate, func() {
		n++
		t := &simTask{id: fmt.Sprint(n), team: "t", size: shortRequestSize, arrived: sim.now, run: pareto(sim.rand, meanRunTime, tailBound), maxWait: urgentMaxWait}
		t.done = func(t *simTask, started micros, ok bool) {
			if t.arrived < from+warmUp {
				return
			}
			if !ok {
				started = t.arrived + t.maxWait
			}
			waits = append(waits, started-t.arrived)
		}
		sim.submit(t)
	})
	sim.runUntil(from + warmUp + rise + burst + 10*second)
	return percentile(waits, p)
}

// Burst measures the wait in a burst, and compares it with an ideal and a simple policy.
func Burst() []Row {
	figure := func(cfg func(uint64) simConfig) float64 {
		return medianOverSeeds(func(seed uint64) float64 { return burstWait(cfg(seed), 0.95, 99) })
	}
	value, best, plain := figure(productPolicy), figure(singleQueue), figure(randomFIFO)
	a := ratioRow("CrestWaitP99AgainstIdeal", "ms", value, best, 1.5)
	b := ratioRow("CrestWaitP99AgainstRandomFIFO", "ms", value, plain, 1.0/3)
	a.WeighedBy, b.WeighedBy = "Vetterli", "Vetterli"
	return []Row{a, b}
}

// Routing compares policies for the choice of an owner, with fresh digests on replies and with periodic digests only.
func Routing() []Row {
	var rows []Row
	for _, stale := range []bool{false, true} {
		for _, policy := range []ccroute.Policy{ccroute.TwoChoices, ccroute.LeastWait} {
			cfg := func(seed uint64) simConfig {
				c := productPolicy(seed)
				c.routing, c.noReplyDigests = policy, stale
				return c
			}
			v := medianOverSeeds(func(seed uint64) float64 { return burstWait(cfg(seed), 0.9, 99) })
			base := medianOverSeeds(func(seed uint64) float64 { return burstWait(randomFIFO(seed), 0.9, 99) })
			name := "Routing" + string(policy) + "FreshDigests"
			if stale {
				name = "Routing" + string(policy) + "StaleDigests"
			}
			rows = append(rows, ratioRow(name, "ms", v, base, 1))
		}
	}
	return rows
}

// fillWithLong starts long tasks of the given size and run time on every owner's workers until no more fit. It returns
// the number of attempts, of which the last one for each owner failed.
func fillWithLong(sim *simulation, size ccwork.Size, run micros) int {
	n := 0
	for _, o := range sim.owners {
		for {
			n++
			id := fmt.Sprint("long-", n)
			r := ccledger.Request{Row: ccledger.Row{Task: id, Team: "long", Size: size, Long: true}, Deferrable: true}
			if _, err := o.pool.Reserve(r, sim.now.millis(), 0); err != nil {
				break
			}
			o.pool.Advance(id, ccledger.Admitted, sim.now.millis(), 0)
			t := &simTask{id: id, size: size, deferrable: true, run: run, done: func(*simTask, micros, bool) {}}
			sim.start(o, t)
		}
	}
	return n
}

// longTaskSize is the size of a long task.
var longTaskSize = ccwork.Size{MilliCores: 2_000, MemoryMB: 8_000, Slots: 1, Connections: 1}

// urgentWaits sends urgent requests to workers that are full of long tasks, and returns the requests' waits. The wait of
// a rejected request counts as twice urgentMaxWait.
func urgentWaits(cfg simConfig, load float64) []micros {
	sim := newSimulation(cfg)
	fillWithLong(sim, longTaskSize, 3_600*second)
	var waits []micros
	rate := load * totalSlots / (float64(meanRunTime) / float64(second))
	n := 0
	from := sim.now
	sim.generateArrivals(from, from+10*second, rate, func(micros) float64 { return rate }, func() {
		n++
		t := &simTask{id: fmt.Sprint(n), team: "t", size: shortRequestSize, arrived: sim.now, run: pareto(sim.rand, meanRunTime, tailBound), maxWait: urgentMaxWait}
		t.done = func(t *simTask, started micros, ok bool) {
			if !ok {
				started = t.arrived + 2*t.maxWait
			}
			waits = append(waits, started-t.arrived)
		}
		sim.submit(t)
	})
	sim.runUntil(from + 20*second)
	return waits
}

// Urgent measures the longest wait of urgent requests for workers that are full of long tasks. The baseline has neither
// preemption nor reserved capacity.
func Urgent() []Row {
	none := func(seed uint64) simConfig {
		c := productPolicy(seed)
		c.reservePercent, c.preempt = 0, false
		return c
	}
	worst := func(cfg func(uint64) simConfig) float64 {
		return medianOverSeeds(func(seed uint64) float64 { return percentile(urgentWaits(cfg(seed), 0.06), 100) })
	}
	r := valueRow("UrgentStartWorstBehindLongWork", "ms", worst(productPolicy), worst(none), 2_300)
	r.WeighedBy = "Vetterli"
	return []Row{r}
}

// mixedSlowdown sends short requests while long tasks run, some of them much longer than others, and returns the 99th
// percentile of the slowdown of the short requests, which is wait plus run time, divided by run time.
func mixedSlowdown(cfg simConfig) float64 {
	sim := newSimulation(cfg)
	var slow []micros
	short := 0.25 * totalSlots / (float64(meanRunTime) / float64(second))
	n := 0
	from := sim.now
	sim.generateArrivals(from, from+20*second, short, func(micros) float64 { return short }, func() {
		n++
		t := &simTask{id: fmt.Sprint("s", n), team: "t", size: shortRequestSize, arrived: sim.now, run: pareto(sim.rand, meanRunTime, tailBound), maxWait: 60 * second}
		t.done = func(t *simTask, started micros, ok bool) {
			// In thousandths, since percentile divides by 1,000.
			slow = append(slow, (started-t.arrived+t.run)*1_000/max(t.run, 1))
		}
		sim.submit(t)
	})
	// Long tasks arrive in bursts, each of which would fill three quarters of the slots.
	for burst := range 4 {
		sim.schedule(from+micros(burst)*5*second, func() {
			for range totalSlots * 3 / 4 {
				n++
				run := pareto(sim.rand, 4*second, tailBound)
				t := &simTask{id: fmt.Sprint("l", n), team: "long", size: longTaskSize, deferrable: true, arrived: sim.now, run: run, maxWait: 3_600 * second}
				t.done = func(*simTask, micros, bool) {}
				sim.submit(t)
			}
		})
	}
	sim.runUntil(from + 60*second)
	return percentile(slow, 99)
}

// Slowdown measures how much short requests are slowed down by long tasks.
func Slowdown() []Row {
	value := medianOverSeeds(func(seed uint64) float64 { return mixedSlowdown(productPolicy(seed)) })
	base := medianOverSeeds(func(seed uint64) float64 { return mixedSlowdown(randomFIFO(seed)) })
	r := ratioRow("SlowdownP99OfShortBehindLong", "times", value, base, 1.0/5)
	r.WeighedBy = "Agency"
	return []Row{r}
}

// workersOverBound returns the number of workers with tasks, divided by the volume bound, on average over a time in
// which tasks of various sizes start and end.
func workersOverBound(firstFit bool, seed uint64) float64 {
	cfg := productPolicy(seed)
	cfg.owners, cfg.reservePercent, cfg.firstFit = 1, 0, firstFit
	sim := newSimulation(cfg)
	o := sim.owners[0]
	const mean, load = 10 * second, 0.7
	var used ccwork.Size
	// 2,250 is the mean of the MilliCores of the tasks below.
	rate := load * float64(exampleWorkers*capacity.MilliCores) / 2_250 / (float64(mean) / float64(second))
	n := 0
	from := sim.now
	sim.generateArrivals(from, from+200*second, rate, func(micros) float64 { return rate }, func() {
		n++
		t := &simTask{id: fmt.Sprint(n), run: pareto(sim.rand, mean, tailBound), done: func(*simTask, micros, bool) {}}
		t.size = ccwork.Size{MilliCores: 500 * (1 + sim.rand.Int64N(8)), MemoryMB: 1_000 * (1 + sim.rand.Int64N(16)), Slots: 1, Connections: 1}
		if _, err := o.pool.Reserve(ccledger.Request{Row: ccledger.Row{Task: t.id, Size: t.size}}, 0, 0); err != nil {
			return
		}
		used = used.Plus(t.size)
		sim.schedule(sim.now+t.run, func() {
			used = used.Minus(t.size)
			o.pool.Release(t.id)
		})
	})
	var sum, samples float64
	for at := from + 50*second; at < from+200*second; at += second {
		sim.schedule(at, func() {
			sum += float64(countBusyWorkers(o)) / volumeBound(used)
			samples++
		})
	}
	sim.runUntil(from + 200*second)
	return sum / samples
}

// countBusyWorkers returns the number of workers with tasks.
func countBusyWorkers(o *simOwner) int {
	n := 0
	for _, w := range o.pool.Workers() {
		if w.Tasks > 0 {
			n++
		}
	}
	return n
}

// volumeBound returns a lower bound of the number of workers that tasks with the total size used need, however they are
// packed.
func volumeBound(used ccwork.Size) float64 {
	return max(
		float64(used.MilliCores)/float64(capacity.MilliCores),
		float64(used.MemoryMB)/float64(capacity.MemoryMB),
		float64(used.Slots)/float64(capacity.Slots))
}

// Packing compares the number of workers in use with the volume bound, and with that of first-fit placement.
func Packing() []Row {
	value := medianOverSeeds(func(seed uint64) float64 { return workersOverBound(false, seed) })
	base := medianOverSeeds(func(seed uint64) float64 { return workersOverBound(true, seed) })
	a := valueRow("PackingOverVolumeBound", "times", value, base, 1.05)
	b := ratioRow("PackingAgainstFirstFit", "times", value, base, 1)
	a.WeighedBy, b.WeighedBy = "Agency", "Agency"
	return []Row{a, b}
}

// goodput offers twice the load that the workers can run. It returns the share of the capacity that goes to requests
// which start by their deadline, and late, the share of the accepted requests which start after it. Requests that
// arrive in the first four seconds are left out of the share of the capacity.
func goodput(cfg simConfig) (share, late float64) {
	sim := newSimulation(cfg)
	rate := 2 * totalSlots / (float64(meanRunTime) / float64(second))
	var good, accepted, missed micros
	from := sim.now
	const length = 20 * second
	n := 0
	sim.generateArrivals(from, from+length, rate, func(micros) float64 { return rate }, func() {
		n++
		t := &simTask{id: fmt.Sprint(n), team: "t", size: shortRequestSize, arrived: sim.now, run: pareto(sim.rand, meanRunTime, tailBound), maxWait: urgentMaxWait}
		t.done = func(t *simTask, started micros, ok bool) {
			if !ok {
				return
			}
			accepted++
			if started > t.arrived+t.maxWait+second/1_000 {
				missed++
				return
			}
			if t.arrived > from+4*second {
				good += t.run
			}
		}
		sim.submit(t)
	})
	sim.runUntil(from + length + 10*second)
	return float64(good) / float64((length-4*second)*totalSlots), float64(missed) / float64(max(accepted, 1))
}

// Goodput measures the shares that goodput returns, with load shedding. The baseline of the share of the capacity is
// randomFIFO without load shedding.
func Goodput() []Row {
	noShed := func(seed uint64) simConfig {
		c := randomFIFO(seed)
		c.noShed = true
		return c
	}
	value := medianOverSeeds(func(seed uint64) float64 { s, _ := goodput(productPolicy(seed)); return s })
	base := medianOverSeeds(func(seed uint64) float64 { s, _ := goodput(noShed(seed)); return s })
	late := medianOverSeeds(func(seed uint64) float64 { _, l := goodput(productPolicy(seed)); return l })
	a := valueRow("GoodputAtTwiceTheCapacity", "share", value, base, 0.95)
	a.AtLeast = true
	return []Row{a, valueRow("LateAmongAcceptedAtTwiceTheCapacity", "share", late, 1, 0)}
}
