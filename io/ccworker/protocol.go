// Package ccworker is the client of the protocol of workers, which is JSON over HTTP. It runs requests, starts tasks,
// renews leases and reads task tables. The wire format is defined in this package only.
package ccworker

import (
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadReply reports a reply of a worker that violates the protocol.
var ErrBadReply = errors.New("reply of the worker violates the protocol")

// Headers of a request that a worker runs while the caller waits. The reply body is the answer. It is complete only if
// the trailer OutcomeTrailer follows.
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

// URL paths of a worker.
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

// StartRequest starts tasks of a job, which run without a waiting caller.
type StartRequest struct {
	// Epoch is the epoch at which the sender owns the worker's shard.
	Epoch uint64
	// LeaseMs is how long a task keeps running when its lease is not renewed.
	LeaseMs int64
	// NotAfterUnixMs is the wall-clock time after which the worker should refuse the start.
	NotAfterUnixMs int64
	Tasks          []TaskSpec
}

// StartReply gives the tasks that were not started, by ID, with the reason.
type StartReply struct {
	Refused map[string]string
}

// SyncRequest renews the leases of all tasks, delivers orders to stop and to forget tasks, and requests the task table.
type SyncRequest struct {
	Epoch   uint64
	LeaseMs int64
	Stop    []string `json:",omitempty"`
	Forget  []string `json:",omitempty"`
	// Boot and Since are the Boot and Version of the task table that the sender read last.
	Boot  string `json:",omitempty"`
	Since uint64 `json:",omitempty"`
	// WaitMs is how long the worker may delay its reply while the task table stays the same, in milliseconds.
	WaitMs int64 `json:",omitempty"`
}

// Row is one task in a worker's task table.
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
	// Boot identifies one run of the worker's own process.
	Boot string
	// Version grows with every change of the table.
	Version uint64
	// Unchanged is true when the table has not changed since the one that Boot and Since of the request name. Rows is
	// empty then.
	Unchanged bool  `json:",omitempty"`
	Rows      []Row `json:",omitempty"`
}

// Check returns ErrBadReply for a table that is malformed.
func (r *SyncReply) Check() error {
	if r.Boot == "" {
		return errors.Wrap(ErrBadReply, "task table has no Boot")
	}
	for i := range r.Rows {
		if r.Rows[i].Task == "" || r.Rows[i].Size.Check() != nil {
			return errors.Wrapf(ErrBadReply, "row %d has no task or an invalid size", i)
		}
	}
	return nil
}

// ledgerRows converts the rows of a task table to the type of the ledger.
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
