// Package ccruntimes learns from finished runs how long tasks take, and predicts the run times of others as
// distributions. It uses no clock and no sockets.
//
// A key (a kind of work of one team, all work of a team in a queue, a queue) has the distribution of y - b x for five
// values of b, where y and x are the logarithms of the run time and of the caller's estimate: with b = 1 it is the ratio
// of the two, with b = 0 the run time alone, and in between an estimate counts in part. The value of b with the narrowest
// distribution is used. Keys with few runs give way to the next coarser one, and at last to the estimate.
package ccruntimes

import (
	"math"
	"math/bits"
)

// Work is what is known of a task before it runs.
type Work struct {
	Team  string
	Queue string
	// Image is the program image, or empty.
	Image string
	// Stage is the index of the stage in its job.
	Stage        int
	MilliCores   int64
	Accelerators int64
	// EstimateMs is the caller's estimate of the run time, 0 for none.
	EstimateMs int64
}

// level says what a key has in common with a task.
type level uint8

// Levels, from the coarsest.
const (
	levelQueue level = iota
	levelTeam
	levelWork
	levelCount
)

// key identifies a distribution. The fields that its level does not use are empty.
type key struct {
	level       level
	team, queue string
	image       string
	stage       uint8
	// size is a class of sizes: the cores up to a factor of four, and whether there are accelerators.
	size uint8
	// noEstimate is true for work without an estimate.
	noEstimate bool
}

const (
	// viewCount is the number of values of b, 0 to 1 in equal steps.
	viewCount = 5
	// maxKeys bounds the keys, of 3 kB each, and maxShared those that teams share.
	maxKeys   = 512
	maxShared = 128
	// maxTeams bounds the teams whose weights a shared key counts; all others count as one.
	maxTeams = 64
	// window is the weight at which the weights of a key are halved, so that a change of the run times shows after about
	// as many stages.
	window = 128
	// priorWeight is the weight at which a key counts as much as the coarser ones.
	priorWeight = 6
	// EnoughWeight is the weight from which a prediction is better evidence than an estimate. A stage has a weight of 1.
	EnoughWeight = 20
	// A team's weight in a key shared with others is at most teamFloor, plus teamShare of the others' weight: with three
	// teams or more, one alone can't move the median far. The floor is below EnoughWeight, so that work of one team says
	// little about that of others.
	teamFloor = 8
	teamShare = 1.0 / 3
	// refreshShare is the share of a key's weight by which it may grow before its quantiles are computed anew.
	refreshShare = 1.0 / 32
)

// owner is a team, or all of them for the keys that are shared.
type owner struct {
	shared bool
	team   string
}

func (k *key) owner() owner {
	return owner{shared: k.level == levelQueue, team: k.team}
}

// entry is the state of a key.
type entry struct {
	views [viewCount]histogram
	// teams holds the weight of each team in a shared key.
	teams map[string]float64
	// lastUse orders the entries by their last use.
	lastUse uint64

	// best is the view with the narrowest distribution, and quantiles has its quantiles; computed at the weight
	// computedAt, 0 for never.
	best       int
	quantiles  [knotCount]float64
	computedAt float64
	// added is the weight since then.
	added float64
}

// Learner learns run times. It is not safe for concurrent use.
type Learner struct {
	entries map[key]*entry
	// owned counts the keys of each owner.
	owned map[owner]int
	uses  uint64
	// added is the weight since the last saved snapshot, total the weight in it.
	added, total float64
	errors       map[string]*queueErrors
}

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{entries: map[key]*entry{}, owned: map[owner]int{}, errors: map[string]*queueErrors{}}
}

// Keys returns the number of keys.
func (l *Learner) Keys() int {
	return len(l.entries)
}

// keyOf returns the key of a level for a task.
func keyOf(w *Work, at level) key {
	k := key{level: at, queue: w.Queue, noEstimate: w.EstimateMs <= 0}
	if at >= levelTeam {
		k.team = w.Team
	}
	if at >= levelWork {
		k.image, k.stage, k.size = w.Image, uint8(min(max(w.Stage, 0), math.MaxUint8)), sizeClass(w)
	}
	return k
}

// sizeClass returns the class of the size of a task.
func sizeClass(w *Work) uint8 {
	class := uint8(bits.Len64(uint64(max(w.MilliCores, 0))) / 2)
	if w.Accelerators > 0 {
		class |= 1 << 7
	}
	return class
}

// hasLevel reports whether a level applies to a task: without a team, the level of the team is that of the queue.
func (w *Work) hasLevel(at level) bool {
	return at != levelTeam || w.Team != ""
}

// Finished records a completed run. The weight is that of the sample; the tasks of one stage are alike, so together they
// should weigh 1.
func (l *Learner) Finished(w *Work, tookMs, weight float64) {
	l.record(w, tookMs, weight, false)
}

