package cclog

import (
	"strings"
	"sync"
	"testing"

	"coriandercross/core/ccclock"

	"gotest.tools/v3/assert"
)

// clock is a clock that the test sets.
type clock struct{ now ccclock.Millis }

// Now implements ccclock.Clock.
func (c *clock) Now() ccclock.Millis { return c.now }

// blocked is a writer that blocks until release is closed.
type blocked struct{ release chan struct{} }

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Write does not block while the underlying writer does, and dropped lines are counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	for range asyncBufferLines + 100 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() >= 99)
	assert.Equal(t, w.Dropped(), int64(0))
	close(out.release)
	w.Close()
}

// A flood of lines of one kind uses up only its own bucket. With the next allowed line, Allow returns how many were
// suppressed.
func TestSamplerLimitsEachKind(t *testing.T) {
	c := &clock{now: 1000}
	s := NewSampler(c)
	written := 0
	for range 5000 {
		if ok, _ := s.Allow("flood"); ok {
			written++
		}
	}
	assert.Equal(t, written, burstLines)
	ok, _ := s.Allow("other")
	assert.Assert(t, ok)
	c.now += 100
	ok, suppressed := s.Allow("flood")
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, int64(5000-burstLines))
}

// A caller's request outlasted the end of the process, and its log line ended the process with a panic (soak, seed 96015).
func TestLineAfterCloseIsDropped(t *testing.T) {
	for name, before := range map[string]int{"Empty": 0, "Buffered": 3} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			w := NewAsyncWriter(&out)
			for range before {
				_, err := w.Write([]byte("line\n"))
				assert.NilError(t, err)
			}
			var late sync.WaitGroup
			late.Add(1)
			go func() { // Beside Close and after it.
				defer late.Done()
				for range 1000 {
					_, err := w.Write([]byte("late\n"))
					assert.Check(t, err)
				}
			}()
			w.Close()
			late.Wait()
			assert.Equal(t, strings.Count(out.String(), "line"), before)
		})
	}
}
