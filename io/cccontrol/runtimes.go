package cccontrol

import (
	"context"
	"slices"
	"strings"

	"coriandercross/core/ccruntimes"

	"github.com/cockroachdb/errors"
)

// Learned run times live in memory of the leader. A small snapshot in the store spares the next leader the beginning; its
// loss costs quality only, so nothing waits for it.

const (
	// runTimesIntervalMs is the least interval between snapshots of the run times. The first is written that long after
	// the start of a term.
	runTimesIntervalMs ms = 10_000
	// runTimesReadTimeoutMs bounds the read of the snapshot at the start of a term.
	runTimesReadTimeoutMs ms = 2000
	// maxRunTimesBytes bounds the snapshot. What ccruntimes writes is smaller, also with the longest names.
	maxRunTimesBytes = 128 << 10
)

// readRunTimes reads the snapshot of the prior leader, beside the loading of the state, and restores it. Without a
// usable one the term begins without learned run times.
func (l *leadership) readRunTimes() {
	if l.runTimes == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, runTimesReadTimeoutMs.Duration())
		defer cancel()
		item, err := l.p.cfg.Store.Get(ctx, keyRunTimes)
		l.post(func(ms) { l.restoreRunTimes(&item, err) })
	}()
}

// restoreRunTimes restores the run times from an item of the store, or from the error of its read.
func (l *leadership) restoreRunTimes(item *Item, err error) {
	log := l.p.cfg.Log
	if errors.Is(err, ErrNoKey) {
		log.Info("run times not restored", "Why", "no snapshot")
		return
	}
	s := &ccruntimes.Snapshot{}
	if err == nil && len(item.Value) > maxRunTimesBytes {
		err = errors.Wrapf(ErrBadRecord, "snapshot has %d bytes", len(item.Value))
	}
	if err == nil {
		err = decode(keyRunTimes, item.Value, s)
	}
	if err != nil {
		log.Warn("run times not restored", "Why", "unreadable", "Error", err)
		return
	}
	l.runTimes.Restore(s)
	log.Info("run times restored", "Keys", len(s.Entries), "AgeMs", int64(unixNow())-s.TakenMs, "Bytes", len(item.Value))
}

// writeRunTimes writes a snapshot of the run times if enough was learned since the last one that was written.
func (l *leadership) writeRunTimes(now ms) {
	if l.runTimes == nil || l.writingRunTimes || now-l.runTimesAt < runTimesIntervalMs || now >= l.cell.Authority() || l.p.cfg.Store.Lost() || !l.runTimes.Changed() {
		return
	}
	l.writingRunTimes, l.runTimesAt = true, now
	s := l.runTimes.Snapshot(int64(unixNow()))
	value := encode(s)
	l.logRunTimeErrors(len(s.Entries), len(value))
	t := &Txn{If: []Condition{{keyLeader, l.record.revision}}, Puts: []Put{{Key: keyRunTimes, Value: value}}}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, flushTimeout)
		defer cancel()
		_, err := l.p.cfg.Store.Write(ctx, t)
		l.post(func(ms) {
			l.writingRunTimes = false
			if err != nil {
				l.p.cfg.Log.Info("run times not written", "Error", err)
				return
			}
			l.runTimes.MarkSaved()
		})
	}()
}

// logRunTimeErrors logs by which factors predictions and estimates were off, by queue.
func (l *leadership) logRunTimeErrors(keys, bytes int) {
	list := l.runTimes.Errors()
	slices.SortFunc(list, func(a, b ccruntimes.QueueError) int { return strings.Compare(a.Queue, b.Queue) })
	for i := range list {
		e := &list[i]
		l.p.cfg.Log.Info("run times learned", "Queue", e.Queue, "Runs", e.Runs, "OffP50", e.PredictedP50, "OffP90", e.PredictedP90,
			"EstimateOffP50", e.EstimateP50, "EstimateOffP90", e.EstimateP90, "Keys", keys, "Bytes", bytes)
	}
}