// Unfinished records a run that was stopped, failed or lost after some time: it would have taken longer.
func (l *Learner) Unfinished(w *Work, ranMs, weight float64) {
	l.record(w, ranMs, weight, true)
}

func (l *Learner) record(w *Work, runMs, weight float64, unfinished bool) {
	if !(runMs > 0) || math.IsInf(runMs, 0) || !(weight > 0) {
		return
	}
	weight = min(weight, 1)
	y, x := math.Log2(max(runMs, 1)), w.logEstimate()
	longer := false // The run took longer than was expected of it.
	if unfinished {
		p := l.Predict(w)
		longer = p.Known() && runMs > p.MedianMs()
	}
	for at := levelQueue; at < levelCount; at++ {
		if !w.hasLevel(at) {
			continue
		}
		k := keyOf(w, at)
		e := l.entries[k]
		if e == nil {
			if unfinished {
				continue
			}
			e = l.insert(k)
		}
		l.use(e)
		if unfinished && e.weight() < priorWeight && !longer {
			continue // Too little is known above the bound.
		}
		allowed := e.allow(at, w.Team, weight)
		if allowed <= 0 {
			continue
		}
		for v := range e.views {
			sample := y - slope(v)*x
			if unfinished {
				e.views[v].addAbove(sample, allowed)
			} else {
				e.views[v].add(sample, allowed)
			}
		}
		e.added += allowed
		l.added += allowed
		if e.weight() > window {
			e.scale(0.5)
		}
	}
}

// slope returns the value of b of a view.
func slope(view int) float64 {
	return float64(view) / (viewCount - 1)
}

// logEstimate returns the logarithm of the estimate, 0 without one. It is at most that of the largest run time.
func (w *Work) logEstimate() float64 {
	return min(math.Log2(float64(max(w.EstimateMs, 1))), maxOctave)
}

func (e *entry) weight() float64 {
	return e.views[0].total
}

// allow returns how much of a weight a team may add, and counts it.
func (e *entry) allow(at level, team string, weight float64) float64 {
	if at != levelQueue || team == "" {
		return weight
	}
	if _, ok := e.teams[team]; !ok && len(e.teams) >= maxTeams {
		team = ""
	}
	own := e.teams[team]
	weight = min(weight, teamFloor+teamShare*(e.weight()-own)-own)
	if weight <= 0 {
		return 0
	}
	if e.teams == nil {
		e.teams = map[string]float64{}
	}
	e.teams[team] += weight
	return weight
}

// scale multiplies all weights of a key by a factor.
func (e *entry) scale(factor float64) {
	for v := range e.views {
		e.views[v].scale(factor)
	}
	for team := range e.teams {
		e.teams[team] *= factor
	}
	e.computedAt *= factor
	e.added *= factor
}

func (l *Learner) use(e *entry) {
	l.uses++
	e.lastUse = l.uses
}

// insert adds a key. With too many of them, the team with the most keys loses the one that it has used least recently:
// a team that sends ever new work pushes out its own keys, not those of others.
func (l *Learner) insert(k key) *entry {
	if len(l.entries) >= maxKeys {
		l.removeOldest(l.largestOwner())
	}
	e := &entry{}
	l.use(e)
	l.entries[k] = e
	l.owned[k.owner()]++
	return e
}

// largestOwner returns the team with the most keys. Shared keys are only taken while there are more than maxShared.
func (l *Learner) largestOwner() owner {
	most, n := owner{shared: true}, 0
	if l.owned[most] > maxShared {
		return most
	}
	for o, count := range l.owned {
		if !o.shared && (count > n || (count == n && o.team < most.team)) {
			most, n = o, count
		}
	}
	return most
}

// removeOldest removes the key of an owner that was not used for the longest time.
func (l *Learner) removeOldest(o owner) {
	var oldest key
	var oldestUse uint64
	for k, e := range l.entries {
		if k.owner() == o && (oldestUse == 0 || e.lastUse < oldestUse) {
			oldest, oldestUse = k, e.lastUse
		}
	}
	delete(l.entries, oldest)
	if l.owned[o]--; l.owned[o] == 0 {
		delete(l.owned, o)
	}
}

// refresh computes the best view and its quantiles anew if the key has grown enough since.
func (e *entry) refresh() {
	if e.computedAt > 0 && e.added <= refreshShare*e.computedAt {
		return
	}
	e.computedAt, e.added = max(e.weight(), math.SmallestNonzeroFloat64), 0
	narrowest := math.Inf(1)
	var quantiles [knotCount]float64
	for v := viewCount - 1; v >= 0; v-- { // With equal widths, the estimate counts.
		e.views[v].quantiles(knots[:], quantiles[:])
		if width := quantiles[knotUpper] - quantiles[knotLower]; width < narrowest {
			narrowest, e.best, e.quantiles = width, v, quantiles
		}
	}
}
