package ccqueue

import (
	"slices"
	"testing"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

var (
	small       = ccwork.Size{MilliCores: 1}
	large       = ccwork.Size{MilliCores: 9}
	errNoWorker = errors.New("no free worker")
)

// push adds a request that appends its task to ended when it ends, with the reason if it failed.
func push(q *Queue, task string, size ccwork.Size, deadline ccclock.Millis, urgency int, ended *[]string) {
	q.Push(&Item{Task: task, Team: "t", Size: size, Deadline: deadline, Urgency: urgency, Done: func(err error) {
		if err != nil {
			task += " " + ccwork.ReasonOf(err)
		}
		*ended = append(*ended, task)
	}})
}

func TestDispatch(t *testing.T) {
	cases := map[string]struct {
		fits func(*Item) bool
		want []string
	}{
		"ByDeadlineThenUrgency":  {func(*Item) bool { return true }, []string{"late Deadline", "first", "urgent", "calm", "large"}},
		"LargeDoesNotBlockSmall": {func(it *Item) bool { return it.Size == small }, []string{"late Deadline", "first", "urgent", "calm"}},
		"NothingFits":            {func(*Item) bool { return false }, []string{"late Deadline"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			q := New()
			var ended []string
			push(q, "calm", small, 200, 1, &ended)
			push(q, "urgent", small, 200, 9, &ended)
			push(q, "first", small, 150, 0, &ended)
			push(q, "large", large, 900, 0, &ended)
			push(q, "late", small, 50, 0, &ended)
			q.Dispatch(100, func(it *Item) error {
				if tc.fits(it) {
					return nil
				}
				return errNoWorker
			})
			assert.DeepEqual(t, ended, tc.want)
			assert.Equal(t, q.Len(), 5-len(tc.want))
		})
	}
}

func TestFailAllAndRemove(t *testing.T) {
	q := New()
	var ended []string
	push(q, "a", small, 1, 0, &ended)
	push(q, "b", large, 1, 0, &ended)
	push(q, "c", small, 1, 0, &ended)
	assert.Assert(t, q.Remove("c"))
	assert.Assert(t, !q.Remove("c"))
	q.FailAll(ccwork.ErrNoOwner)
	slices.Sort(ended)
	assert.DeepEqual(t, ended, []string{"a NoOwner", "b NoOwner"})
	assert.Equal(t, q.Len()+q.Waiting("t"), 0)
}
