package ccmeasure

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"coriandercross/core/ccledger"
	"coriandercross/core/ccqueue"
	"coriandercross/core/ccwork"
)

const (
	// targetWorkers and targetTasks are the size of the deployment that the design must support.
	targetWorkers = 3_600
	targetTasks   = 61_000
	// minPlacementsPerSecond, on one goroutine, is ten times targetStartsPerSecond.
	minPlacementsPerSecond = 26_000
	placements             = 20_000
	p99Percent             = 99
)

// smallTaskSize is the size of the tasks that fill the pool. At the target size of the deployment, a worker runs about
// seventeen of them.
var smallTaskSize = ccwork.Size{MilliCores: 500, MemoryMB: 1_000, Connections: 1}

// newFilledPool returns a pool of n workers with running tasks, of which there are as many for each worker as in a
// deployment of the target size.
func newFilledPool(n int) *ccledger.Pool {
	p := ccledger.NewPool(ccledger.Config{ReservePercent: 10, QuarantinePercent: 20, MaxFailures: 5, TaskLease: 6_000})
	for i := range n {
		id := fmt.Sprintf("worker-%05d", i)
		p.Add(ccledger.Worker{ID: id, Capacity: capacity}, fmt.Sprint("rack-", i/8), 0)
		p.Reconcile(id, nil, 0, 0)
		p.SetAuthority(fmt.Sprint("rack-", i/8), true)
	}
	for i := range n * targetTasks / targetWorkers {
		id := fmt.Sprint("task-", i)
		if _, err := p.Reserve(ccledger.Request{Row: ccledger.Row{Task: id, Team: fmt.Sprint("team-", i%78), Size: smallTaskSize}}, 0, 0); err != nil {
			break
		}
		p.Advance(id, ccledger.Admitted, 0, 0)
	}
	return p
}

// measurePlacements repeatedly reserves and releases capacity for a task in a filled pool of n workers. It returns the
// 99th percentile of the time of one placement, and the number of placements per second.
func measurePlacements(n int) (p99Ms, perSecond float64) {
	p := newFilledPool(n)
	runtime.GC()
	times := make([]time.Duration, placements)
	begin := time.Now()
	for i := range times {
		start := time.Now()
		r := ccledger.Request{Row: ccledger.Row{Task: "probe", Team: "team-1", Size: shortRequestSize}}
		if _, err := p.Reserve(r, 0, 0); err == nil {
			p.Release("probe")
		}
		times[i] = time.Since(start)
	}
	total := time.Since(begin)
	slices.Sort(times)
	p99 := times[placements*p99Percent/100]
	return float64(p99.Microseconds()) / 1_000, placements / total.Seconds()
}

// Decision measures the time of a decision, which is the placement of one task on a worker, for several numbers of
// workers.
func Decision() []Row {
	var rows []Row
	base, baseRate := measurePlacements(exampleWorkers)
	for _, n := range []int{exampleWorkers, 500, targetWorkers, 10_000} {
		p99, rate := measurePlacements(n)
		rows = append(rows, valueRow(fmt.Sprintf("DecisionP99At%dWorkers", n), "ms", p99, base, 1))
		r := valueRow(fmt.Sprintf("DecisionsPerSecondAt%dWorkers", n), "1/s", rate, baseRate, 0)
		// Above the target size, every rate is within the bound.
		if n <= targetWorkers {
			r.Bound = minPlacementsPerSecond
		}
		r.AtLeast = true
		rows = append(rows, r)
	}
	return rows
}

// cancelledTasks is the number of queued tasks that Cancellation removes.
const cancelledTasks = 100_000

// Cancellation measures the longest time between two starts while many queued tasks are cancelled.
func Cancellation() []Row {
	q := ccqueue.New()
	for i := range cancelledTasks {
		q.Push(&ccqueue.Item{Task: fmt.Sprint(i), Team: fmt.Sprint(i % 78), Size: shortRequestSize, Deadline: 1 << 40, Done: func(error) {}})
	}
	urgent := smallTaskSize
	var worst time.Duration
	last := time.Now()
	for i := range cancelledTasks {
		q.Remove(fmt.Sprint(i))
		// One urgent request starts after each cancellation, as the control loop handles starts between cancellations.
		q.Push(&ccqueue.Item{Task: "urgent", Team: "u", Size: urgent, Deadline: 0, Done: func(error) {}})
		q.Dispatch(0, func(it *ccqueue.Item) error {
			if it.Task == "urgent" {
				return nil
			}
			return ccledger.ErrFull
		})
		now := time.Now()
		worst = max(worst, now.Sub(last))
		last = now
	}
	return []Row{valueRow("PauseOfStartsInAWaveOfCancellations", "ms", float64(worst.Microseconds())/1_000, 0, 10)}
}
