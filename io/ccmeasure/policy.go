package ccmeasure

import (
	"fmt"

	"coriandercross/core/ccledger"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccwork"
)

// Sizes of the scenarios.
const (
	users        = 50
	processes    = 7
	meanRun      = 50 * second / 1_000
	urgentLimit  = 2_300 * second / 1_000
	tailBound    = 20
	digestPeriod = second / 2
	seeds        = 3
)

// checkSize is the size of a quick request: it fills a slot.
var checkSize = ccwork.Size{MilliCores: 2_000, MemoryMB: 4_000, Slots: 1, Connections: 1}

// ours is the policy as the product has it.
func ours(seed uint64) fleetConfig {
	return fleetConfig{owners: processes, workers: users, routing: ccroute.TwoChoices, digestEvery: digestPeriod, reserve: 10, preempt: true, seed: seed}
}

// ideal is one queue over all slots.
func ideal(seed uint64) fleetConfig {
	cfg := ours(seed)
	cfg.owners = 1
	return cfg
}

// randomFIFO is random choice with first in, first out, and no digests on answers.
func randomFIFO(seed uint64) fleetConfig {
	cfg := ours(seed)
	cfg.routing = ccroute.Random
	cfg.fifo, cfg.preempt, cfg.reserve = true, false, 0
	return cfg
}

// overSeeds returns the median of a figure over fixed seeds.
func overSeeds(f func(seed uint64) float64) float64 {
	var values []float64
	for seed := uint64(1); seed <= seeds; seed++ {
		values = append(values, f(seed))
	}
	return median(values...)
}

// slots of the users' fleet.
const slots = users * 8

// crestWait returns a percentile of the wait of urgent work at the crest of a swing from a third of
// the load to all of it within two seconds.
func crestWait(cfg fleetConfig, load, p float64) float64 {
	f := newFleet(cfg)
	var waits []micros
	peak := load * slots / (float64(meanRun) / float64(second))
	const calm, swing, crest = 3 * second, 2 * second, 6 * second
	from := f.now
	rate := func(at micros) float64 {
		t := min(max(float64(at-from-calm)/float64(swing), 0), 1)
		return peak * (1 + 2*t) / 3
	}
	n := 0
	f.arrivals(from, from+calm+swing+crest, peak, rate, func() {
		n++
		w := &work{id: fmt.Sprint(n), team: "t", size: checkSize, arrived: f.now, run: pareto(f.rand, meanRun, tailBound), deadline: urgentLimit}
		w.done = func(w *work, started micros, ok bool) {
			if w.arrived < from+calm {
				return
			}
			if !ok {
				started = w.arrived + w.deadline
			}
			waits = append(waits, started-w.arrived)
		}
		f.submit(w)
	})
	f.run(from + calm + swing + crest + 10*second)
	return percentile(waits, p)
}

// Crest measures the wait at the crest.
func Crest() []Row {
	figure := func(cfg func(uint64) fleetConfig) float64 {
		return overSeeds(func(seed uint64) float64 { return crestWait(cfg(seed), 0.95, 99) })
	}
	value, best, plain := figure(ours), figure(ideal), figure(randomFIFO)
	a := ratioRow("CrestWaitP99AgainstIdeal", "ms", value, best, 1.5)
	b := ratioRow("CrestWaitP99AgainstRandomFIFO", "ms", value, plain, 1.0/3)
	a.For, b.For = "Vetterli", "Vetterli"
	return []Row{a, b}
}

// Routing compares ways to choose an owner, by the age of the digests.
func Routing() []Row {
	var rows []Row
	for _, stale := range []bool{false, true} {
		for _, policy := range []ccroute.Policy{ccroute.TwoChoices, ccroute.LeastWait} {
			cfg := func(seed uint64) fleetConfig {
				c := ours(seed)
				c.routing, c.stale = policy, stale
				return c
			}
			v := overSeeds(func(seed uint64) float64 { return crestWait(cfg(seed), 0.9, 99) })
			base := overSeeds(func(seed uint64) float64 { return crestWait(randomFIFO(seed), 0.9, 99) })
			name := "Routing" + string(policy) + "FreshDigests"
			if stale {
				name = "Routing" + string(policy) + "StaleDigests"
			}
			rows = append(rows, ratioRow(name, "ms", v, base, 1))
		}
	}
	return rows
}

