package cccontrol_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/ccclock"
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

// rejection is how the store turns a process away.
type rejection int

const (
	served  rejection = iota
	refused           // An error at once: status 503 or 429.
	reset             // The connection breaks, so that the outcome is in doubt.
	silent            // No reply.
)

// partialStore is a store as one process sees it: it serves the process or turns it away.
type partialStore struct {
	*ccstandin.CellStore
	mode atomic.Int32
}

// Timeouts of the calls, as the platform's store client has them.
const (
	testCallTimeout = 1500 * time.Millisecond
	testWatchSlack  = 700 * time.Millisecond
)

// reject returns the error of a call that the store does not serve, nil if it serves it.
func (s *partialStore) reject(ctx context.Context, timeout time.Duration) error {
	switch rejection(s.mode.Load()) {
	case refused:
		return errors.Wrap(ccstore.ErrUnavailable, "status 503")
	case reset:
		return errors.Wrap(ccstore.ErrInDoubt, "reset")
	case silent:
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return errors.Wrap(ccstore.ErrInDoubt, "silent")
	}
	return nil
}

func (s *partialStore) Get(ctx context.Context, key string) (cccontrol.Item, error) {
	if err := s.reject(ctx, testCallTimeout); err != nil {
		return cccontrol.Item{}, err
	}
	return s.CellStore.Get(ctx, key)
}

func (s *partialStore) Range(ctx context.Context, prefix string, stale bool) ([]cccontrol.Item, int64, error) {
	if err := s.reject(ctx, testCallTimeout); err != nil {
		return nil, 0, err
	}
	return s.CellStore.Range(ctx, prefix, stale)
}

// Watch implements cccontrol.Store. A watch that waits when the store begins to turn the process away gets no reply.
func (s *partialStore) Watch(ctx context.Context, prefix string, after int64, wait ccclock.Millis) ([]cccontrol.Item, int64, error) {
	if err := s.reject(ctx, wait.Duration()+testWatchSlack); err != nil {
		return nil, 0, err
	}
	began := time.Now()
	items, rev, err := s.CellStore.Watch(ctx, prefix, after, wait)
	if err := s.reject(ctx, wait.Duration()+testWatchSlack-time.Since(began)); err != nil {
		return nil, 0, err
	}
	return items, rev, err
}

func (s *partialStore) Write(ctx context.Context, t *cccontrol.Txn) (int64, error) {
	if err := s.reject(ctx, testCallTimeout); err != nil {
		return 0, err
	}
	return s.CellStore.Write(ctx, t)
}

func (s *partialStore) GrantLease(ctx context.Context, ttl ccclock.Millis) (int64, error) {
	if err := s.reject(ctx, testCallTimeout); err != nil {
		return 0, err
	}
	return s.CellStore.GrantLease(ctx, ttl)
}

func (s *partialStore) KeepAlive(ctx context.Context, lease int64) error {
	if err := s.reject(ctx, testCallTimeout); err != nil {
		return err
	}
	return s.CellStore.KeepAlive(ctx, lease)
}

// fellow is one process of a cell that a test runs.
type fellow struct {
	*cccontrol.Process
	store *partialStore
	// stop ends the process without a planned stop.
	stop func()
}

// startCell starts n processes with one store, which listen on the loopback interface, and waits until all of them have
// version 1 of the configuration and one leads.
func startCell(t *testing.T, store *ccstandin.CellStore, n int) []*fellow {
	t.Helper()
	return startCellWith(t, store, n, func(_ int, f *fellow, cfg *cccontrol.Config) {
		f.store = &partialStore{CellStore: store}
		cfg.Store = cccontrol.NewMonitoredStore(f.store, cfg.Clock, nil)
		cfg.Peers = ccpeer.NewClient(peerConfig)
	})
}

// peerConfig sets up the calls between the processes, as the command entry does.
var peerConfig = ccpeer.ClientConfig{DialTimeout: 300 * time.Millisecond, ControlTimeout: time.Second, Connections: 4}

