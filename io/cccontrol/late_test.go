package cccontrol

import (
	"context"
	"slices"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// hastyWorkers passes the reply to a poll to late before it reports that the poll has timed out.
type hastyWorkers struct {
	Workers
	now func() ms
}

func (w *hastyWorkers) Poll(_ context.Context, _ *cccell.PollOrder, late func(cccell.Reply, *cccell.TaskLists)) (cccell.Reply, *cccell.TaskLists) {
	sent := w.now()
	go late(cccell.Reply{Outcome: cccell.Executed, ClockMs: 1, IncarnationMs: 1, Sent: sent, Received: sent + 900}, &cccell.TaskLists{})
	time.Sleep(50 * time.Millisecond)
	return cccell.Reply{Outcome: cccell.ReplyLost, Sent: sent, Received: w.now()}, &cccell.TaskLists{}
}

// A reply that came just after the timeout of its poll was handled before the timeout, and the worker counted as silent.
func TestLateReplyIsHandledAfterItsTimeout(t *testing.T) {
	p := newFollower(t, emptyStore{})
	p.cfg.Workers = &hastyWorkers{now: p.now}
	l := newLeadership(p, 1)
	var events []string
	began := p.now()
	l.cell = cccell.New(cccell.Config{Token: 1, LeaseMs: 3000, AuthorityMs: 60_000, Log: func(event string, _ ...any) { events = append(events, event) }}, began)
	l.cell.SetWorker(cccell.WorkerInfo{ID: "w", Address: "w:1", Service: "s", IncarnationMs: 1, Capacity: ccwork.Size{MilliCores: 1}}, began)
	now := began + 1000
	l.cell.Schedule(now, now)
	l.sendOrders(l.cell.TakeOrders(), now)
	for range 2 {
		(<-l.events)(p.now())
	}
	silent, heard := slices.Index(events, "worker silent"), slices.Index(events, "late reply")
	assert.Assert(t, silent >= 0 && heard > silent, "%v", events)
}
