// Package ccwork holds the domain types of work: sizes, classes, outcomes and task states.
package ccwork

import "github.com/cockroachdb/errors"

// ErrBadClass reports a class outside the four.
var ErrBadClass = errors.New("class is none of Interactive, Batch, Gang, Service")

// Class says which policy a kind of work wants.
type Class string

const (
	// Interactive work is answered while its caller waits.
	Interactive Class = "Interactive"
	// Batch work may wait but must never be lost.
	Batch Class = "Batch"
	// Gang work needs all tasks of a job started together.
	Gang Class = "Gang"
	// Service work runs until it is cancelled.
	Service Class = "Service"
)

// Check returns ErrBadClass for any other text.
func (c Class) Check() error {
	switch c {
	case Interactive, Batch, Gang, Service:
		return nil
	}
	return errors.Wrapf(ErrBadClass, "%q", string(c))
}

// TaskState is a state in a worker's task table.
type TaskState string

const (
	// Running means that the task holds its size on the worker.
	Running TaskState = "Running"
	// Succeeded means that the task ended well.
	Succeeded TaskState = "Succeeded"
	// Failed means that the task ended and reported failure.
	Failed TaskState = "Failed"
	// Stopped means that the task was stopped, or that its lease lapsed.
	Stopped TaskState = "Stopped"
	// Uncertain means that the worker can't be reached and the lease may still hold.
	Uncertain TaskState = "Uncertain"
)

// Ended reports whether the task no longer holds its size.
func (s TaskState) Ended() bool {
	return s == Succeeded || s == Failed || s == Stopped
}
