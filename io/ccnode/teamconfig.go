package ccnode

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// ConfigKey is the store key of the team configuration.
const ConfigKey = "Config"

// maxHistory bounds the number of edits kept in the store, including the one in force.
const maxHistory = 20

// Edit is one accepted change of the configuration.
type Edit struct {
	Revision uint64
	// At is the time of the edit by the wall clock of the process that accepted it, in Unix milliseconds.
	At int64
	// By names the operator.
	By string
	// Token is the unique ID of the edit. When the reply to a write was lost, the ID shows whether the write took
	// effect.
	Token    string
	Document ccteam.Document
}

// StoredConfig is the value of ConfigKey: the last edits, the newest last.
type StoredConfig struct {
	Edits []Edit
}

// Newest returns the newest edit, which is the one in force. It returns false when there is none.
func (s *StoredConfig) Newest() (Edit, bool) {
	if len(s.Edits) == 0 {
		return Edit{}, false
	}
	return s.Edits[len(s.Edits)-1], true
}

// onStoredConfig is called with each new version of the configuration in the store.
func (n *Node) onStoredConfig(v ccstore.Value, _ ccclock.Millis) {
	var stored StoredConfig
	if err := ccstore.Decode(v, &stored); err != nil {
		n.cfg.Log.Error("configuration in the store can't be decoded", "Err", err)
		return
	}
	if e, ok := stored.Newest(); ok {
		_ = n.post(func() { n.adoptConfig(e.Revision, e.Document, "store") })
	}
}

// adoptConfig puts a configuration in force at this process, unless the revision in force is as high or higher. It must
// run in the control loop.
func (n *Node) adoptConfig(revision uint64, doc ccteam.Document, from string) {
	if revision <= n.state.revision {
		return
	}
	n.state.revision = revision
	n.state.doc = &doc
	n.cfg.Metrics.configRevision.Set(float64(revision))
	n.cfg.Log.Info("configuration in force", "Revision", revision, "From", from)
}

// fetchConfig fetches the configuration of a peer whose revision is higher than the one in force here, unless such a
// call is in flight. It must run in the control loop and does not block.
func (n *Node) fetchConfig(ctx context.Context) {
	if n.state.fetchingConfig {
		return
	}
	for _, m := range n.state.members.Alive(n.now()) {
		if m.Digest.Revision <= n.state.revision {
			continue
		}
		n.state.fetchingConfig = true
		in := &ccpeer.ConfigRequest{Above: n.state.revision}
		go func() {
			reply, err := n.cfg.Peers.Config(context.WithoutCancel(ctx), m.Address, in)
			_ = n.post(func() {
				n.state.fetchingConfig = false
				if err == nil && reply.Revision > 0 {
					n.adoptConfig(reply.Revision, reply.Document, m.ID)
				}
			})
		}()
		return
	}
}

// Config implements ccpeer.Handler.
func (n *Node) Config(_ context.Context, in *ccpeer.ConfigRequest) (*ccpeer.ConfigReply, error) {
	out := &ccpeer.ConfigReply{}
	err := n.do(func() {
		if n.state.revision > in.Above {
			out.Revision = n.state.revision
			out.Document = *n.state.doc
		}
	})
	return out, err
}

// Configuration returns the configuration in force at this process. Revision 0 means that there is none.
func (n *Node) Configuration() (doc ccteam.Document, revision uint64) {
	_ = n.do(func() {
		revision = n.state.revision
		if n.state.doc != nil {
			doc = *n.state.doc
		}
	})
	return doc, revision
}

// History returns the last edits from the store, the newest last. It blocks on the store and fails with
// ccstore.ErrUnavailable.
func (n *Node) History(ctx context.Context) ([]Edit, error) {
	_, stored, err := n.readConfig(ctx)
	return stored.Edits, err
}

// readConfig reads the configuration from the store, with the version that the next write must name.
func (n *Node) readConfig(ctx context.Context) (ccstore.Value, StoredConfig, error) {
	var stored StoredConfig
	v, err := n.cfg.Store.Get(ctx, ConfigKey)
	if err != nil {
		return v, stored, err
	}
	return v, stored, ccstore.Decode(v, &stored)
}

// applyAttempts bounds the attempts to write one edit.
const applyAttempts = 4

// Apply accepts an edit that was made on revision base. It returns the new revision once the edit is in the store. It
// blocks on the store and fails with ccteam.ErrInvalid, ccteam.ErrConflict, ccstore.ErrUnavailable,
// ccstore.ErrTooLarge, or with ccstore.ErrInDoubt when the edit may have been written, or may still be.
func (n *Node) Apply(ctx context.Context, doc ccteam.Document, base uint64, by string) (uint64, error) {
	if diagnostics := doc.Check(); len(diagnostics) > 0 {
		return 0, errors.Wrapf(ccteam.ErrInvalid, "%v", diagnostics)
	}
	editID := n.nextUniqueID()
	inDoubt := false
	var err error
	for range applyAttempts {
		var revision uint64
		revision, err = n.tryApply(ctx, doc, base, by, editID)
		switch {
		case err == nil:
			_ = n.do(func() { n.adoptConfig(revision, doc, "operator") })
			return revision, nil
		case errors.Is(err, ccteam.ErrConflict):
			return 0, err
		case errors.Is(err, ccstore.ErrInDoubt):
			inDoubt = true
		}
		select {
		case <-ctx.Done():
			return 0, errors.Mark(err, ccstore.ErrInDoubt)
		case <-time.After(applyDelay):
		}
	}
	if inDoubt {
		err = errors.Mark(err, ccstore.ErrInDoubt)
	}
	return 0, err
}

