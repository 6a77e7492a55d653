package cclog

import (
	"io"
	"sync"
	"sync/atomic"

	"coriandercross/core/ccclock"
)

// AsyncWriter passes lines to another writer in a separate goroutine. Write never blocks: lines that do not fit into
// the buffer are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done when the buffered lines are written after that.
	closing, done chan struct{}
}

// asyncBufferLines is the capacity of the buffer in lines, about one second of the log of a busy leader.
const asyncBufferLines = 2048

// NewAsyncWriter returns a writer that passes its lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes the lines to out until Close, and then those that are buffered. Errors are ignored: there is no other place to
// report that the log can't be written.
func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					_, _ = out.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Write implements io.Writer. It copies the line and reports success even if the line is dropped, as lines after Close are.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call of Dropped.
func (w *AsyncWriter) Dropped() int64 {
	return w.dropped.Swap(0)
}

// Close writes the buffered lines.
func (w *AsyncWriter) Close() {
	close(w.closing)
	<-w.done
}

// Sampler limits the rate of log lines of each kind, by a token bucket per kind. A kind is any text that the caller of
// Allow chooses. Suppressed lines are counted, so that the log can show that it is incomplete.
type Sampler struct {
	clock   ccclock.Clock
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket is the token bucket of one kind.
type tokenBucket struct {
	tokens     float64
	refilledAt ccclock.Millis
	suppressed int64
}

const (
	// linesPerSecond is the sustained rate of one kind. A leader decides on 40 jobs a second at the peak load of a
	// site.
	linesPerSecond = 100
	// burstLines is the capacity of a bucket. It is enough for the lines that one takeover logs.
	burstLines = 400
)

// NewSampler returns a sampler whose buckets are all full.
func NewSampler(clock ccclock.Clock) *Sampler {
	return &Sampler{clock: clock, buckets: map[string]*tokenBucket{}}
}

// Allow reports whether a line of a kind may be logged and, if so, how many lines of the kind were suppressed since the
// last one.
func (s *Sampler) Allow(kind string) (ok bool, suppressed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	b := s.buckets[kind]
	if b == nil {
		b = &tokenBucket{tokens: burstLines, refilledAt: now}
		s.buckets[kind] = b
	}
	const msPerSecond = 1000
	b.tokens = min(b.tokens+float64(now-b.refilledAt)*linesPerSecond/msPerSecond, burstLines)
	b.refilledAt = now
	if b.tokens < 1 {
		b.suppressed++
		return false, 0
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return true, suppressed
}
