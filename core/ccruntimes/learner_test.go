package ccruntimes

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The error of a prediction is the factor by which it is off, as a logarithm. The median error of the predictions is at
// most half of that of the callers' estimates.
func TestPredictionsBeatEstimates(t *testing.T) {
	all := func(int) float64 { return 10 }
	tests := map[string]struct {
		bias     func(team int) float64
		habit    bool
		siblings int
		teams    []int
	}{
		"EachEstimateByAnotherFactor": {},
		"EachEstimateThreeTasksDone":  {siblings: 3},
		"EachTeamByItsFactor":         {habit: true},
		"EachTeamThreeTasksDone":      {habit: true, siblings: 3},
		"OneTeamByTen":                {bias: func(team int) float64 { return []float64{10, 1}[min(team, 1)] }, teams: []int{0}},
		"AllByTen":                    {bias: all},
		"AllByATenth":                 {bias: func(int) float64 { return 0.1 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLoad(7)
			l.habit = test.habit
			if test.bias != nil {
				l.bias = test.bias
			}
			learner := l.learned(400)
			p, e := l.medianErrors(learner, 400, test.siblings, test.teams...)
			t.Logf("median error: predictions %.3f, estimates %.3f octaves", p, e)
			assert.Assert(t, p <= e/2, "median error %.3f octaves, that of the estimates %.3f", p, e)
		})
	}
}

// When each estimate is off by another factor, nobody can know the run time of the first task of a stage as well as
// TestPredictionsBeatEstimates asks. The predictions come close to those of someone who knows how the load is made.
func TestFirstPredictionsAreNearlyBest(t *testing.T) {
	l := newLoad(7)
	learner := l.learned(400)
	// The estimates' logarithms are spread evenly over two octaves.
	estimateVariance := math.Pow(2*math.Log(offByFactor), 2) / 12
	trust := workSpread * workSpread / (workSpread*workSpread + estimateVariance)
	var got, best []float64
	for i := range 1000 {
		s := l.next(i % l.teams)
		p := learner.Predict(&s.work)
		typical := l.typicalMs[0]
		if s.work.Queue == "queue1" {
			typical = l.typicalMs[1]
		}
		bestMs := typical * math.Pow(float64(s.work.EstimateMs)/typical, trust)
		for _, ms := range s.tookMs {
			got = append(got, math.Log2(Factor(p.MedianMs(), ms)))
			best = append(best, math.Log2(Factor(bestMs, ms)))
		}
		s.finish(learner)
	}
	t.Logf("median error %.3f octaves, the best possible %.3f", median(got), median(best))
	assert.Assert(t, median(got) <= 1.1*median(best), "median error %.3f octaves, the best possible %.3f", median(got), median(best))
}

// A team whose estimates and run times are nonsense, and that sends more work than all others, does no harm to the
// predictions for others, also for a team that is new.
func TestNonsenseTeamHurtsNobodyElse(t *testing.T) {
	run := func(nonsense bool) (known, fresh float64) {
		l := newLoad(11)
		learner := New()
		for i := range 600 {
			s := l.next(1 + i%(l.teams-1))
			s.finish(learner)
			if nonsense {
				for k := range 5 {
					n := l.next(0)
					n.work.EstimateMs = int64(1 + l.rng.IntN(1_000_000))
					n.work.Image = fmt.Sprint("image", i*5+k)
					for t := range n.tookMs {
						n.tookMs[t] = 1 + 1e6*l.rng.Float64()
					}
					n.finish(learner)
				}
			}
		}
		known, _ = l.medianErrors(learner, 200, 0, 1, 2, 3)
		var errs []float64
		for i := range 100 { // Each team is new.
			s := l.next(100 + i)
			p := learner.Predict(&s.work)
			errs = append(errs, math.Log2(Factor(p.MedianMs(), median(s.tookMs))))
		}
		return known, median(errs)
	}
	knownAlone, freshAlone := run(false)
	known, fresh := run(true)
	t.Logf("known teams %.3f (%.3f without), new teams %.3f (%.3f without)", known, knownAlone, fresh, freshAlone)
	assert.Assert(t, known <= 1.1*knownAlone+0.02, "%.3f octaves, %.3f without the team", known, knownAlone)
	assert.Assert(t, fresh <= 1.5*freshAlone+0.05, "%.3f octaves, %.3f without the team", fresh, freshAlone)
}

// Load: a time limit of 5 s stops the longer half of the runs. What has run for 5 s is not a 5 s task, and a failure
// at once says nothing about the run time.
func TestUnfinishedRunsCount(t *testing.T) {
	tests := map[string]struct {
		limitMs float64
		stopped bool
		atOnce  bool
	}{
		"Stopped":      {limitMs: 5000, stopped: true},
		"FailedAtOnce": {limitMs: math.Inf(1), atOnce: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLoad(3)
			l.typicalMs = []float64{4500}
			with, whole := New(), New()
			for i := range 2000 {
				s := l.next(0)
				ms := s.tookMs[0]
				whole.Finished(&s.work, ms, 1)
				switch {
				case test.atOnce && i%2 == 0:
					with.Unfinished(&s.work, 20, 1)
				case ms > test.limitMs:
					with.Unfinished(&s.work, test.limitMs, 1)
				default:
					with.Finished(&s.work, ms, 1)
				}
			}
			w := Work{Team: "team0", Queue: "queue0", MilliCores: 4000, EstimateMs: 4500}
			got, want := with.Predict(&w), whole.Predict(&w)
			assert.Assert(t, Factor(got.MedianMs(), want.MedianMs()) < 1.25, "median %.0f ms, without limit %.0f ms", got.MedianMs(), want.MedianMs())
			if test.stopped {
				assert.Assert(t, got.AtMs(0.9) > test.limitMs, "90th percentile %.0f ms", got.AtMs(0.9))
			}
		})
	}
}

