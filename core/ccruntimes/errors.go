package ccruntimes

import "math"

// queueErrors holds the errors of predictions and of estimates for one queue, as logarithms of factors.
type queueErrors struct {
	predicted, estimated histogram
	runs                 int64
}

const (
	// maxErrorQueues bounds the queues whose errors are kept.
	maxErrorQueues = 64
	// errorWindow is the number of runs at which the errors of earlier ones count half.
	errorWindow = 4096
)

// QueueError describes by which factor predictions and estimates were off for the runs of a queue: too long or too
// short. The factors are medians and 90th percentiles, weighted towards the newest runs.
type QueueError struct {
	Queue string
	// Runs is the number of runs since the start of the learner.
	Runs                       int64
	PredictedP50, PredictedP90 float64
	EstimateP50, EstimateP90   float64
}

// Factor returns by which factor a prediction was off, at least 1.
func Factor(predictedMs, tookMs float64) float64 {
	return math.Exp2(math.Abs(math.Log2(max(predictedMs, 1) / max(tookMs, 1))))
}

// AllQueues stands for all queues together in QueueError.
const AllQueues = "*"

// RecordError records the run time that was predicted for a task, the caller's estimate, and what it took.
func (l *Learner) RecordError(queue string, predictedMs, estimateMs, tookMs float64) {
	l.recordError(AllQueues, predictedMs, estimateMs, tookMs)
	l.recordError(queue, predictedMs, estimateMs, tookMs)
}

func (l *Learner) recordError(queue string, predictedMs, estimateMs, tookMs float64) {
	e := l.errors[queue]
	if e == nil {
		if len(l.errors) >= maxErrorQueues {
			return
		}
		e = &queueErrors{}
		l.errors[queue] = e
	}
	e.runs++
	e.predicted.add(math.Log2(Factor(predictedMs, tookMs)), 1)
	e.estimated.add(math.Log2(Factor(estimateMs, tookMs)), 1)
	if e.predicted.total > errorWindow {
		e.predicted.scale(0.5)
		e.estimated.scale(0.5)
	}
}

// Errors returns the errors of each queue, in no order.
func (l *Learner) Errors() []QueueError {
	out := make([]QueueError, 0, len(l.errors))
	for queue, e := range l.errors {
		p, q := e.predicted.halfAndNinety(), e.estimated.halfAndNinety()
		out = append(out, QueueError{
			Queue: queue, Runs: e.runs, PredictedP50: math.Exp2(p[0]), PredictedP90: math.Exp2(p[1]), EstimateP50: math.Exp2(q[0]), EstimateP90: math.Exp2(q[1]),
		})
	}
	return out
}

// halfAndNinety returns the median and the 90th percentile.
func (h *histogram) halfAndNinety() (out [2]float64) {
	h.quantiles([]float64{0.5, 0.9}, out[:])
	return out
}
