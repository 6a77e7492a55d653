// Package ccqueue orders the requests that wait for a worker. It must be used by one goroutine
// only; no method blocks.
package ccqueue

import (
	"container/heap"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Item is one waiting request.
type Item struct {
	Task string
	Team string
	Size ccwork.Size
	// Urgency breaks ties of equal deadlines.
	Urgency int
	// Deadline is the last point at which the request may start.
	Deadline ccclock.Millis
	// Since is when the request began to wait.
	Since ccclock.Millis
	// Done is called once, in the goroutine of the queue, with nil when the request got a worker.
	Done func(err error)

	seq   uint64
	index int
}

// Queue holds one heap for each size, so that a large request at the head does not hold up small
// ones behind it. Within a size the earliest deadline goes first.
type Queue struct {
	heaps map[ccwork.Size]*itemHeap
	teams map[string]int
	items map[string]*Item
	seq   uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{heaps: map[ccwork.Size]*itemHeap{}, teams: map[string]int{}, items: map[string]*Item{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Waiting returns the number of waiting requests of a team.
func (q *Queue) Waiting(team string) int {
	return q.teams[team]
}

// Push adds a request. It returns false when the task waits already.
func (q *Queue) Push(it *Item) bool {
	if _, ok := q.items[it.Task]; ok {
		return false
	}
	q.seq++
	it.seq = q.seq
	h := q.heaps[it.Size]
	if h == nil {
		h = &itemHeap{}
		q.heaps[it.Size] = h
	}
	heap.Push(h, it)
	q.items[it.Task] = it
	q.teams[it.Team]++
	return true
}

// Remove takes a request out without calling Done. It returns false when it does not wait.
func (q *Queue) Remove(task string) bool {
	it, ok := q.items[task]
	if !ok {
		return false
	}
	heap.Remove(q.heaps[it.Size], it.index)
	q.unlink(it)
	return true
}

// unlink drops the bookkeeping of a request that left its heap.
func (q *Queue) unlink(it *Item) {
	delete(q.items, it.Task)
	q.teams[it.Team]--
	if q.teams[it.Team] == 0 {
		delete(q.teams, it.Team)
	}
	if q.heaps[it.Size].Len() == 0 {
		delete(q.heaps, it.Size)
	}
}

// Dispatch offers waiting requests to place in the order of their deadlines until nothing more
// fits, and ends those whose deadline has passed with ccwork.ErrDeadline. An error of place
// means that no request of this size fits now.
func (q *Queue) Dispatch(now ccclock.Millis, place func(*Item) error) {
	blocked := map[ccwork.Size]bool{}
	for {
		it := q.earliest(blocked)
		if it == nil {
			return
		}
		if it.Deadline < now {
			q.Remove(it.Task)
			it.Done(ccwork.ErrDeadline)
			continue
		}
		if err := place(it); err != nil {
			blocked[it.Size] = true
			continue
		}
		q.Remove(it.Task)
		it.Done(nil)
	}
}

// HeadsOlderThan returns, for each size, the request that goes next if it has waited since before a point.
func (q *Queue) HeadsOlderThan(before ccclock.Millis) []*Item {
	var out []*Item
	for _, h := range q.heaps {
		if head := (*h)[0]; head.Since < before {
			out = append(out, head)
		}
	}
	return out
}

// FailAll ends every waiting request with err, because this process can't place any.
func (q *Queue) FailAll(err error) {
	for _, it := range q.items {
		q.Remove(it.Task)
		it.Done(err)
	}
}

// earliest returns the first request over all sizes that are not blocked, or nil.
func (q *Queue) earliest(blocked map[ccwork.Size]bool) *Item {
	var best *Item
	for size, h := range q.heaps {
		if blocked[size] {
			continue
		}
		if head := (*h)[0]; best == nil || less(head, best) {
			best = head
		}
	}
	return best
}

// less orders requests by deadline, then urgency, then arrival.
func less(a, b *Item) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return a.seq < b.seq
}

// itemHeap implements heap.Interface.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return less(h[i], h[j]) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
