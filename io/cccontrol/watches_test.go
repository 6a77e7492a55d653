package cccontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"

	"gotest.tools/v3/assert"
)

// busyDirectory returns changesPerReply changes in each of its first replies, and none after those.
type busyDirectory struct {
	Directory
	changesPerReply, replies int
}

func (d *busyDirectory) Watch(ctx context.Context, after int64, timeout ccclock.Millis) ([]WorkerChange, int64, error) {
	if d.replies == 0 {
		sleep(ctx, timeout)
		return nil, after, ctx.Err()
	}
	d.replies--
	out := make([]WorkerChange, d.changesPerReply)
	for i := range out {
		out[i] = WorkerChange{ID: fmt.Sprint(after, "-", i), Info: cccell.WorkerInfo{}}
	}
	return out, after + 1, nil
}

// TestDirectoryWatchCatchesUp checks that a watch whose replies are full is repeated without delay, and one with few
// changes after a delay. Otherwise the leader falls behind: of 3,000 workers, 150 had been draining for 16 s before it
// knew.
func TestDirectoryWatchCatchesUp(t *testing.T) {
	tests := map[string]struct {
		changesPerReply int
		catchesUp       bool
	}{
		"FullReplies":  {500, true},
		"SmallReplies": {5, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const replies = 10
			p := newFollower(t, nil)
			p.cfg.Directory = &busyDirectory{changesPerReply: test.changesPerReply, replies: replies}
			ctx, cancel := context.WithTimeout(context.Background(), 2*watchIntervalMs.Duration())
			defer cancel()
			l := &leadership{p: p, ctx: ctx, events: make(chan event, eventQueueSize), ended: make(chan struct{})}
			began := time.Now()
			l.watchDirectory(0)
			assert.Assert(t, time.Since(began) < 4*watchIntervalMs.Duration())
			assert.Equal(t, len(l.events) == replies, test.catchesUp)
		})
	}
}
