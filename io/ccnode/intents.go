package ccnode

import (
	"context"
	"strconv"
	"time"

	"coriandercross/core/ccintent"
	"coriandercross/core/ccwork"
)

// runAtMostOnce runs a non-idempotent request at most once. It first writes an intent to the store. A repeat with the
// same request ID finds the intent and returns the recorded answer, or Unknown when none is recorded. A repeat may run
// the request only if an attempt was recorded as NotRun.
func (n *Node) runAtMostOnce(ctx context.Context, x *execution) ccwork.Result {
	x.claim = n.nextUniqueID()
	key := n.intentKey(x.key)
	var intent ccintent.Intent
	at := time.Now().UnixMilli()
	err := n.intents.Do(ctx, key, func(b *ccintent.Bucket) error {
		b.Prune(at - n.cfg.Limits.RetentionHours*int64(time.Hour/time.Millisecond))
		intent = b.Claim(x.key, x.claim, at)
		return nil
	})
	if err != nil {
		// No work was sent under this claim, and none will be, as claims are not reused. The write may still take
		// effect; recording NotRun then allows a repeat to run.
		n.cfg.Log.Warn("intent could not be written to the store; request was not run", "Request", x.ID, "Team", x.Team, "Err", err)
		go n.recordOutcome(x, key, ccwork.NotRunResult(ccwork.ErrStore))
		return ccwork.NotRunResult(ccwork.ErrStore)
	}
	if intent.Claim != x.claim {
		return intent.Result()
	}
	r := n.runWithRetries(ctx, x)
	n.recordOutcome(x, key, r)
	return r
}

// intentKey returns the store key of the bucket that holds a request's intent.
func (n *Node) intentKey(id string) string {
	return "Intents/" + strconv.Itoa(ccwork.Bucket(id, n.cfg.Limits.IntentBuckets))
}

// recordTimeout bounds the write of an outcome to the store.
const recordTimeout = time.Second

// recordOutcome writes the outcome of a non-idempotent request to the store. If that fails, repeats of the request get
// Unknown.
func (n *Node) recordOutcome(x *execution, key string, r ccwork.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	at := time.Now().UnixMilli()
	err := n.intents.Do(ctx, key, func(b *ccintent.Bucket) error {
		b.RecordOutcome(x.key, x.claim, r, at)
		return nil
	})
	if err != nil {
		n.cfg.Log.Warn("outcome could not be written to the store; repeats of the request get Unknown", "Request", x.ID, "Team", x.Team, "Err", err)
	}
}
