package ccworkersim

import "coriandercross/core/ccwork"

// priorCapacity is a capacity that a worker had until a time of the test.
type priorCapacity struct {
	size  ccwork.Size
	until ms
}

// SetCapacity changes the capacity of the worker. Attempts that run continue, also those above the new capacity.
func (w *Worker) SetCapacity(size ccwork.Size, now ms) {
	w.AdvanceTo(now)
	if size == w.Info.Capacity {
		return
	}
	w.priorCapacities = append(w.priorCapacities, priorCapacity{w.Info.Capacity, now})
	w.Info.Capacity = size
}

// hasCapacity reports whether a size fits into the capacity of the worker, or into one that it had within the last
// graceMs.
func (w *Worker) hasCapacity(size ccwork.Size, graceMs, now ms) bool {
	if size.Fits(&w.Info.Capacity) {
		return true
	}
	for i := range w.priorCapacities {
		if p := &w.priorCapacities[i]; now-p.until < graceMs && size.Fits(&p.size) {
			return true
		}
	}
	return false
}