// startCellWith is startCell with processes whose Store and Peers connect sets.
func startCellWith(t *testing.T, store *ccstandin.CellStore, n int, connect func(i int, f *fellow, cfg *cccontrol.Config)) []*fellow {
	t.Helper()
	putConfig(t, store, 1, "old")
	var cell []*fellow
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		f := &fellow{}
		cfg := cccontrol.Config{
			VM: fmt.Sprintf("vm-%d", i), Address: l.Addr().String(), Region: "r", Cores: 1, StartMs: time.Now().UnixMilli(), Clock: ccclock.NewSystem(), Log: log.New(io.Discard),
			Metrics: cccontrol.NewMetrics(prometheus.NewRegistry()), LeaseMs: 3000, RemoteFactor: 1, FinalRetentionMs: 10_000,
		}
		connect(i, f, &cfg)
		cfg.ConfigSource, cfg.Directory = ccplatform.NewConfigReader(cfg.Store), ccplatform.NewDirectory(cfg.Store, nil)
		f.Process = cccontrol.New(cfg)
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Add(2)
		go func() {
			defer done.Done()
			f.Serve(ctx)
		}()
		go func() {
			defer done.Done()
			_ = ccpeer.ServeCell(ctx, l, f.Process) // It returns when ctx ends.
		}()
		f.stop = func() {
			cancel()
			done.Wait()
		}
		t.Cleanup(f.stop)
		cell = append(cell, f)
	}
	deadline := time.Now().Add(20 * time.Second)
	for !ready(cell) {
		assert.Assert(t, time.Now().Before(deadline), "the cell did not start")
		time.Sleep(20 * time.Millisecond)
	}
	return cell
}

// ready reports whether all processes have a configuration, know each other and follow one leader.
func ready(cell []*fellow) bool {
	for _, f := range cell {
		d := f.Dump()
		if d.Version != 1 || d.Token == 0 || d.Leader != cell[0].Dump().Leader || len(d.Members) != len(cell) {
			return false
		}
	}
	return true
}

// putConfig writes a version of the configuration in which the only team has one key.
func putConfig(t *testing.T, store *ccstandin.CellStore, version int, key string) {
	t.Helper()
	raw := fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","prefix":"/q/","service":"s"}],"tenants":[{"name":"a","api_keys":[%q]}]}`, version, key)
	_, err := store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "op/config", Value: []byte(raw)}}})
	assert.NilError(t, err)
}

// configApply is the platform's bound, config_apply_ms, from the acknowledgement of a version until it is in force.
const configApply = 4 * time.Second

// TestRevocationReachesProcessesTurnedAway checks that a revoked key is refused, and an added one accepted, at each
// process within configApply, also at those that the store turns away. Load: the store turns a third of the VMs away, or
// all but one, before or at the moment at which keys are revoked, while the leader is served, turned away itself, or
// ends.
func TestRevocationReachesProcessesTurnedAway(t *testing.T) {
	const processes = 9
	tests := map[string]struct {
		mode rejection
		// away is the number of processes turned away, the leader among them if leaderAway is set. leaderEnds is set if the
		// leader's process ends when the version is written. lead is the time between the two.
		away       int
		leaderAway bool
		leaderEnds bool
		lead       time.Duration
	}{
		"ResetLeader":            {reset, 3, true, false, 0},
		"RefusedLeader":          {refused, 3, true, false, 0},
		"RefusedAllButOne":       {refused, processes - 1, true, false, 0},
		"Silent":                 {silent, 3, false, false, 0},
		"SilentLeaderBefore":     {silent, 3, true, false, 2 * time.Second},
		"SilentAllButOne":        {silent, processes - 1, true, false, 0},
		"SilentAndLeaderEnds":    {silent, 3, false, true, 0},
		"SilentLeaderAwayEnds":   {silent, 4, true, true, 500 * time.Millisecond},
		"AllButOneAndLeaderEnds": {silent, processes - 1, true, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := ccstandin.NewCellStore()
			cell := startCell(t, store, processes)
			var leader *fellow
			var order []*fellow // Those that are turned away come first.
			for _, f := range cell {
				if f.Dump().Leading {
					leader = f
				} else {
					order = append(order, f)
				}
			}
			assert.Assert(t, leader != nil)
			if test.leaderAway {
				order = append([]*fellow{leader}, order...)
			} else {
				order = append(order, leader)
			}
			for _, f := range order[:test.away] {
				f.store.mode.Store(int32(test.mode))
			}
			time.Sleep(test.lead)
			putConfig(t, store, 2, "new")
			acknowledged := time.Now()
			if test.leaderEnds {
				leader.stop()
			}
			if test.leaderEnds {
				order = slices.DeleteFunc(order, func(f *fellow) bool { return f == leader })
			}
			for i, f := range order { // No version is ever replaced by an older one, so each process is checked once.
				for {
					_, _, errOld := f.Admit("", "/q/j", "Token old")
					_, _, errNew := f.Admit("", "/q/j", "Token new")
					if errors.Is(errOld, cccontrol.ErrUnknownKey) && errNew == nil {
						break
					}
					assert.Assert(t, time.Since(acknowledged) < configApply, "process %d of %d has not learned of the new version: %v, %v", i, len(order), errOld, errNew)
					time.Sleep(5 * time.Millisecond)
				}
			}
			t.Logf("in force everywhere after %s", time.Since(acknowledged).Round(time.Millisecond))
		})
	}
}