// applyDelay is the delay between two attempts to write one edit.
const applyDelay = 200 * time.Millisecond

// tryApply makes one attempt to write an edit. If the store already holds the edit, it returns the revision of the edit
// without writing.
func (n *Node) tryApply(ctx context.Context, doc ccteam.Document, base uint64, by, editID string) (uint64, error) {
	v, stored, err := n.readConfig(ctx)
	if err != nil {
		return 0, err
	}
	for _, e := range stored.Edits {
		if e.Token == editID {
			return e.Revision, nil
		}
	}
	newest, _ := stored.Newest()
	if newest.Revision != base {
		// The operator will read the configuration from this process to find out why the edit was refused.
		_ = n.do(func() { n.adoptConfig(newest.Revision, newest.Document, "store") })
		return 0, errors.Wrapf(ccteam.ErrConflict, "the edit was made on revision %d, in force is %d by %s", base, newest.Revision, newest.By)
	}
	e := Edit{Revision: base + 1, At: time.Now().UnixMilli(), By: by, Token: editID, Document: doc}
	stored.Edits = append(stored.Edits, e)
	if len(stored.Edits) > maxHistory {
		stored.Edits = stored.Edits[len(stored.Edits)-maxHistory:]
	}
	data, err := json.Marshal(&stored)
	if err != nil {
		return 0, errors.Wrap(err, "encoding the configuration")
	}
	_, err = n.cfg.Store.Put(ctx, ConfigKey, ccstore.Value{Version: v.Version, Data: data})
	if errors.Is(err, ccstore.ErrConflict) {
		// The key was written after it was read. The next attempt finds out whether that was another edit or an earlier
		// attempt to write this one.
		return 0, errors.Mark(err, ccstore.ErrUnavailable)
	}
	return e.Revision, err
}

// MemberRevision is the revision of the configuration in force at one process.
type MemberRevision struct {
	ID       string
	Revision uint64
}

// Revisions returns the revision in force at each living process, as last received by gossip.
func (n *Node) Revisions() []MemberRevision {
	var out []MemberRevision
	_ = n.do(func() {
		for _, m := range n.livingMembers(n.now()) {
			out = append(out, MemberRevision{ID: m.ID, Revision: m.Digest.Revision})
		}
	})
	return out
}

// overQuota reports whether one more task of the size would take a team over this process's part of the team's quota.
// The part is proportional to this process's part of all usable slots. It must run in the control loop.
func (n *Node) overQuota(team string, size ccwork.Size, now ccclock.Millis) bool {
	if n.state.doc == nil {
		return true
	}
	quota := n.state.doc.LimitsOf(team).Quota
	if quota == (ccwork.Size{}) {
		return false
	}
	ownSlots, totalSlots := int64(0), int64(0)
	for _, m := range n.livingMembers(now) {
		totalSlots += m.Digest.Slots
		if m.ID == n.id {
			ownSlots = m.Digest.Slots
		}
	}
	want := n.state.pool.Used(team).Plus(size)
	return overShare(want.MilliCores, quota.MilliCores, ownSlots, totalSlots) ||
		overShare(want.MemoryMB, quota.MemoryMB, ownSlots, totalSlots) ||
		overShare(want.Accelerators, quota.Accelerators, ownSlots, totalSlots) ||
		overShare(want.Slots, quota.Slots, ownSlots, totalSlots)
}

// overShare reports whether want exceeds the part ownSlots/totalSlots of a quota. A quota of 0 is unlimited.
func overShare(want, quota, ownSlots, totalSlots int64) bool {
	return quota > 0 && want*totalSlots > quota*ownSlots
}

// exceedsLargestWorker describes the first resource of which no listed worker of the region has enough for the size. It
// returns "" when there is no such resource, or when no worker of the region is listed. It must run in the control
// loop.
func (n *Node) exceedsLargestWorker(size ccwork.Size) string {
	var largest ccwork.Size
	for i := range n.state.vmList {
		if n.state.vmList[i].Region == n.cfg.Region {
			largest = largest.Max(n.state.vmList[i].Capacity)
		}
	}
	if largest == (ccwork.Size{}) {
		return ""
	}
	if part := size.TooLarge(largest); part != "" {
		return fmt.Sprintf("%s: largest capacities of the listed workers are %+v", part, largest)
	}
	return ""
}
