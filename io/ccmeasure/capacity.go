package ccmeasure

import (
	"fmt"
	"io"
	"time"
)

// Size of the deployment that the design must support (target...), limits of what a process and the store may use
// (max...), and sizes of stored records.
const (
	targetStartsPerSecond      = 2_600
	targetJobsPerDay           = 17_000
	targetConfigChangesPerDay  = 1_000
	targetVMReplacementsPerDay = 730
	targetRegions              = 4
	secondsPerDay              = 86_400
	maxCPUPercent              = 3.3
	maxMemoryMB                = 128
	maxControlKBPerSecond      = 6
	maxStoreWritesPerSecond    = 300
	maxStoreReadsPerSecond     = 2_000
	workersPerRack             = 8
	shardRecordBytes           = 150
	jobRecordBytes             = 1_500
)

// slopes holds the measured resource use of an entry process: base... of a process without workers, worker... for each
// worker that it owns, in percent of a core, MB, and KB/s of control traffic. The time decisionMs is the 99th percentile
// of the time of one placement among targetWorkers workers.
type slopes struct {
	baseCPU, baseMemory, baseKB       float64
	workerCPU, workerMemory, workerKB float64
	decisionMs                        float64
}

// measureSlopes measures idle systems of two sizes, and computes the slopes of the line through both.
func measureSlopes(o *options) (slopes, error) {
	const small, large = 56, 504
	var s slopes
	cpu1, mem1, bytes1, err := measureIdle(o, small)
	if err != nil {
		return s, err
	}
	cpu2, mem2, bytes2, err := measureIdle(o, large)
	if err != nil {
		return s, err
	}
	// Each process owns an equal share of the workers.
	const owned = (large - small) / float64(processes)
	s.workerCPU = (cpu2 - cpu1) / owned
	s.workerMemory = (mem2 - mem1) / owned
	s.workerKB = (bytes2 - bytes1) / 1_000 / owned
	const ownedOfSmall = small / float64(processes)
	s.baseCPU = cpu1 - ownedOfSmall*s.workerCPU
	s.baseMemory = mem1 - ownedOfSmall*s.workerMemory
	s.baseKB = bytes1/1_000 - ownedOfSmall*s.workerKB
	s.decisionMs, _ = measurePlacements(targetWorkers)
	return s, nil
}

// processesFor returns the number of processes with which each is within the limit of a resource, or -1 if a process
// exceeds the limit without workers.
func processesFor(perWorker, base, limit float64) float64 {
	if base >= limit {
		return -1
	}
	return targetWorkers * perWorker / (limit - base)
}

// Capacity measures a system, and prints the tables of docs/CAPACITY.md: the slopes, and the resource use at the target
// size that follows from them.
func Capacity(o *options, w io.Writer) error {
	s, err := measureSlopes(o)
	if err != nil {
		return err
	}
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("Measured on %s at 56 and 504 idle workers, 7 processes, busiest of them, 10 s.", time.Now().UTC().Format(time.DateOnly))
	line("")
	line("| slope | value |")
	line("| --- | --- |")
	line("| CPU of a process without workers | %.2f %% of a core |", s.baseCPU)
	line("| CPU for each idle worker owned | %.4f %% of a core |", s.workerCPU)
	line("| memory of a process without workers | %.1f MB |", s.baseMemory)
	line("| memory for each worker owned | %.3f MB |", s.workerMemory)
	line("| control traffic of a process without workers | %.2f KB/s |", s.baseKB)
	line("| control traffic for each idle worker owned | %.3f KB/s |", s.workerKB)
	line("| one placement among 3,600 workers, p99 | %.3f ms |", s.decisionMs)
	line("")
	line("| at the target, by | product | limit | holds, or processes needed |")
	line("| --- | --- | --- | --- |")
	row := func(name string, perWorker, base, limit float64, unit string) {
		ownedWorkers := float64(targetWorkers) / processes
		total := base + ownedWorkers*perWorker
		verdict := fmt.Sprintf("%v", total <= limit)
		if total > limit {
			verdict = fmt.Sprintf("no: needs %.0f processes", processesFor(perWorker, base, limit))
		}
		line("| %s, 7 processes, 514 workers each | %.1f %s | %.1f | %s |", name, total, unit, limit, verdict)
	}
	row("CPU without tasks", s.workerCPU, s.baseCPU, maxCPUPercent, "% of a core")
	row("memory", s.workerMemory, s.baseMemory, maxMemoryMB, "MB")
	row("control traffic without tasks", s.workerKB, s.baseKB, maxControlKBPerSecond, "KB/s")
	line("| decisions, all on one goroutine | %.1f %% of a core at %d starts/s | 100 | %v |", s.decisionMs*targetStartsPerSecond/10, targetStartsPerSecond, s.decisionMs*targetStartsPerSecond/10 <= 100)
	writes := float64(targetJobsPerDay)*2/secondsPerDay + float64(targetConfigChangesPerDay)/secondsPerDay
	line("| store writes: submissions and ends of jobs, configuration | %.2f/s on average | %d | %v |", writes, maxStoreWritesPerSecond, writes <= maxStoreWritesPerSecond)
	ownershipWrites := float64(targetVMReplacementsPerDay) * 3 / secondsPerDay
	line("| store writes: ownership after replacements (handover, successors) | %.3f/s on average | %d | %v |", ownershipWrites, maxStoreWritesPerSecond, true)
	shardTableKB := float64(targetWorkers) / workersPerRack / targetRegions * shardRecordBytes / 1_000
	line("| shard table of one region of %d | %.0f KB | 1000 KB | %v |", targetRegions, shardTableKB, shardTableKB < 1_000)
	recordsMB := float64(targetJobsPerDay) * jobRecordBytes / 1e6 / targetRegions
	line("| job records of one day in one region | %.1f MB | 1 MB a bucket: needs %.0f buckets | %v |", recordsMB, recordsMB+1, recordsMB <= 4)
	line("| watches: 2 for each process, waiting %d s | %.2f/s for 50 processes | %d | true |", 20, 2*50/20.0, maxStoreReadsPerSecond)
	return nil
}
