package ccnode

import (
	"context"
	"strconv"
	"time"

	"coriandercross/core/ccintent"
	"coriandercross/core/ccwork"
)

// runAtMostOnce runs a non-idempotent request at most runAtMostOnce. It writes an intent to the store first; a
// repeat of the same ID finds it and gets the first outcome, or Unknown.
func (n *Node) runAtMostOnce(ctx context.Context, x *execution) ccwork.Result {
	x.claim = n.nextToken()
	key := n.intentKey(x.key)
	var intent ccintent.Intent
	at := time.Now().UnixMilli()
	err := n.intents.Do(ctx, key, func(b *ccintent.Bucket) error {
		b.Prune(at - n.cfg.Limits.RetentionHours*int64(time.Hour/time.Millisecond))
		intent = b.Claim(x.key, x.claim, at)
		return nil
	})
	if err != nil {
		// Nothing was sent under this claim, and nothing will be: the claim is not used again.
		n.cfg.Log.Warn("intent not written", "Request", x.ID, "Team", x.Team, "Err", err)
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

// intentKey is the key of the store that holds a request's intent.
func (n *Node) intentKey(id string) string {
	return "Intents/" + strconv.Itoa(ccwork.Bucket(id, n.cfg.Limits.IntentBuckets))
}

// recordTimeout bounds the wait for an outcome to be recorded.
const recordTimeout = time.Second

// recordOutcome records the outcome of a non-idempotent request. When that fails, repeats get Unknown.
func (n *Node) recordOutcome(x *execution, key string, r ccwork.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	at := time.Now().UnixMilli()
	err := n.intents.Do(ctx, key, func(b *ccintent.Bucket) error {
		b.RecordOutcome(x.key, x.claim, r, at)
		return nil
	})
	if err != nil {
		n.cfg.Log.Warn("outcome not recorded; repeats get Unknown", "Request", x.ID, "Team", x.Team, "Err", err)
	}
}