// fillWithLong starts long work until nothing more of it fits.
func fillWithLong(f *fleet, size ccwork.Size, run micros) int {
	n := 0
	for _, o := range f.owners {
		for {
			n++
			id := fmt.Sprint("long-", n)
			r := ccledger.Request{Row: ccledger.Row{Task: id, Team: "long", Size: size, Long: true}, Deferrable: true}
			if _, err := o.pool.Reserve(r, f.now.millis(), 0); err != nil {
				break
			}
			o.pool.Advance(id, ccledger.Admitted, f.now.millis(), 0)
			w := &work{id: id, size: size, patient: true, run: run, done: func(*work, micros, bool) {}}
			f.begin(o, w)
		}
	}
	return n
}

// registrySize is the size of a registry job.
var registrySize = ccwork.Size{MilliCores: 2_000, MemoryMB: 8_000, Slots: 1, Connections: 1}

// urgentWaits sends urgent work to a fleet full of long work.
func urgentWaits(cfg fleetConfig, load float64) []micros {
	f := newFleet(cfg)
	fillWithLong(f, registrySize, 3_600*second)
	var waits []micros
	rate := load * slots / (float64(meanRun) / float64(second))
	n := 0
	from := f.now
	f.arrivals(from, from+10*second, rate, func(micros) float64 { return rate }, func() {
		n++
		w := &work{id: fmt.Sprint(n), team: "t", size: checkSize, arrived: f.now, run: pareto(f.rand, meanRun, tailBound), deadline: urgentLimit}
		w.done = func(w *work, started micros, ok bool) {
			if !ok {
				started = w.arrived + 2*w.deadline
			}
			waits = append(waits, started-w.arrived)
		}
		f.submit(w)
	})
	f.run(from + 20*second)
	return waits
}

// Urgent measures the start of urgent work with the fleet full of long work.
func Urgent() []Row {
	none := func(seed uint64) fleetConfig {
		c := ours(seed)
		c.reserve, c.preempt = 0, false
		return c
	}
	worst := func(cfg func(uint64) fleetConfig) float64 {
		return overSeeds(func(seed uint64) float64 { return percentile(urgentWaits(cfg(seed), 0.06), 100) })
	}
	r := valueRow("UrgentStartWorstBehindLongWork", "ms", worst(ours), worst(none), 2_300)
	r.For = "Vetterli"
	return []Row{r}
}

// mixedSlowdown sends short work beside registry jobs and stragglers, and returns the p99 slowdown of
// the short: wait and run over run.
func mixedSlowdown(cfg fleetConfig) float64 {
	f := newFleet(cfg)
	var slow []micros
	short := 0.25 * slots / (float64(meanRun) / float64(second))
	n := 0
	from := f.now
	f.arrivals(from, from+20*second, short, func(micros) float64 { return short }, func() {
		n++
		w := &work{id: fmt.Sprint("s", n), team: "t", size: checkSize, arrived: f.now, run: pareto(f.rand, meanRun, tailBound), deadline: 60 * second}
		w.done = func(w *work, started micros, ok bool) {
			slow = append(slow, (started-w.arrived+w.run)*1_000/max(w.run, 1))
		}
		f.submit(w)
	})
	// Long work comes in waves that would fill the fleet.
	for wave := range 4 {
		f.at(from+micros(wave)*5*second, func() {
			for range slots * 3 / 4 {
				n++
				run := pareto(f.rand, 4*second, tailBound)
				w := &work{id: fmt.Sprint("l", n), team: "long", size: registrySize, patient: true, arrived: f.now, run: run, deadline: 3_600 * second}
				w.done = func(*work, micros, bool) {}
				f.submit(w)
			}
		})
	}
	f.run(from + 60*second)
	return percentile(slow, 99)
}

// Slowdown measures short work behind long work.
func Slowdown() []Row {
	value := overSeeds(func(seed uint64) float64 { return mixedSlowdown(ours(seed)) })
	base := overSeeds(func(seed uint64) float64 { return mixedSlowdown(randomFIFO(seed)) })
	r := ratioRow("SlowdownP99OfShortBehindLong", "times", value, base, 1.0/5)
	r.For = "Agency"
	return []Row{r}
}

