package cccell

// workerTypeTable measures how fast the worker types are relative to each other. Needed for loads where one pool has
// machines of different types and the estimates are far off. Only the ratios between types are used, so an estimate
// that is wrong by the same factor for every type does no harm.
type workerTypeTable struct {
	ratios map[string]*workerTypeRatio
	// slownessByType holds the slowness of each type with at least workerTypeMinSamples results. It is nil when it has
	// to be computed anew.
	slownessByType map[string]float64
}

func newWorkerTypeTable() workerTypeTable {
	return workerTypeTable{ratios: map[string]*workerTypeRatio{}}
}

// workerTypeRatio is the mean ratio of the duration of tasks to their estimates on one worker type. count is the number
// of results in the mean, at most workerTypeWindow.
type workerTypeRatio struct {
	ratio float64
	count float64
}

const (
	// workerTypeWindow is the number of results after which the mean becomes a moving average.
	workerTypeWindow = 200
	// workerTypeMinSamples is the number of results from which a worker type's mean is used.
	workerTypeMinSamples = 12
	// ratioCap bounds one result, so that a worker that hangs does not distort the mean of its type.
	ratioCap = 8
)

// add adds the result of one completed task.
func (t *workerTypeTable) add(workerType string, tookMs, estimateMs int64) {
	if estimateMs <= 0 || tookMs <= 0 {
		return
	}
	r := t.ratios[workerType]
	if r == nil {
		r = &workerTypeRatio{}
		t.ratios[workerType] = r
	}
	capped := min(float64(tookMs)/float64(estimateMs), ratioCap)
	r.count = min(r.count+1, workerTypeWindow)
	r.ratio += (capped - r.ratio) / r.count
	t.slownessByType = nil
}

// slowness returns the ratio of a worker type's durations to those of the fastest type, 1 when it is not known.
func (t *workerTypeTable) slowness(workerType string) float64 {
	if t.slownessByType == nil {
		t.computeSlowness()
	}
	if f, ok := t.slownessByType[workerType]; ok {
		return f
	}
	return 1
}

// computeSlowness computes slownessByType.
func (t *workerTypeTable) computeSlowness() {
	t.slownessByType = map[string]float64{}
	best := 0.0
	for _, r := range t.ratios {
		if r.count >= workerTypeMinSamples && (best == 0 || r.ratio < best) {
			best = r.ratio
		}
	}
	if best <= 0 {
		return
	}
	for workerType, r := range t.ratios {
		if r.count >= workerTypeMinSamples {
			t.slownessByType[workerType] = r.ratio / best
		}
	}
}
