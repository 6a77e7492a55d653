// Package ccwork defines the types that describe work: sizes, classes, outcomes and task states.
package ccwork

import "github.com/cockroachdb/errors"

// ErrBadClass reports an unknown class.
var ErrBadClass = errors.New("class is none of Interactive, Batch, Gang, Service")

// Class selects the policy for a kind of work.
type Class string

const (
	// Interactive work is a request whose caller waits for the response.
	Interactive Class = "Interactive"
	// Batch work may wait but must never be lost.
	Batch Class = "Batch"
	// Gang work needs all tasks of a job to run at the same time.
	Gang Class = "Gang"
	// Service work runs until it is cancelled.
	Service Class = "Service"
)

// Check returns ErrBadClass for an unknown class.
func (c Class) Check() error {
	switch c {
	case Interactive, Batch, Gang, Service:
		return nil
	}
	return errors.Wrapf(ErrBadClass, "%q", string(c))
}

// TaskState is the state of a task in a worker's task table.
type TaskState string

const (
	// Running means that the task uses its size on the worker.
	Running TaskState = "Running"
	// Succeeded means that the task ended and reported success.
	Succeeded TaskState = "Succeeded"
	// Failed means that the task ended and reported failure.
	Failed TaskState = "Failed"
	// Stopped means that the task was stopped, or that its lease lapsed.
	Stopped TaskState = "Stopped"
	// Uncertain means that the worker can't be reached and the task's lease may not have lapsed yet.
	Uncertain TaskState = "Uncertain"
)

// Ended reports whether the task has ended, so that it no longer uses its size.
func (s TaskState) Ended() bool {
	return s == Succeeded || s == Failed || s == Stopped
}
