package cccontrol_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstandin"
	"coriandercross/io/ccstore"
	"coriandercross/platform/ccplatform"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// heldDirectory leaves watches that begin while it is held without a reply.
type heldDirectory struct {
	cccontrol.Directory
	held atomic.Bool
}

func (d *heldDirectory) Watch(ctx context.Context, after int64, timeout ccclock.Millis) ([]cccontrol.WorkerChange, int64, error) {
	if !d.held.Load() {
		return d.Directory.Watch(ctx, after, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, 0, errors.Mark(ctx.Err(), ccstore.ErrInDoubt)
}

// oneWorker is a worker that is reached without a network.
type oneWorker struct {
	mu    sync.Mutex
	clock ccclock.Clock
	sim   ccworkersim.Worker
	// starts has the times of the starts.
	starts []time.Time
}

func (w *oneWorker) Start(_ context.Context, o *cccell.StartOrder) cccell.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, time.Now())
	return w.sim.Start(o, w.clock.Now())
}

func (w *oneWorker) Stop(_ context.Context, o *cccell.StopOrder) cccell.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sim.Stop(o, w.clock.Now())
}

func (w *oneWorker) Poll(_ context.Context, o *cccell.PollOrder, _ func(cccell.Reply, *cccell.TaskLists)) (cccell.Reply, *cccell.TaskLists) {
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sim.Poll(o, w.clock.Now())
}

// startedSince returns the number of starts since a time.
func (w *oneWorker) startedSince(at time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.starts {
		if !s.Before(at) {
			n++
		}
	}
	return n
}

// A worker shrinks while the store is down for all. When the store is back, no task starts there by its old size, although
// the watch of the registrations still waits for a reply. If they can't be read, starts wait for a second at most. Seen
// in the soak (seed 92003): a leader filled a worker that had shrunk 4.35 s before.
func TestStartsAfterAnOutageKnowTheCapacity(t *testing.T) {
	tests := map[string]struct {
		// unread is true if the registrations can't be read after the outage either.
		unread bool
	}{
		"Read":   {},
		"Unread": {unread: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := ccstandin.NewCellStore()
			putConfig(t, store, 1, "key")
			register := func(cpu int) {
				_, err := store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "servers/w", Value: fmt.Appendf(nil,
					`{"service":"s","address":"127.0.0.1:1","zone":"a","state":"ready","capacity":{"cpu":%d,"mem_mb":1000,"gpu":0},"labels":["a","r-1"],"born":1000}`, cpu)}}})
				assert.NilError(t, err)
			}
			register(1000)
			clock := ccclock.NewSystem()
			w := &oneWorker{clock: clock, sim: ccworkersim.Worker{Info: cccell.WorkerInfo{ID: "w", IncarnationMs: 1000}, MaxLeaseMs: 6000}}
			size := ccwork.Size{MilliCores: 1000}
			w.sim.Plan = func(cccell.TaskID, int64) (ccclock.Millis, cccell.End, ccwork.Size) {
				return 1500, cccell.EndDone, size
			}
			monitored := cccontrol.NewMonitoredStore(store, clock, nil)
			directory := &heldDirectory{Directory: ccplatform.NewDirectory(monitored, nil)}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			p := cccontrol.New(cccontrol.Config{
				VM: "vm", Address: l.Addr().String(), Region: "r", Cores: 1, StartMs: time.Now().UnixMilli(), Clock: clock, Log: log.New(io.Discard),
				Metrics: cccontrol.NewMetrics(prometheus.NewRegistry()), Store: monitored, ConfigSource: ccplatform.NewConfigReader(monitored),
				Directory: directory, Workers: w, LeaseMs: 4000, RemoteFactor: 1, FinalRetentionMs: 10_000,
				Peers: ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: 300 * time.Millisecond, ControlTimeout: time.Second, Connections: 4}),
			})
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			for _, f := range []func(){func() { p.Serve(ctx) }, func() { _ = ccpeer.ServeCell(ctx, l, p) }} {
				done.Add(1)
				go func() {
					defer done.Done()
					f()
				}()
			}
			defer done.Wait()
			defer cancel()
			await := func(what string, f func() bool) {
				for deadline := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
					assert.Assert(t, time.Now().Before(deadline), what)
				}
			}
			submit := func(id string) {
				j := testJob(id)
				j.Stages[0].Size, j.Stages[0].EstimateMs = size, 1500
				await("submitting", func() bool { return p.Submit(context.Background(), cccontrol.Caller{}, j, 3000) == nil })
			}
			submit("first")
			await("the first start", func() bool { return w.startedSince(time.Time{}) == 1 })
			submit("second") // It waits for the end of the first, which comes while the store is down.
			directory.held.Store(true)
			store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
			time.Sleep(1900 * time.Millisecond) // A watch from before the outage has ended.
			register(0)
			assert.Equal(t, w.startedSince(time.Time{}), 1, "one process has no authority without the store")
			directory.held.Store(test.unread)
			back := time.Now()
			store.SetFault(nil)
			if test.unread {
				await("the second start", func() bool { return w.startedSince(back) == 1 })
				assert.Assert(t, time.Since(back) < 2*time.Second, "after %s", time.Since(back))
				return
			}
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, w.startedSince(back), 0)
			register(1000)
			await("the second start", func() bool { return w.startedSince(back) == 1 })
		})
	}
}
