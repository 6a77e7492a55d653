package cccell

// kindTable measures how fast the kinds of workers are relative to each other. Load pattern: machines of different
// kinds in one pool, and estimates that are far off. Only the ratios between kinds are used, so an estimate that is
// wrong by the same factor for every kind does no harm.
type kindTable struct {
	ratios map[string]*kindRatio
	// slownessByKind holds the slowness of each kind with at least kindMinSamples results. It is nil when it has to be
	// computed anew.
	slownessByKind map[string]float64
}

func newKindTable() kindTable {
	return kindTable{ratios: map[string]*kindRatio{}}
}

// kindRatio is the mean ratio of the duration of tasks to their estimates on one kind of worker. count is the number of
// results in the mean, at most kindWindow.
type kindRatio struct {
	ratio float64
	count float64
}

const (
	// kindWindow is the number of results after which the mean becomes a moving average.
	kindWindow = 200
	// kindMinSamples is the number of results from which a kind's mean is used.
	kindMinSamples = 12
	// ratioCap bounds one result, so that a worker that hangs does not distort the mean of its kind.
	ratioCap = 8
)

// add adds the result of one completed task.
func (t *kindTable) add(kind string, tookMs, estimateMs int64) {
	if estimateMs <= 0 || tookMs <= 0 {
		return
	}
	k := t.ratios[kind]
	if k == nil {
		k = &kindRatio{}
		t.ratios[kind] = k
	}
	r := min(float64(tookMs)/float64(estimateMs), ratioCap)
	k.count = min(k.count+1, kindWindow)
	k.ratio += (r - k.ratio) / k.count
	t.slownessByKind = nil
}

// slowness returns the ratio of a kind's durations to those of the fastest kind, 1 when it is not known.
func (t *kindTable) slowness(kind string) float64 {
	if t.slownessByKind == nil {
		t.computeSlowness()
	}
	if f, ok := t.slownessByKind[kind]; ok {
		return f
	}
	return 1
}

// computeSlowness computes slownessByKind.
func (t *kindTable) computeSlowness() {
	t.slownessByKind = map[string]float64{}
	best := 0.0
	for _, k := range t.ratios {
		if k.count >= kindMinSamples && (best == 0 || k.ratio < best) {
			best = k.ratio
		}
	}
	if best <= 0 {
		return
	}
	for kind, k := range t.ratios {
		if k.count >= kindMinSamples {
			t.slownessByKind[kind] = k.ratio / best
		}
	}
}
