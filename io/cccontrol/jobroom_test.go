package cccontrol_test

import (
	"context"
	"strings"
	"testing"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccstandin"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestLargeJobsAreRefusedWithoutRoom checks what callers of large jobs get when the memory for them is taken: a refusal that is
// true, and no refusal if another process may have the job, or if this one knows it. An ordinary job is accepted.
func TestLargeJobsAreRefusedWithoutRoom(t *testing.T) {
	const memory, large = 100 << 10, 60 << 10
	tests := map[string]struct {
		id     string
		bytes  int
		used   ccclock.Millis
		want   error
		stored bool
	}{
		"Large":     {"new", large, 0, ccwork.ErrOverload, false},
		"Returning": {"new", large, 500, ccstore.ErrInDoubt, false},
		"Known":     {"first", large, 500, nil, true},
		"Ordinary":  {"new", 1000, 0, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, store := newProcess(t)
			p.SetJobMemory(memory)
			submit := func(id string, bytes int, used ccclock.Millis) error {
				j := testJob(id)
				j.Stages[0].Image = strings.Repeat("x", bytes)
				return p.Submit(context.Background(), cccontrol.Caller{UsedMs: used}, j, 3000)
			}
			assert.NilError(t, submit("first", large, 0))
			err := submit(test.id, test.bytes, test.used)
			assert.Equal(t, err == nil, test.want == nil, "%v", err)
			assert.Assert(t, test.want == nil || errors.Is(err, test.want), "%v", err)
			var refusal *cccontrol.Refusal
			assert.Equal(t, errors.As(err, &refusal), test.want == ccwork.ErrOverload)
			items, _, err := store.Range(context.Background(), "cc/in/j/"+test.id, false)
			assert.NilError(t, err)
			assert.Equal(t, len(items) == 1, test.stored)
		})
	}
}

// TestRefusedWriteGivesRoomBack checks that a large job that the store has refused takes no room.
func TestRefusedWriteGivesRoomBack(t *testing.T) {
	p, store := newProcess(t)
	p.SetJobMemory(100 << 10)
	store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
	for range 3 {
		j := testJob("j")
		j.Stages[0].Image = strings.Repeat("x", 60<<10)
		err := p.Submit(context.Background(), cccontrol.Caller{}, j, 3000)
		assert.Assert(t, errors.Is(err, ccwork.ErrStore), "%v", err)
	}
}
