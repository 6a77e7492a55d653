package ccruntimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// load makes work of the recorded shape: the work of a stage is lognormal with a spread of 0.5, its tasks differ by a
// fifth, three tasks in a hundred take seven times as long, and estimates are off by a factor of up to two.
type load struct {
	rng   *rand.Rand
	teams int
	// bias is the factor by which the estimates of a team are off, besides.
	bias func(team int) float64
	// typicalMs is the median work of the queues.
	typicalMs []float64
	// habit is true when a team's estimates for a queue are always off by the same factor; otherwise each is by another.
	habit bool
}

func newLoad(seed uint64) *load {
	return &load{rng: rand.New(rand.NewPCG(seed, 1)), teams: 8, bias: func(int) float64 { return 1 }, typicalMs: []float64{540, 5100}}
}

// testStage is a stage with the run times of its tasks.
type testStage struct {
	work   Work
	tookMs []float64
}

const (
	workSpread  = 0.5
	taskSpread  = 0.2
	tailShare   = 0.03
	tailFactor  = 7
	stageTasks  = 10
	offByFactor = 2
)

// next returns a stage of a team.
func (l *load) next(team int) testStage {
	q := l.rng.IntN(len(l.typicalMs))
	baseMs := l.typicalMs[q] * math.Exp(workSpread*l.rng.NormFloat64())
	u := 2*l.rng.Float64() - 1
	if l.habit {
		u = math.Mod(float64(team*len(l.typicalMs)+q)*0.618, 1)*2 - 1
	}
	estimateMs := baseMs * math.Pow(offByFactor, u) * l.bias(team)
	s := testStage{work: Work{Team: fmt.Sprint("team", team), Queue: fmt.Sprint("queue", q), MilliCores: 4000, EstimateMs: int64(max(estimateMs, 1))}}
	for range stageTasks {
		ms := baseMs * math.Exp(taskSpread*l.rng.NormFloat64())
		if l.rng.Float64() < tailShare {
			ms *= tailFactor
		}
		s.tookMs = append(s.tookMs, ms)
	}
	return s
}

// finish records all tasks of a stage.
func (s *testStage) finish(l *Learner) {
	for _, ms := range s.tookMs {
		l.Finished(&s.work, ms, 1.0/float64(len(s.tookMs)))
	}
}

// learned returns a learner that has seen stages of all teams.
func (l *load) learned(stages int) *Learner {
	out := New()
	for i := range stages {
		s := l.next(i % l.teams)
		s.finish(out)
	}
	return out
}

// medianErrors returns the median errors, as logarithms, of the predictions and of the estimates for a number of
// stages. The first siblings tasks of each stage have finished before the others are predicted.
func (l *load) medianErrors(learner *Learner, stages, siblings int, teams ...int) (predicted, estimated float64) {
	var p, e []float64
	for i := range stages {
		team := i % l.teams
		if len(teams) > 0 {
			team = teams[i%len(teams)]
		}
		s := l.next(team)
		prediction := learner.Predict(&s.work)
		if siblings > 0 {
			prediction = prediction.WithSiblings(median(s.tookMs[:siblings]), siblings)
		}
		for _, ms := range s.tookMs[siblings:] {
			p = append(p, math.Log2(Factor(prediction.MedianMs(), ms)))
			e = append(e, math.Log2(Factor(float64(s.work.EstimateMs), ms)))
		}
		s.finish(learner)
	}
	return median(p), median(e)
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
