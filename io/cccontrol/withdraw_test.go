package cccontrol_test

import (
	"context"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccstandin"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A cancellation of a job whose submission was still being written was answered with "no such job"; the job was stored and run
// all the same.
func TestCancelledBeforeItIsStored(t *testing.T) {
	ctx, noCaller, teamA, teamB := context.Background(), cccontrol.Caller{}, cccontrol.Caller{Team: "a"}, cccontrol.Caller{Team: "b"}
	tests := map[string]struct {
		cancels []cccontrol.Caller
		submits cccontrol.Caller
		// want is the error of the submission, nil if the job is accepted.
		want error
	}{
		"NoTeams":        {[]cccontrol.Caller{noCaller}, noCaller, cccontrol.ErrWithdrawn},
		"Twice":          {[]cccontrol.Caller{noCaller, noCaller}, noCaller, cccontrol.ErrWithdrawn},
		"Returning":      {[]cccontrol.Caller{noCaller}, cccontrol.Caller{UsedMs: 500}, ccstore.ErrInDoubt},
		"SameTeam":       {[]cccontrol.Caller{teamA}, teamA, cccontrol.ErrWithdrawn},
		"OtherTeam":      {[]cccontrol.Caller{teamA}, teamB, nil},
		"OtherTeamFirst": {[]cccontrol.Caller{teamA, teamB}, teamB, cccontrol.ErrWithdrawn},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, store := newProcess(t)
			for _, caller := range test.cancels {
				assert.Assert(t, errors.Is(p.Cancel(ctx, caller, "j"), cccontrol.ErrNoJob))
			}
			_, err := p.Status(ctx, test.submits, "j")
			assert.Assert(t, errors.Is(err, cccontrol.ErrNoJob), "a job that nobody has submitted is shown")
			err = p.Submit(ctx, test.submits, testJob("j"), 3000)
			items, _, rangeErr := store.Range(ctx, "cc/in/j/", false)
			assert.NilError(t, rangeErr)
			if test.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, len(items), 1)
				state, err := p.Status(ctx, test.submits, "j")
				assert.NilError(t, err)
				assert.Equal(t, state, cccell.Queued)
				return
			}
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			var refusal *cccontrol.Refusal
			assert.Equal(t, errors.As(err, &refusal), errors.Is(test.want, cccontrol.ErrWithdrawn), "a refusal must be true")
			assert.Equal(t, len(items), 0)
			_, err = p.Status(ctx, test.submits, "j")
			assert.Assert(t, errors.Is(err, cccontrol.ErrNoJob))
		})
	}
}

// lateReads finds nothing in its first reads, like a read that was carried out before a submission was stored.
type lateReads struct {
	cccontrol.Store
	left int
}

func (s *lateReads) Get(ctx context.Context, key string) (cccontrol.Item, error) {
	if s.left > 0 {
		s.left--
		return cccontrol.Item{}, cccontrol.ErrNoKey
	}
	return s.Store.Get(ctx, key)
}

// A job that is stored while its cancellation looks for it is cancelled like any other.
func TestCancelledWhileItIsStored(t *testing.T) {
	store := ccstandin.NewCellStore()
	submitter := newProcessWithStore(t, store)
	assert.NilError(t, submitter.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000))
	p := newProcessWithStore(t, &lateReads{store, 3})
	assert.NilError(t, p.Cancel(context.Background(), cccontrol.Caller{}, "j"))
	_, err := store.Get(context.Background(), "cc/in/x/j")
	assert.NilError(t, err)
}

// A cancellation whose outcome is not known is not confirmed, and is carried out by a later attempt.
func TestCancelInDoubtIsNotConfirmed(t *testing.T) {
	p, store := newProcess(t)
	store.SetFault(func(kind string) ccstandin.Fault {
		if kind == "write" {
			return ccstandin.LoseReply
		}
		return ccstandin.Pass
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := p.Cancel(ctx, cccontrol.Caller{}, "j")
	assert.Assert(t, errors.Is(err, cccontrol.ErrStateUnknown) || errors.Is(err, cccontrol.ErrNoJob), "%v", err)
	store.SetFault(nil)
	assert.Assert(t, errors.Is(p.Cancel(context.Background(), cccontrol.Caller{}, "j"), cccontrol.ErrNoJob))
	assert.Assert(t, errors.Is(p.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000), cccontrol.ErrWithdrawn))
}
