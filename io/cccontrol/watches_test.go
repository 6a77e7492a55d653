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

// busyDirectory tells a number of changes in every answer until all are told, and then nothing.
type busyDirectory struct {
	Directory
	perAnswer, answers int
}

func (d *busyDirectory) Watch(ctx context.Context, after int64, wait ccclock.Millis) ([]WorkerChange, int64, error) {
	if d.answers == 0 {
		sleep(ctx, wait)
		return nil, after, ctx.Err()
	}
	d.answers--
	out := make([]WorkerChange, d.perAnswer)
	for i := range out {
		out[i] = WorkerChange{ID: fmt.Sprint(after, "-", i), Info: cccell.WorkerInfo{}}
	}
	return out, after + 1, nil
}

// A watch that is behind reads on at once, one that keeps up reads changes together. Seen on the bench as 3,000 workers of which 150 had
// been draining for 16 s before the leader learned of it.
func TestWatchOfWorkersCatchesUp(t *testing.T) {
	tests := map[string]struct {
		perAnswer int
		within    bool
	}{
		"FullAnswers":  {500, true},
		"SmallAnswers": {5, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const answers = 10
			p := newFollower(t, nil)
			p.cfg.Directory = &busyDirectory{perAnswer: test.perAnswer, answers: answers}
			ctx, cancel := context.WithTimeout(context.Background(), 2*watchIntervalMs.Duration())
			defer cancel()
			l := &leadership{p: p, ctx: ctx, events: make(chan event, eventQueueSize), ended: make(chan struct{})}
			began := time.Now()
			l.watchDirectory(0)
			assert.Assert(t, time.Since(began) < 4*watchIntervalMs.Duration())
			assert.Equal(t, len(l.events) == answers, test.within)
		})
	}
}
