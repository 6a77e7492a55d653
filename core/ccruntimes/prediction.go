package ccruntimes

import "math"

// knots are the quantiles of a prediction. Between two of them, its logarithm is linear.
var knots = [...]float64{0.02, 0.1, 0.25, 0.5, 0.75, 0.9, 0.97, 0.99}

// Indexes of knots.
const (
	knotLower  = 2
	knotMedian = 3
	knotUpper  = 4
	knotLast   = knotCount - 1
	knotCount  = len(knots)
)

// normalKnots are the knots of the standard normal distribution.
var normalKnots = [knotCount]float64{-2.05, -1.28, -0.67, 0, 0.67, 1.28, 1.88, 2.33}

// estimateSpread is the assumed standard deviation of the logarithm (to base 2) of run times around an estimate that
// nothing is known about: two thirds of the estimates are off by a factor of two or less.
const estimateSpread = 1.0

// Source names what a prediction rests on.
type Source string

// Sources of predictions.
const (
	// SourceNone: there is no estimate and nothing is known.
	SourceNone     Source = "none"
	SourceEstimate Source = "estimate"
	SourceQueue    Source = "queue"
	SourceTeam     Source = "team"
	SourceWork     Source = "work"
	// SourceSiblings: tasks of the same stage.
	SourceSiblings Source = "siblings"
)

var levelSources = [levelCount]Source{SourceQueue, SourceTeam, SourceWork}

// Prediction is a predicted distribution of a run time.
type Prediction struct {
	// logs has the logarithms of the run times at the knots.
	logs [knotCount]float64
	// Weight is the weight of the runs that the prediction mostly rests on, in stages.
	Weight float64
	// Source names the finest key that counts for half of the prediction or more.
	Source Source
}

// Predict returns the prediction for a task.
func (l *Learner) Predict(w *Work) Prediction {
	p := Prediction{Source: SourceNone}
	x := w.logEstimate()
	if w.EstimateMs > 0 {
		p.Source = SourceEstimate
		for i := range p.logs {
			p.logs[i] = x + estimateSpread*normalKnots[i]
		}
	}
	for at := levelQueue; at < levelCount; at++ {
		if !w.hasLevel(at) {
			continue
		}
		e := l.entries[keyOf(w, at)]
		if e == nil || e.weight() <= 0 {
			continue
		}
		l.use(e)
		e.refresh()
		n := e.weight()
		share := n * n / (n*n + priorWeight*priorWeight)
		if p.Source == SourceNone {
			share = 1
		}
		for i := range p.logs {
			p.logs[i] += share * (e.quantiles[i] + slope(e.best)*x - p.logs[i])
		}
		if share >= 0.5 {
			p.Weight, p.Source = n, levelSources[at]
		}
	}
	return p
}

// Known reports whether there is a prediction at all.
func (p *Prediction) Known() bool {
	return p.Source != SourceNone && p.Source != ""
}

// Enough reports whether the prediction rests on enough runs to be better evidence than an estimate.
func (p *Prediction) Enough() bool {
	return p.Weight >= EnoughWeight
}

// MedianMs returns the run time that half of such tasks exceed.
func (p *Prediction) MedianMs() float64 {
	return math.Exp2(p.logs[knotMedian])
}

// AtMs returns a quantile of the run time. Beyond the first and the last knot it stays the same.
func (p *Prediction) AtMs(q float64) float64 {
	if q <= knots[0] {
		return math.Exp2(p.logs[0])
	}
	for i := 1; i < knotCount; i++ {
		if q <= knots[i] {
			f := (q - knots[i-1]) / (knots[i] - knots[i-1])
			return math.Exp2(p.logs[i-1] + f*(p.logs[i]-p.logs[i-1]))
		}
	}
	return math.Exp2(p.logs[knotLast])
}

// reached returns the share of tasks that take at most a time.
func (p *Prediction) reached(runMs float64) float64 {
	v := math.Log2(max(runMs, 1))
	if v <= p.logs[0] {
		return 0
	}
	for i := 1; i < knotCount; i++ {
		if v <= p.logs[i] {
			f := 0.0
			if d := p.logs[i] - p.logs[i-1]; d > 0 {
				f = (v - p.logs[i-1]) / d
			}
			return knots[i-1] + f*(knots[i]-knots[i-1])
		}
	}
	return 1
}

// RemainingMs returns the time that half of the tasks that have run for a time still need. For one that has run longer
// than all that is known, it is in proportion to that time.
func (p *Prediction) RemainingMs(ranMs float64) float64 {
	q := p.reached(ranMs)
	if q >= knots[knotLast] {
		return (unknownAbove - 1) * ranMs
	}
	return max(p.AtMs(q+(1-q)/2)-ranMs, 0)
}

const (
	// siblingPrior is the number of finished siblings at which they count as much as everything else that is known: the
	// tasks of one stage differ by about a third, those of two stages by far more.
	siblingPrior = 0.4
	// siblingSpread is the standard deviation of the logarithm (to base 2) of the run times of one stage.
	siblingSpread = 0.45
)

// WithSiblings returns the prediction for a task of a stage of which n tasks have taken medianMs.
func (p Prediction) WithSiblings(medianMs float64, n int) Prediction {
	if n <= 0 || !(medianMs > 0) {
		return p
	}
	share := float64(n) / (float64(n) + siblingPrior)
	if !p.Known() {
		share = 1
		p.logs = [knotCount]float64{}
	}
	v := math.Log2(max(medianMs, 1))
	for i := range p.logs {
		around := v + siblingSpread*normalKnots[i]
		p.logs[i] += share * (around - p.logs[i])
	}
	p.Source, p.Weight = SourceSiblings, max(p.Weight, float64(n))
	return p
}
