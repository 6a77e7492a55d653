package ccruntimes

import "math"

const (
	// bucketsPerOctave is the number of buckets for each doubling. Quantiles are interpolated within a bucket.
	bucketsPerOctave = 4
	// minOctave and maxOctave are the base-2 logarithms of the smallest and the largest value; others count as these.
	// The largest run time is 37 hours. Values below 1 are ratios of a run time to an estimate.
	minOctave = -12
	maxOctave = 27

	bucketCount = (maxOctave - minOctave) * bucketsPerOctave
)

// histogram is a distribution of base-2 logarithms, with weighted samples.
type histogram struct {
	buckets [bucketCount]float32
	total   float64
}

// bucketOf returns the bucket of a logarithm.
func bucketOf(v float64) int {
	return int(min(max((v-minOctave)*bucketsPerOctave, 0), bucketCount-1))
}

// add adds a sample.
func (h *histogram) add(v, weight float64) {
	h.buckets[bucketOf(v)] += float32(weight)
	h.total += weight
}

// addAbove adds a sample of which only a lower bound is known: its weight goes to the buckets above the bound, in
// proportion to what is there. With nothing there, the sample counts as unknownAbove times the bound.
func (h *histogram) addAbove(v, weight float64) {
	first := bucketOf(v) + 1
	above := float32(0)
	for i := first; i < bucketCount; i++ {
		above += h.buckets[i]
	}
	if float64(above) < minAboveShare*h.total || above == 0 {
		h.add(v+math.Log2(unknownAbove), weight)
		return
	}
	factor := 1 + float32(weight)/above
	for i := first; i < bucketCount; i++ {
		h.buckets[i] *= factor
	}
	h.total += weight
}

const (
	// unknownAbove is the assumed ratio of the duration of a run to the time that it has run so far, when it has run
	// longer than every known one.
	unknownAbove = 1.5
	// minAboveShare is the least share of a distribution above a bound that says something about the runs above it.
	minAboveShare = 0.005
)

// scale multiplies all weights by a factor.
func (h *histogram) scale(factor float64) {
	for i := range h.buckets {
		h.buckets[i] *= float32(factor)
	}
	h.total *= factor
}

// quantiles sets out to the given quantiles, which must rise. The histogram must not be empty.
func (h *histogram) quantiles(qs, out []float64) {
	sum, i := 0.0, 0
	for k, q := range qs {
		target := q * h.total
		for i < bucketCount-1 && sum+float64(h.buckets[i]) < target {
			sum += float64(h.buckets[i])
			i++
		}
		within := 0.5
		if b := float64(h.buckets[i]); b > 0 {
			within = min(max((target-sum)/b, 0), 1)
		}
		out[k] = minOctave + (float64(i)+within)/bucketsPerOctave
	}
}
