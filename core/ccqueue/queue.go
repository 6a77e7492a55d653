// Package ccqueue holds the requests that wait for a worker. It is not safe for concurrent use. No function blocks.
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
	// Urgency orders requests with the same deadline; the highest goes first.
	Urgency int
	// Deadline is the latest time at which the request may start.
	Deadline ccclock.Millis
	// Since is when the request began to wait.
	Since ccclock.Millis
	// Done is called once, by Dispatch or FailAll: with nil if the request was placed, else with the reason why it was
	// not. Remove does not call it.
	Done func(err error)

	seq   uint64
	index int
}

// Queue has one heap for each size of request, so that a large request at the head does not block small ones. Within a
// size, the request with the earliest deadline goes first.
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

// Push adds a request. It returns false if the task is in the queue already.
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

// Remove removes a request without calling Done. It returns false if the request is not in the queue.
func (q *Queue) Remove(task string) bool {
	it, ok := q.items[task]
	if !ok {
		return false
	}
	heap.Remove(q.heaps[it.Size], it.index)
	q.unlink(it)
	return true
}

// unlink deletes a request, which must have left its heap, from the maps.
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

// Dispatch passes waiting requests to place in the order of their deadlines, until none fits any more. If place returns
// an error, no other request of the same size is tried. A request whose deadline has passed when it is next ends with
// ccwork.ErrDeadline.
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

// HeadsOlderThan returns the next request of each size, if it began to wait before the given time.
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

// earliest returns the next request over all sizes that are not blocked, or nil.
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

// less orders requests by deadline, then by urgency, then by arrival.
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