// packed returns how many workers the tasks take, over the volume bound, on average over a time in
// which tasks of uneven sizes come and go.
func packed(firstFit bool, seed uint64) float64 {
	cfg := ours(seed)
	cfg.owners, cfg.reserve, cfg.firstFit = 1, 0, firstFit
	f := newFleet(cfg)
	o := f.owners[0]
	const mean, load = 10 * second, 0.7
	var used ccwork.Size
	rate := load * float64(users*capacity.MilliCores) / 2_250 / (float64(mean) / float64(second))
	n := 0
	from := f.now
	f.arrivals(from, from+200*second, rate, func(micros) float64 { return rate }, func() {
		n++
		w := &work{id: fmt.Sprint(n), run: pareto(f.rand, mean, tailBound), done: func(*work, micros, bool) {}}
		w.size = ccwork.Size{MilliCores: 500 * (1 + f.rand.Int64N(8)), MemoryMB: 1_000 * (1 + f.rand.Int64N(16)), Slots: 1, Connections: 1}
		if _, err := o.pool.Reserve(ccledger.Request{Row: ccledger.Row{Task: w.id, Size: w.size}}, 0, 0); err != nil {
			return
		}
		used = used.Plus(w.size)
		f.at(f.now+w.run, func() {
			used = used.Minus(w.size)
			o.pool.Release(w.id)
		})
	})
	var sum, samples float64
	for at := from + 50*second; at < from+200*second; at += second {
		f.at(at, func() {
			sum += float64(busyWorkers(o)) / volumeBound(used)
			samples++
		})
	}
	f.run(from + 200*second)
	return sum / samples
}

// busyWorkers counts the workers with tasks.
func busyWorkers(o *fleetOwner) int {
	n := 0
	for _, w := range o.pool.Workers() {
		if w.Tasks > 0 {
			n++
		}
	}
	return n
}

// volumeBound is the least number of workers that tasks of a total size can take.
func volumeBound(used ccwork.Size) float64 {
	return max(
		float64(used.MilliCores)/float64(capacity.MilliCores),
		float64(used.MemoryMB)/float64(capacity.MemoryMB),
		float64(used.Slots)/float64(capacity.Slots))
}

// Packing measures the workers used against the volume bound.
func Packing() []Row {
	value := overSeeds(func(seed uint64) float64 { return packed(false, seed) })
	base := overSeeds(func(seed uint64) float64 { return packed(true, seed) })
	a := valueRow("PackingOverVolumeBound", "times", value, base, 1.05)
	b := ratioRow("PackingAgainstFirstFit", "times", value, base, 1)
	a.For, b.For = "Agency", "Agency"
	return []Row{a, b}
}

// goodput returns the share of capacity that ends within its deadline at twice the load.
func goodput(cfg fleetConfig) (share, late float64) {
	f := newFleet(cfg)
	rate := 2 * slots / (float64(meanRun) / float64(second))
	var good, accepted, missed micros
	from := f.now
	const length = 20 * second
	n := 0
	f.arrivals(from, from+length, rate, func(micros) float64 { return rate }, func() {
		n++
		w := &work{id: fmt.Sprint(n), team: "t", size: checkSize, arrived: f.now, run: pareto(f.rand, meanRun, tailBound), deadline: urgentLimit}
		w.done = func(w *work, started micros, ok bool) {
			if !ok {
				return
			}
			accepted++
			if started > w.arrived+w.deadline+second/1_000 {
				missed++
				return
			}
			if w.arrived > from+4*second {
				good += w.run
			}
		}
		f.submit(w)
	})
	f.run(from + length + 10*second)
	return float64(good) / float64((length-4*second)*slots), float64(missed) / float64(max(accepted, 1))
}

// Goodput measures twice the capacity, with shedding and without.
func Goodput() []Row {
	noShed := func(seed uint64) fleetConfig {
		c := randomFIFO(seed)
		c.noShed = true
		return c
	}
	value := overSeeds(func(seed uint64) float64 { s, _ := goodput(ours(seed)); return s })
	base := overSeeds(func(seed uint64) float64 { s, _ := goodput(noShed(seed)); return s })
	late := overSeeds(func(seed uint64) float64 { _, l := goodput(ours(seed)); return l })
	a := valueRow("GoodputAtTwiceTheCapacity", "share", value, base, 0.95)
	a.AtLeast = true
	return []Row{a, valueRow("LateAmongAcceptedAtTwiceTheCapacity", "share", late, 1, 0)}
}
