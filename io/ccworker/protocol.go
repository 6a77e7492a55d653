// Package ccworker talks to workers: it starts requests and tasks, renews leases and reads task
// tables, over HTTP. It is the only package that knows a worker's wire.
package ccworker

import (
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadReply reports a reply of a worker that breaks the protocol.
var ErrBadReply = errors.New("reply of the worker is malformed")

// Headers of a request that is run while its caller waits. The answer is the body of the reply,
// and complete only if the trailer OutcomeTrailer follows it.
const (
	TaskHeader     = "Task-Id"
	TeamHeader     = "Task-Team"
	KindHeader     = "Task-Kind"
	SizeHeader     = "Task-Size"
	EpochHeader    = "Task-Epoch"
	LeaseHeader    = "Task-Lease-Ms"
	NotAfterHeader = "Task-Not-After-Unix-Ms"
	OutcomeTrailer = "Task-Outcome"
)

// Paths of a worker.
const (
	RunPath   = "/v1/run"
	TasksPath = "/v1/tasks"
	SyncPath  = "/v1/sync"
)

// TaskSpec is one task of a job to be started.
type TaskSpec struct {
	Task    string
	Team    string
	Kind    string
	Long    bool `json:",omitempty"`
	Size    ccwork.Size
	Payload []byte `json:",omitempty"`
}

// StartRequest starts tasks that run without a waiting caller.
type StartRequest struct {
	// Epoch of the sender's ownership.
	Epoch uint64
	// LeaseMs is how long a task runs on without a renewal.
	LeaseMs int64
	// NotAfterUnixMs is the wall-clock time after which a worker should refuse the start.
	NotAfterUnixMs int64
	Tasks          []TaskSpec
}

// StartReply tells which tasks were not started, by ID, and why.
type StartReply struct {
	Refused map[string]string
}

// SyncRequest renews the leases of all tasks, stops and forgets tasks, and asks for the task table.
type SyncRequest struct {
	Epoch   uint64
	LeaseMs int64
	Stop    []string `json:",omitempty"`
	Forget  []string `json:",omitempty"`
	// Boot and Since are of the last table read.
	Boot  string `json:",omitempty"`
	Since uint64 `json:",omitempty"`
	// WaitMs is how long the worker may hold the reply back while the table does not change.
	WaitMs int64 `json:",omitempty"`
}

// Row is one line of a worker's task table.
type Row struct {
	Task   string
	Team   string           `json:",omitempty"`
	Kind   string           `json:",omitempty"`
	Long   bool             `json:",omitempty"`
	Size   ccwork.Size      `json:",omitzero"`
	State  ccwork.TaskState `json:",omitempty"`
	Result []byte           `json:",omitempty"`
}

// SyncReply is a worker's task table.
type SyncReply struct {
	// Boot names one run of the worker's own process.
	Boot string
	// Version grows with every change of the table.
	Version uint64
	// Unchanged is true when the table is that of Since; Rows are empty then.
	Unchanged bool  `json:",omitempty"`
	Rows      []Row `json:",omitempty"`
}

// Check returns ErrBadReply for a table that can't be used.
func (r *SyncReply) Check() error {
	if r.Boot == "" {
		return errors.Wrap(ErrBadReply, "task table has no Boot")
	}
	for i := range r.Rows {
		if r.Rows[i].Task == "" || r.Rows[i].Size.Check() != nil {
			return errors.Wrapf(ErrBadReply, "row %d has no task or a bad size", i)
		}
	}
	return nil
}

// ledgerRows converts a table to the ledger's rows.
func ledgerRows(rows []Row) []ccledger.Row {
	out := make([]ccledger.Row, len(rows))
	for i, r := range rows {
		out[i] = ccledger.Row{
			Task: r.Task, Team: r.Team, Kind: r.Kind, Long: r.Long,
			Size: r.Size, State: r.State, Result: r.Result,
		}
	}
	return out
}
