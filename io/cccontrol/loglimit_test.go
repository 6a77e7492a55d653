package cccontrol_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/io/cccontrol"
	"coriandercross/io/cclog"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstandin"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// TestLinesOfRefusedCallersAreLimited checks that callers who are refused again and again don't decide how much is logged.
func TestLinesOfRefusedCallersAreLimited(t *testing.T) {
	const refusals, mostLines = 3000, 1000
	var out bytes.Buffer
	clock, store := &stoppedClock{}, ccstandin.NewCellStore()
	store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
	p := cccontrol.New(cccontrol.Config{
		VM: "vm", Address: "127.0.0.1:1", Clock: clock, Log: log.New(&out), Sampler: cclog.NewSampler(clock), Metrics: cccontrol.NewMetrics(prometheus.NewRegistry()),
		Store: cccontrol.NewMonitoredStore(store, clock, nil), Peers: ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: time.Second, ControlTimeout: time.Second}),
	})
	for n := range refusals {
		assert.Assert(t, p.Submit(context.Background(), cccontrol.Caller{}, testJob(fmt.Sprint(n)), 3000) != nil)
	}
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	assert.Assert(t, lines > 0 && lines <= mostLines, "%d lines", lines)
}

// stoppedClock is a clock that stands at 1.
type stoppedClock struct{}

// Now implements ccclock.Clock.
func (*stoppedClock) Now() ccclock.Millis { return 1 }
