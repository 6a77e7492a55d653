package cccell

// kindTable learns how fast the kinds of workers are. Load pattern: unlike machines in one pool,
// with estimates that are far off. Only ratios between kinds count, so that a wrong estimate of a
// stage, which is wrong for every kind alike, does no harm.
type kindTable struct {
	speeds map[string]*kindSpeed
	// slow holds how slow each trusted kind is against the fastest one; it is nil after a result, until it is asked for.
	slownessByKind map[string]float64
}

// newKindTable returns a table that knows nothing.
func newKindTable() kindTable {
	return kindTable{speeds: map[string]*kindSpeed{}}
}

// kindSpeed is the mean of what tasks took against their estimates on one kind of worker.
type kindSpeed struct {
	ratio float64
	count float64
}

const (
	// kindMemory is the number of results that the mean remembers.
	kindWindow = 200
	// kindTrust is the number of results before a kind's figure is used.
	kindMinSamples = 12
	// ratioCap bounds one result, so that a hanging worker does not colour its kind.
	ratioCap = 8
)

// add takes in one task that was done.
func (t *kindTable) add(kind string, tookMs, estimateMs int64) {
	if estimateMs <= 0 || tookMs <= 0 {
		return
	}
	k := t.speeds[kind]
	if k == nil {
		k = &kindSpeed{}
		t.speeds[kind] = k
	}
	r := min(float64(tookMs)/float64(estimateMs), ratioCap)
	k.count = min(k.count+1, kindWindow)
	k.ratio += (r - k.ratio) / k.count
	t.slownessByKind = nil
}

// slowness returns how slow a kind is against the fastest one, 1 when that is not known.
func (t *kindTable) slowness(kind string) float64 {
	if t.slownessByKind == nil {
		t.computeSlowness()
	}
	if f, ok := t.slownessByKind[kind]; ok {
		return f
	}
	return 1
}

// compare works out how slow the kinds are.
func (t *kindTable) computeSlowness() {
	t.slownessByKind = map[string]float64{}
	best := 0.0
	for _, k := range t.speeds {
		if k.count >= kindMinSamples && (best == 0 || k.ratio < best) {
			best = k.ratio
		}
	}
	if best <= 0 {
		return
	}
	for kind, k := range t.speeds {
		if k.count >= kindMinSamples {
			t.slownessByKind[kind] = k.ratio / best
		}
	}
}
