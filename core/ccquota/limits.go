// Package ccquota keeps the books of what each team has running, and decides what its limits still admit. It uses no
// sockets and no clock.
package ccquota

import (
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadLimits reports limits of a team that can't be put in force.
var ErrBadLimits = errors.New("limits of the team are malformed")

// Limits are the limits of one team.
type Limits struct {
	// Weight is the share of the team relative to the other teams when the cell is full.
	Weight int64
	// Cap is what the team may have running on all workers together; a value of 0 means no limit.
	Cap ccwork.Size
}

// Check returns ErrBadLimits for a negative value.
func (l *Limits) Check() error {
	if l.Weight < 0 {
		return errors.Wrapf(ErrBadLimits, "weight %d is negative", l.Weight)
	}
	if err := l.Cap.Check(); err != nil {
		return errors.Mark(errors.Wrap(err, "cap"), ErrBadLimits)
	}
	return nil
}
