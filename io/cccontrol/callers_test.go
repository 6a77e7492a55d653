package cccontrol_test

import (
	"context"
	"sync/atomic"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccstandin"

	"gotest.tools/v3/assert"
)

// interruptedStore calls interrupt after a number of reads of single keys.
type interruptedStore struct {
	*ccstandin.CellStore
	after     int64
	interrupt func()
	gets      atomic.Int64
}

func (s *interruptedStore) Get(ctx context.Context, key string) (cccontrol.Item, error) {
	item, err := s.CellStore.Get(ctx, key)
	if s.gets.Add(1) == s.after {
		s.interrupt()
	}
	return item, err
}

// TestJobThatEndsDuringQueryIsNotLost checks that a job is found if its final state is written, and its submission
// removed, between two reads of a process that does not have the job in its cache.
func TestJobThatEndsDuringQueryIsNotLost(t *testing.T) {
	tests := map[string]struct {
		endsAfter int64
		want      cccell.State
	}{
		"BeforeQuery":       {0, cccell.Completed},
		"AfterFirstRead":    {1, cccell.Completed},
		"AfterSecondRead":   {2, cccell.Queued},
		"NotDuringTheQuery": {10, cccell.Queued},
	}
	calls := map[string]func(p *cccontrol.Process) (cccell.State, error){
		"Status": func(p *cccontrol.Process) (cccell.State, error) {
			return p.Status(context.Background(), cccontrol.Caller{}, "j")
		},
		"Cancel": func(p *cccontrol.Process) (cccell.State, error) {
			return "", p.Cancel(context.Background(), cccontrol.Caller{}, "j")
		},
	}
	for name, test := range tests {
		for call, do := range calls {
			t.Run(name+"/"+call, func(t *testing.T) {
				p, cell := newProcess(t)
				assert.NilError(t, p.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000))
				end := func() {
					_, err := cell.Commit(&cccontrol.Txn{
						Puts:   []cccontrol.Put{{Key: "cc/p/j", Value: []byte{0xa1, 0x01, 0x69, 'C', 'o', 'm', 'p', 'l', 'e', 't', 'e', 'd'}}},
						Remove: []string{"cc/in/j/j"},
					})
					assert.NilError(t, err)
				}
				if test.endsAfter == 0 {
					end()
				}
				store := &interruptedStore{CellStore: cell, after: test.endsAfter, interrupt: end}
				other := newProcessWithStore(t, store)
				state, err := do(other)
				assert.NilError(t, err)
				if call == "Status" {
					assert.Equal(t, state, test.want)
				}
			})
		}
	}
}
