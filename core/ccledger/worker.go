// Package ccledger keeps the capacity of the workers that one process owns: which claim holds
// which part of which worker, and where the next task fits best. It must be used by one
// goroutine only; no method blocks.
package ccledger

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Worker is a VM that runs tasks, as the VM list describes it.
type Worker struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Rack          string
	Capacity      ccwork.Size
	// Leaving workers get nothing new.
	Leaving bool
}

// Row is one line of a worker's task table.
type Row struct {
	Task  string
	Team  string
	Kind  string
	Long  bool
	Size  ccwork.Size
	State ccwork.TaskState
	// Result is the task's answer when it ended; for jobs only.
	Result []byte
}

// Phase is how far a claim has come.
type Phase int

const (
	// Reserved claims hold capacity until a time limit.
	Reserved Phase = iota
	// Sending claims have a start message in flight.
	Sending
	// Admitted claims were confirmed by the worker.
	Admitted
	// InDoubt claims had no reply to their start message.
	InDoubt
	// Finished claims hold no capacity; their result waits to be recorded.
	Finished
)

// Claim is one task's hold on a worker.
type Claim struct {
	Row
	Worker string
	Shard  string
	Phase  Phase
	// Since is when the phase began.
	Since ccclock.Millis
	// Until ends a reservation, or the time in which a doubtful start may still arrive.
	Until ccclock.Millis
	// Stopping is true once the task was told to stop to make room.
	Stopping bool
}

// entry is a worker with its ledger.
type entry struct {
	Worker
	shard  string
	free   ccwork.Size
	claims map[string]*Claim
	// reconciled is true once the task table was read under the present ownership.
	reconciled bool
	// authorized is true while the process has authority over the shard.
	authorized bool
	// lastReplyAt is when the worker last answered.
	lastReplyAt ccclock.Millis
	// unreachable is true while the worker does not answer.
	unreachable bool
	// deferrableTasks counts the tasks that can wait, and held the slots that they hold.
	deferrableTasks int
	deferrableSlots int64
	health          health
}

// health counts failures in a row and holds the quarantine.
type health struct {
	failures         int
	quarantinedUntil ccclock.Millis
	quarantineSpan   ccclock.Millis
}
