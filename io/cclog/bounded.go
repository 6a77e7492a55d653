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

// writerLines is the number of lines that may wait: a second of a busy leader's.
const writerLines = 2048

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, writerLines), done: make(chan struct{})}
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
	clock ccclock.Clock
	mu    sync.Mutex
	kinds map[string]*sample
}

// sample is the budget of one kind.
type sample struct {
	left float64
	at   ccclock.Millis
	out  int64
}

const (
	// linesPerSecond is the rate of one kind: a leader decides on 40 jobs a second at the crest of today's sites.
	linesPerSecond = 100
	// linesBurst lets a whole take-over be told.
	linesBurst = 400
)

// NewSampler returns a sampler.
func NewSampler(clock ccclock.Clock) *Sampler {
	return &Sampler{clock: clock, kinds: map[string]*sample{}}
}

// Allow reports whether a line of a kind may be written, and how many of its kind were left out since the last one.
func (s *Sampler) Allow(kind string) (ok bool, leftOut int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	k := s.kinds[kind]
	if k == nil {
		k = &sample{left: linesBurst, at: now}
		s.kinds[kind] = k
	}
	const msPerSecond = 1000
	k.left = min(k.left+float64(now-k.at)*linesPerSecond/msPerSecond, linesBurst)
	k.at = now
	if k.left < 1 {
		k.out++
		return false, 0
	}
	k.left--
	leftOut, k.out = k.out, 0
	return true, leftOut
}
