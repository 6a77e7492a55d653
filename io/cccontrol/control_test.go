package cccontrol_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstandin"
	"coriandercross/io/ccstore"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// newProcess returns a process whose background loops don't run, with an in-memory store.
func newProcess(t *testing.T) (*cccontrol.Process, *ccstandin.CellStore) {
	t.Helper()
	store := ccstandin.NewCellStore()
	return newProcessWithStore(t, store), store
}

// newProcessWithStore returns a process whose background loops don't run.
func newProcessWithStore(t *testing.T, store cccontrol.Store) *cccontrol.Process {
	t.Helper()
	clock := ccclock.NewSystem()
	return cccontrol.New(cccontrol.Config{
		VM: "vm", Address: "127.0.0.1:1", Clock: clock, Log: log.New(io.Discard), Metrics: cccontrol.NewMetrics(prometheus.NewRegistry()),
		Store: cccontrol.NewMonitoredStore(store, clock, nil), Peers: ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: time.Second, ControlTimeout: time.Second}),
	})
}

// testJob returns a job with one task.
func testJob(id string) *cccell.Job {
	return &cccell.Job{ID: id, Queue: cccell.Queue{Name: "q", Service: "s"}, Stages: []cccell.Stage{{Count: 1, Size: ccwork.Size{MilliCores: 1}}}}
}

// TestSubmitOutcome checks the outcome that a caller gets, whatever the store does with the write: accepted if the job
// is in the store, refused only if it is certainly not, and in doubt otherwise, with time left for the caller to act on
// it.
func TestSubmitOutcome(t *testing.T) {
	first := func(f ccstandin.Fault) func(string) ccstandin.Fault {
		var calls atomic.Int64
		return func(kind string) ccstandin.Fault {
			if kind == "write" && calls.Add(1) == 1 {
				return f
			}
			return ccstandin.Pass
		}
	}
	always := func(f ccstandin.Fault) func(string) ccstandin.Fault {
		return func(string) ccstandin.Fault { return f }
	}
	tests := map[string]struct {
		fault  func(string) ccstandin.Fault
		want   error
		stored bool
	}{
		"Stored":                {nil, nil, true},
		"ReplyLostThenConflict": {first(ccstandin.LoseReply), nil, true},
		"CallLostThenStored":    {first(ccstandin.LoseCall), nil, true},
		"Refused":               {always(ccstandin.Refuse), ccwork.ErrStore, false},
		"AllCallsLost":          {always(ccstandin.LoseCall), ccstore.ErrInDoubt, false},
		"AllRepliesLost":        {always(ccstandin.LoseReply), ccstore.ErrInDoubt, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, store := newProcess(t)
			store.SetFault(test.fault)
			began := time.Now()
			err := p.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000)
			if test.want == nil {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
			}
			assert.Assert(t, time.Since(began) < 2*time.Second, "answered after %s", time.Since(began))
			var refusal *cccontrol.Refusal
			assert.Equal(t, errors.As(err, &refusal), errors.Is(test.want, ccwork.ErrStore))
			store.SetFault(nil)
			items, _, err := store.Range(context.Background(), "cc/in/j/", false)
			assert.NilError(t, err)
			assert.Equal(t, len(items) == 1, test.stored)
		})
	}
}

// TestSubmitIsIdempotent checks that a job that is submitted again, at the same process or another, stays one job, also
// after it has ended.
func TestSubmitIsIdempotent(t *testing.T) {
	p, store := newProcess(t)
	assert.NilError(t, p.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000))
	assert.NilError(t, p.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000))
	other := cccontrol.New(cccontrol.Config{
		VM: "other", Clock: ccclock.NewSystem(), Log: log.New(io.Discard), Metrics: cccontrol.NewMetrics(prometheus.NewRegistry()),
		Store: cccontrol.NewMonitoredStore(store, ccclock.NewSystem(), nil),
	})
	assert.NilError(t, other.Submit(context.Background(), cccontrol.Caller{}, testJob("j"), 3000))
	_, err := store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "cc/p/done", Value: []byte{0xa1, 0x01, 0x69, 'C', 'o', 'm', 'p', 'l', 'e', 't', 'e', 'd'}}}})
	assert.NilError(t, err)
	assert.NilError(t, other.Submit(context.Background(), cccontrol.Caller{}, testJob("done"), 3000))
	items, _, err := store.Range(context.Background(), "cc/in/j/", false)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1)
	state, err := other.Status(context.Background(), cccontrol.Caller{}, "done")
	assert.NilError(t, err)
	assert.Equal(t, state, cccell.Completed)
}

// TestStatusOfUnknownJobs checks that ErrNoJob is returned only if the store does not have the job, not if the store
// can't be reached.
func TestStatusOfUnknownJobs(t *testing.T) {
	p, store := newProcess(t)
	_, err := p.Status(context.Background(), cccontrol.Caller{}, "nobody")
	assert.Assert(t, errors.Is(err, cccontrol.ErrNoJob))
	assert.Assert(t, errors.Is(p.Cancel(context.Background(), cccontrol.Caller{}, "nobody"), cccontrol.ErrNoJob))
	store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
	_, err = p.Status(context.Background(), cccontrol.Caller{}, "nobody")
	assert.Assert(t, errors.Is(err, cccontrol.ErrStateUnknown))
	_, err = p.QueuedJobs("q")
	assert.Assert(t, errors.Is(err, cccontrol.ErrStateUnknown))
}

// TestRelayWriteOutcome checks that a peer gets the outcome of a write that this process relays for it.
func TestRelayWriteOutcome(t *testing.T) {
	tests := map[string]struct {
		fault ccstandin.Fault
		want  ccwork.Outcome
	}{
		"Stored": {ccstandin.Pass, ccwork.Ran}, "Refused": {ccstandin.Refuse, ccwork.NotRun}, "ReplyLost": {ccstandin.LoseReply, ccwork.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, store := newProcess(t)
			store.SetFault(func(string) ccstandin.Fault { return test.fault })
			out, err := p.RelayWrite(context.Background(), &ccpeer.RelayWriteRequest{Job: testJob("j"), BudgetMs: 300})
			assert.NilError(t, err)
			assert.Equal(t, out.Outcome, test.want)
		})
	}
}

// TestMembershipIsRenewed checks that a process stays listed for longer than its store lease, also in a cell of so many
// members that it polls the membership less often than the lease has to be renewed.
func TestMembershipIsRenewed(t *testing.T) {
	t.Parallel()
	p, store := newProcess(t)
	for i := range 300 {
		m := struct {
			VM string `cbor:"1,keyasint"`
		}{fmt.Sprintf("vm-%d", i)}
		data, err := cbor.Marshal(m)
		assert.NilError(t, err)
		_, err = store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "cc/m/vm/" + m.VM, Value: data}}})
		assert.NilError(t, err)
	}
	const lease = 6 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), lease+2*time.Second)
	defer cancel()
	go cccontrol.MaintainMembership(p, ctx)
	listed := func() bool {
		_, err := store.Get(context.Background(), "cc/m/vm/vm")
		return err == nil
	}
	for !listed() {
		time.Sleep(10 * time.Millisecond)
	}
	for ctx.Err() == nil {
		assert.Assert(t, listed(), "the membership record has expired")
		time.Sleep(100 * time.Millisecond)
	}
}
