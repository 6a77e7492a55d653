package cccell

import "math"

const (
	// stageBytes is what a stage of a run occupies besides its tasks. A task that waits occupies one bit.
	stageBytes   = 1536
	tasksPerByte = 8
	// ordinaryJobBytes is the part of a job that is not counted: ordinary jobs are smaller, and are bounded by the rate at
	// which the store takes them.
	ordinaryJobBytes = 16 << 10
	// runMemoryShare is the share of Config.JobMemory up to which runs are started beyond the first one of a job.
	runMemoryShare = 0.5
	// attemptBytes is what a live attempt occupies at the leader, startBytes what a start does until its reply is there.
	attemptBytes = 1 << 10
	startBytes   = 32 << 10
)

// startRoom returns how many tasks may be started now: live attempts and starts without a reply have to fit into the memory
// for jobs each, and a task may ask for no capacity of a worker at all.
func (c *Cell) startRoom() int {
	if c.cfg.JobMemory == 0 {
		return math.MaxInt
	}
	return int(max(min(c.cfg.JobMemory/attemptBytes-c.liveAttempts, c.cfg.JobMemory/startBytes-c.startsPending), 0))
}

// LargeBytes returns what the job occupies at a leader beyond what an ordinary job does, in bytes.
func (j *Job) LargeBytes() int64 {
	return max(j.MemoryBytes()-ordinaryJobBytes, 0)
}

// MemoryBytes returns what the job occupies at a leader with one run, in bytes.
func (j *Job) MemoryBytes() int64 {
	n := int64(len(j.Spec)) + j.runBytes()
	for i := range j.Stages {
		s := &j.Stages[i]
		n += int64(len(s.Label) + len(s.DataRack) + len(s.Image))
	}
	return n
}

// runBytes returns what one run of the job occupies, in bytes.
func (j *Job) runBytes() int64 {
	var n int64
	for i := range j.Stages {
		n += stageBytes + int64(j.Stages[i].Count)/tasksPerByte
	}
	return n
}

// JobBytes returns what the jobs of the cell occupy: large ones, and the runs of scheduled ones.
func (c *Cell) JobBytes() int64 {
	return c.jobBytes
}

// chargeRun counts a run of a scheduled job.
func (c *Cell) chargeRun(j *job) {
	if j.spec.ScheduledRuns > 0 {
		n := j.spec.runBytes()
		j.runBytes += n
		c.jobBytes += n
	}
}

// creditRuns gives back n bytes of the runs of a job, or what is left of them.
func (c *Cell) creditRuns(j *job, n int64) {
	n = min(n, j.runBytes)
	j.runBytes -= n
	c.jobBytes -= n
}

// hasRoomForRun reports whether one more run of a job may be started: the first one always.
func (c *Cell) hasRoomForRun(j *job, open int) bool {
	most := int64(float64(c.cfg.JobMemory) * runMemoryShare)
	return open == 0 || c.cfg.JobMemory == 0 || c.jobBytes+j.spec.runBytes() <= most
}