// A task that has run longer than most is not about to end, whatever its estimate.
func TestRemainingTimeOfRunning(t *testing.T) {
	learner := newLoad(5).learned(400)
	w := Work{Team: "team1", Queue: "queue1", MilliCores: 4000, EstimateMs: 5000}
	p := learner.Predict(&w)
	assert.Assert(t, p.Enough())
	whole := p.RemainingMs(0)
	assert.Assert(t, Factor(whole, p.MedianMs()) < 1.05)
	assert.Assert(t, p.RemainingMs(2000) < whole)
	assert.Assert(t, p.RemainingMs(15_000) > 2000, "%.0f ms after 15 s", p.RemainingMs(15_000))
	assert.Assert(t, p.RemainingMs(1e6) >= 4e5)
}

// After work has become three times as long, the predictions follow within as many stages as the window.
func TestPredictionsFollowChanges(t *testing.T) {
	l := newLoad(9)
	l.teams = 1
	learner := l.learned(1000)
	for i := range l.typicalMs {
		l.typicalMs[i] *= 3
	}
	l.bias = func(int) float64 { return 1.0 / 3 } // The callers go on estimating as before.
	for range len(l.typicalMs) * window {
		s := l.next(0)
		s.finish(learner)
	}
	p, e := l.medianErrors(learner, 100, 0)
	assert.Assert(t, p <= e/2, "median error %.3f octaves, that of the estimates %.3f", p, e)
}

// A team that sends ever new kinds of work pushes out its own keys only.
func TestKeysAreBounded(t *testing.T) {
	l := newLoad(2)
	learner := l.learned(200)
	w := l.next(3).work
	before := learner.Predict(&w)
	for i := range 10 * maxKeys {
		learner.Finished(&Work{Team: "flood", Queue: fmt.Sprint("queue", i%2), Image: fmt.Sprint(i), EstimateMs: 1}, 1, 1)
		assert.Assert(t, learner.Keys() <= maxKeys)
	}
	after := learner.Predict(&w)
	assert.Equal(t, after.Source, before.Source)
	assert.Equal(t, after.Weight, before.Weight)
}

// Without runs the estimate counts, without an estimate nothing is known, and one finished run is known then.
func TestFallsBackToEstimate(t *testing.T) {
	learner := New()
	p := learner.Predict(&Work{Queue: "q", EstimateMs: 700})
	assert.Equal(t, p.Source, SourceEstimate)
	assert.Assert(t, Factor(p.MedianMs(), 700) < 1.001)
	p = learner.Predict(&Work{Queue: "q"})
	assert.Assert(t, !p.Known())
	learner.Finished(&Work{Queue: "q"}, 300, 1)
	p = learner.Predict(&Work{Queue: "q"})
	assert.Assert(t, p.Known() && !p.Enough())
	assert.Assert(t, Factor(p.MedianMs(), 300) < 1.2)
}

// Quantiles rise, remaining times are not negative, and nothing is NaN, whatever runs are recorded.
func TestPredictionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		learner := New()
		work := rapid.Custom(func(t *rapid.T) Work {
			return Work{
				Team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"), Queue: rapid.SampledFrom([]string{"", "q"}).Draw(t, "queue"),
				Stage: rapid.Int().Draw(t, "stage"), MilliCores: rapid.Int64().Draw(t, "cores"), EstimateMs: rapid.Int64().Draw(t, "estimate"),
			}
		})
		for range rapid.IntRange(0, 60).Draw(t, "runs") {
			w, ms, weight := work.Draw(t, "work"), rapid.Float64().Draw(t, "ms"), rapid.Float64().Draw(t, "weight")
			if rapid.Bool().Draw(t, "finished") {
				learner.Finished(&w, ms, weight)
			} else {
				learner.Unfinished(&w, ms, weight)
			}
		}
		w := work.Draw(t, "work")
		p := learner.Predict(&w)
		last := 0.0
		for q := 0.0; q <= 1; q += 0.01 {
			v := p.AtMs(q)
			if !(v >= last) || math.IsInf(v, 0) {
				t.Fatalf("quantile %.2f is %g, the one before %g", q, v, last)
			}
			last = v
		}
		if r := p.RemainingMs(rapid.Float64Range(0, 1e9).Draw(t, "ran")); !(r >= 0) || math.IsInf(r, 0) {
			t.Fatalf("remaining time %g", r)
		}
	})
}

// BenchmarkTask measures what a task costs: one prediction, and one finished run.
func BenchmarkTask(b *testing.B) {
	l := newLoad(1)
	learner := l.learned(400)
	var stages []testStage
	for i := range 256 {
		stages = append(stages, l.next(i%l.teams))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := &stages[i%len(stages)]
		p := learner.Predict(&s.work)
		_ = p.MedianMs()
		learner.Finished(&s.work, s.tookMs[i%stageTasks], 1.0/stageTasks)
	}
}

// BenchmarkTaskOfNewKind measures the same for a team that sends ever new kinds of work.
func BenchmarkTaskOfNewKind(b *testing.B) {
	learner := newLoad(1).learned(400)
	w := Work{Team: "flood", Queue: "queue0", EstimateMs: 500}
	for i := 0; b.Loop(); i++ {
		w.Image = strconv.Itoa(i)
		p := learner.Predict(&w)
		_ = p.MedianMs()
		learner.Finished(&w, 400, 0.1)
	}
}
