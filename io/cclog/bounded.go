package cclog

import (
	"io"
	"sync"
	"sync/atomic"

	"coriandercross/core/ccclock"
)

// AsyncWriter hands lines to another writer from a goroutine of its own. It never blocks: what does not fit is left out and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// asyncBufferLines is the number of lines that may wait: a second of a busy leader's.
const asyncBufferLines = 2048

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// Nobody is left to tell of a log that can't be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It always takes the line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out, and begins anew.
func (w *AsyncWriter) Dropped() int64 {
	return w.dropped.Swap(0)
}

// Close writes what waits.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}

// Sampler bounds the lines of each kind: a burst, and then so many in a second. What is left out is counted, so that the log
// says that it is not whole.
type Sampler struct {
	clock   ccclock.Clock
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket is the budget of one kind.
type tokenBucket struct {
	tokens     float64
	refilledAt ccclock.Millis
	suppressed int64
}

const (
	// linesPerSecond is the rate of one kind: a leader decides on 40 jobs a second at the crest of today's sites.
	linesPerSecond = 100
	// burstLines lets a whole take-over be told.
	burstLines = 400
)

// NewSampler returns a sampler.
func NewSampler(clock ccclock.Clock) *Sampler {
	return &Sampler{clock: clock, buckets: map[string]*tokenBucket{}}
}

// Allow reports whether a line of a kind may be written, and how many of its kind were left out since the last one.
func (s *Sampler) Allow(kind string) (ok bool, leftOut int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	k := s.buckets[kind]
	if k == nil {
		k = &tokenBucket{tokens: burstLines, refilledAt: now}
		s.buckets[kind] = k
	}
	const msPerSecond = 1000
	k.tokens = min(k.tokens+float64(now-k.refilledAt)*linesPerSecond/msPerSecond, burstLines)
	k.refilledAt = now
	if k.tokens < 1 {
		k.suppressed++
		return false, 0
	}
	k.tokens--
	leftOut, k.suppressed = k.suppressed, 0
	return true, leftOut
}
