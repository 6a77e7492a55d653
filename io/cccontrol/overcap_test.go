package cccontrol_test

import (
	"context"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccstandin"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A gang that the cap of its team never admits is refused before anything is written. A job that was accepted under a
// higher cap is still known.
func TestGangAboveTheCapIsRefused(t *testing.T) {
	const high, low = `[{"name":"a","api_keys":["ka"],"cap":{"cpu":9000}}]`, `[{"name":"a","api_keys":["ka"],"cap":{"cpu":2000}}]`
	k := newKeyed(t, ccstandin.NewCellStore())
	submit := func(id string) error {
		j := testJob(id)
		j.Queue.Name = "q"
		j.Stages[0].Gang, j.Stages[0].Count, j.Stages[0].Size.MilliCores = true, 3, 1000
		return k.Submit(context.Background(), k.as(t, "q", "ka"), j, 3000)
	}
	k.configure(1, high)
	assert.NilError(t, submit("early"))
	k.configure(2, low)
	assert.NilError(t, submit("early"))
	other := newKeyed(t, k.store) // It has not heard of the job.
	other.configure(2, low)
	k, first := other, k
	assert.NilError(t, submit("early"))
	k = first
	err := submit("late")
	var refusal *cccontrol.Refusal
	assert.Assert(t, errors.As(err, &refusal) && errors.Is(err, cccell.ErrOverCap), "%v", err)
	assert.Assert(t, refusal.RetryAfterMs > 60_000, "only an edit by an operator helps")
	_, getErr := k.store.Get(context.Background(), "cc/in/j/late")
	assert.ErrorIs(t, getErr, cccontrol.ErrNoKey)
}
