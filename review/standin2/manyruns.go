package main

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccontrol"
	"coriandercross/platform/ccemulator"

	"github.com/fxamacker/cbor/v2"
)

// The case manyruns: a job that runs each second has done so for a day and a half, and the process that leads is killed.

const (
	manyNodes, manyWorkers = 7, 48
	// earlierRuns is the number of runs that had ended before.
	earlierRuns = 131_060
	manyRuns    = 200_000
	manyPeriod  = time.Second
	manyTask    = 200 * time.Millisecond
	manyKillAt  = 20 * time.Second
)

// runManyRuns plays the case and returns whether the rule held.
func runManyRuns(rec *record, program, dir string, trouble bool) (bool, error) {
	e, err := ccemulator.New(ccemulator.Config{MaxLeaseMs: maxLeaseMs})
	if err != nil {
		return false, err
	}
	defer e.Close()
	f, err := newFleet(rec, e, manyWorkers, smallWorker, func(*worker, string) time.Duration { return manyTask })
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := e.Configure(1, route); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	if err := leaveRuns(e, id); err != nil {
		return false, err
	}
	rec.printf("the store has job %s with %d runs of %d done", id, earlierRuns, manyRuns)
	s, err := newSystem(rec, program, dir, e.StoreAddress, e.PolicyAddress, manyNodes)
	if err != nil {
		return false, err
	}
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(manyKillAt)
	n := s.leader()
	if n == nil {
		return false, fmt.Errorf("no process leads")
	}
	if trouble {
		rec.printf("%s leads: SIGKILL", n.name)
		n.signal(syscall.SIGKILL)
	} else {
		rec.printf("%s leads", n.name)
	}
	time.Sleep(15 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	again := 0
	for task, starts := range f.starts {
		if k, _ := strconv.Atoi(strings.Split(task, ".")[1]); k < earlierRuns {
			again += starts
		}
	}
	rec.printf("%d starts of runs that the store had as done, %d of %d other tasks started twice", again, len(f.violations), len(f.starts))
	return again == 0 && len(f.violations) == 0, nil
}

// leaveRuns writes the job and its progress as the system leaves them.
func leaveRuns(e *ccemulator.Emulator, id string) error {
	first := time.Now().UnixMilli() - earlierRuns*manyPeriod.Milliseconds()
	job := cccell.Job{
		ID: id, Spec: "nesting", ScheduledRuns: manyRuns, FirstRunMs: first, PeriodMs: manyPeriod.Milliseconds(), AcceptedMs: first,
		Queue:  cccell.Queue{Name: "q0", Service: fleetService, MaxAttempts: 3, TargetMs: 500, SlackFactor: 1.5, Advice: &cccell.AdviceConfig{DecideMs: 5, PerWorkerMs: 0.1, ValidMs: 2000}},
		Stages: []cccell.Stage{{Count: 1, Size: ccwork.Size{MilliCores: 1300, MemoryMB: 256}, EstimateMs: manyTask.Milliseconds()}},
	}
	progress := cccell.Progress{Runs: map[int]cccell.RunProgress{}}
	for k := range earlierRuns {
		progress.Runs[k] = cccell.RunProgress{Done: true}
	}
	t := &cccontrol.Txn{}
	for key, v := range map[string]any{"cc/in/j/" + id: &job, progressPrefix + id: &progress} {
		data, err := cbor.Marshal(v)
		if err != nil {
			return err
		}
		t.Puts = append(t.Puts, cccontrol.Put{Key: key, Value: data})
	}
	_, err := e.Store.Commit(t)
	return err
}
