// Package ccledger keeps the ledger of the workers that one process owns: which task claims how much of which worker's
// capacity. It chooses the worker for each new task. It is not safe for concurrent use. No function blocks.
package ccledger

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Worker is a VM that runs tasks, as described by the VM list.
type Worker struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Rack          string
	Capacity      ccwork.Size
	// Leaving is true for a worker that gets no new tasks.
	Leaving bool
}

// Row is one row of a worker's task table.
type Row struct {
	Task  string
	Team  string
	Kind  string
	Long  bool
	Size  ccwork.Size
	State ccwork.TaskState
	// Result is the response of a task of a job that has ended. It is empty for requests.
	Result []byte
}

// Phase is the state of a claim.
type Phase int

const (
	// Reserved means that capacity is reserved until a given time.
	Reserved Phase = iota
	// Sending means that the start message is in flight.
	Sending
	// Admitted means that the worker has confirmed the start.
	Admitted
	// InDoubt means that the start message had no reply, so the task may or may not run.
	InDoubt
	// Finished means that the task has ended and uses no capacity, and that its result is not stored yet.
	Finished
)

// Claim is the capacity that one task uses on a worker, or may use.
type Claim struct {
	Row
	Worker string
	Shard  string
	Phase  Phase
	// Since is when the phase began.
	Since ccclock.Millis
	// Until is the end of a reservation, or the time after which a start that is in doubt can no longer arrive.
	Until ccclock.Millis
	// Stopping is true once the task was selected for preemption.
	Stopping bool
}

// entry is the ledger of one worker.
type entry struct {
	Worker
	shard  string
	free   ccwork.Size
	claims map[string]*Claim
	// reconciled is true once the task table was read under the present ownership of the shard.
	reconciled bool
	// authorized is true while the process has authority over the shard.
	authorized bool
	// lastReplyAt is when the worker last replied.
	lastReplyAt ccclock.Millis
	// unreachable is true while the worker does not reply.
	unreachable bool
	// deferrableTasks is the number of long and deferrable tasks, and deferrableSlots the slots that they use.
	deferrableTasks int
	deferrableSlots int64
	health          health
}

// health is the number of consecutive failures, and the quarantine that follows from them.
type health struct {
	failures int
	// quarantinedUntil is the end of the latest quarantine. It stays set until a task succeeds, and is 0 before the first
	// quarantine.
	quarantinedUntil ccclock.Millis
	// quarantinePeriod is the length of the latest quarantine.
	quarantinePeriod ccclock.Millis
}
