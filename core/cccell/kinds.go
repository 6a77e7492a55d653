package cccell

// kindTable learns how fast the kinds of workers are. Load pattern: unlike machines in one pool,
// with estimates that are far off. Only ratios between kinds count, so that a wrong estimate of a
// stage, which is wrong for every kind alike, does no harm.
type kindTable map[string]*kindSpeed

// kindSpeed is the mean of what tasks took against their estimates on one kind of worker.
type kindSpeed struct {
	ratio float64
	count float64
}

const (
	// kindMemory is the number of results that the mean remembers.
	kindMemory = 200
	// kindTrust is the number of results before a kind's figure is used.
	kindTrust = 12
	// ratioCap bounds one result, so that a hanging worker does not colour its kind.
	ratioCap = 8
)

// add takes in one task that was done.
func (t kindTable) add(kind string, tookMs, estimateMs int64) {
	if estimateMs <= 0 || tookMs <= 0 {
		return
	}
	k := t[kind]
	if k == nil {
		k = &kindSpeed{}
		t[kind] = k
	}
	r := min(float64(tookMs)/float64(estimateMs), ratioCap)
	k.count = min(k.count+1, kindMemory)
	k.ratio += (r - k.ratio) / k.count
}

// slowness returns how slow a kind is against the fastest one, 1 when that is not known.
func (t kindTable) slowness(kind string) float64 {
	k := t[kind]
	if k == nil || k.count < kindTrust {
		return 1
	}
	best := k.ratio
	for _, o := range t {
		if o.count >= kindTrust {
			best = min(best, o.ratio)
		}
	}
	if best <= 0 {
		return 1
	}
	return k.ratio / best
}
