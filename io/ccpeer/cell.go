package ccpeer

import (
	"context"
	"net"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcserver"
)

// Methods between a cell's leader and its fellows.
const (
	methodSync          = "/coriandercross/Sync"
	methodNotify        = "/coriandercross/Tell"
	methodLeaderContact = "/coriandercross/Heard"
	methodCellConfig    = "/coriandercross/Document"
	methodAnnounce      = "/coriandercross/Announce"
	methodRelayWrite    = "/coriandercross/Keep"
)

// SyncRequest asks the leader for what changed. The answer waits until there is something.
type SyncRequest struct {
	VM string `cbor:"1,keyasint"`
	// Token and Seq name the last change known; another token asks for everything.
	Token int64 `cbor:"2,keyasint"`
	Seq   int64 `cbor:"3,keyasint"`
	// Version is that of the configuration in force at the fellow.
	Version int64 `cbor:"4,keyasint"`
	// Draining is true when the fellow is about to stop.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// Check implements Message.
func (m *SyncRequest) Check() error {
	if m.VM == "" {
		return errors.Wrap(ErrBadMessage, "sync has no sender")
	}
	return nil
}

// SyncReply is the answer of a leader.
type SyncReply struct {
	// Leading is false when the process does not lead; the rest is empty then.
	Leading bool  `cbor:"1,keyasint"`
	Token   int64 `cbor:"2,keyasint,omitempty"`
	Seq     int64 `cbor:"3,keyasint,omitempty"`
	// Full is true when Changes holds every job, not only what changed.
	Full    bool                 `cbor:"4,keyasint,omitempty"`
	Changes []cccell.StateChange `cbor:"5,keyasint,omitempty"`
	// AdviceRequests are calls to the policy service that the fellow shall make.
	AdviceRequests []cccell.AdviceRequest `cbor:"6,keyasint,omitempty"`
	// Pending counts the jobs that have not begun, by queue.
	Pending map[string]int `cbor:"7,keyasint,omitempty"`
	// StoreAgeMs is the time since the leader's last successful call to the store.
	StoreAgeMs int64 `cbor:"8,keyasint,omitempty"`
	// Version is that of the configuration in force at the leader.
	Version int64 `cbor:"9,keyasint,omitempty"`
	// Resigning asks the fellow to take over, since the leader is about to stop.
	Resigning bool `cbor:"10,keyasint,omitempty"`
	// Loading is true while the leader still reads the store: it tells nothing yet.
	Loading bool `cbor:"12,keyasint,omitempty"`
	// HeartbeatMs is how long the leader lets this fellow wait when nothing changes.
	HeartbeatMs int64 `cbor:"13,keyasint,omitempty"`
}

// Check implements Message.
func (m *SyncReply) Check() error {
	for i := range m.Changes {
		if err := m.Changes[i].State.Check(); err != nil {
			return errors.Mark(err, ErrBadMessage)
		}
	}
	return nil
}

// NotifyRequest tells the leader what happened at a fellow.
type NotifyRequest struct {
	VM string `cbor:"1,keyasint"`
	// Jobs were accepted and Cancels asked for; the store has both.
	Jobs          []*cccell.Job        `cbor:"2,keyasint,omitempty"`
	Cancels       []string             `cbor:"3,keyasint,omitempty"`
	AdviceReplies []cccell.AdviceReply `cbor:"4,keyasint,omitempty"`
}

// Check implements Message.
func (m *NotifyRequest) Check() error {
	for _, j := range m.Jobs {
		if j == nil {
			return errors.Wrap(ErrBadMessage, "job is missing")
		}
		if err := j.Check(); err != nil {
			return errors.Mark(err, ErrBadMessage)
		}
	}
	return nil
}

// NotifyReply says whether the receiver leads.
type NotifyReply struct {
	Leading bool `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *NotifyReply) Check() error {
	return nil
}

// LeaderContactRequest asks whether the receiver hears the leader with a token.
type LeaderContactRequest struct {
	Token int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *LeaderContactRequest) Check() error {
	return nil
}

// LeaderContactReply tells how long ago the leader was heard; AgoMs is -1 for never.
type LeaderContactReply struct {
	AgoMs int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *LeaderContactReply) Check() error {
	return nil
}

// AnnounceRequest tells of a new leader.
type AnnounceRequest struct {
	VM       string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	StartMs  int64  `cbor:"3,keyasint"`
	Token    int64  `cbor:"4,keyasint"`
	Revision int64  `cbor:"5,keyasint"`
}

// Check implements Message.
func (m *AnnounceRequest) Check() error {
	if m.VM == "" || m.Address == "" || m.Token <= 0 {
		return errors.Wrap(ErrBadMessage, "announcement lacks VM, Address or Token")
	}
	return nil
}

// RelayWriteRequest asks a fellow to write to the store for a process that does not reach it.
type RelayWriteRequest struct {
	// Job is to be kept, or Cancel is the job to be cancelled.
	Job    *cccell.Job `cbor:"1,keyasint,omitempty"`
	Cancel string      `cbor:"2,keyasint,omitempty"`
	// BudgetMs is the time left.
	BudgetMs int64 `cbor:"3,keyasint"`
}

// Check implements Message.
func (m *RelayWriteRequest) Check() error {
	if m.Job != nil {
		return errors.Mark(m.Job.Check(), ErrBadMessage)
	}
	if m.Cancel == "" {
		return errors.Wrap(ErrBadMessage, "nothing to keep")
	}
	return nil
}

// RelayWriteReply says what became of it.
type RelayWriteReply struct {
	// Outcome is Ran when the store has it, NotRun when it certainly does not, and else Unknown.
	Outcome ccwork.Outcome `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *RelayWriteReply) Check() error {
	return m.Outcome.Check()
}

// CellConfigRequest asks for the configuration in force.
type CellConfigRequest struct {
	// KnownVersion is the version that the asker has.
	KnownVersion int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *CellConfigRequest) Check() error {
	return nil
}

// CellConfigReply is the configuration as the operators wrote it; it is empty when there is none above the one asked for.
type CellConfigReply struct {
	Raw      []byte `cbor:"1,keyasint,omitempty"`
	Revision int64  `cbor:"2,keyasint,omitempty"`
}

// Check implements Message.
func (m *CellConfigReply) Check() error {
	return nil
}

// CellHandler answers the calls of fellows in a cell. Its methods are called from many goroutines.
type CellHandler interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Notify(ctx context.Context, in *NotifyRequest) (*NotifyReply, error)
	LeaderContact(ctx context.Context, in *LeaderContactRequest) (*LeaderContactReply, error)
	CellConfig(ctx context.Context, in *CellConfigRequest) (*CellConfigReply, error)
	Announce(ctx context.Context, in *AnnounceRequest) (*LeaderContactReply, error)
	RelayWrite(ctx context.Context, in *RelayWriteRequest) (*RelayWriteReply, error)
}

// ServeCell answers calls on a listener until ctx ends.
func ServeCell(ctx context.Context, l net.Listener, h CellHandler) error {
	mux := handlers{
		methodSync: unary(h.Sync), methodNotify: unary(h.Notify), methodLeaderContact: unary(h.LeaderContact), methodCellConfig: unary(h.CellConfig), methodAnnounce: unary(h.Announce),
		methodRelayWrite: unary(h.RelayWrite),
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, l), "serving fellows")
}

// Sync asks the leader for what changed.
func (c *Client) Sync(ctx context.Context, address string, in *SyncRequest) (*SyncReply, error) {
	return call[SyncRequest, SyncReply](ctx, c, c.control, address, methodSync, in)
}

// Notify tells the leader what happened here.
func (c *Client) Notify(ctx context.Context, address string, in *NotifyRequest) (*NotifyReply, error) {
	return call[NotifyRequest, NotifyReply](ctx, c, c.control, address, methodNotify, in)
}

// LeaderContact asks a fellow whether it hears the leader.
func (c *Client) LeaderContact(ctx context.Context, address string, in *LeaderContactRequest) (*LeaderContactReply, error) {
	return call[LeaderContactRequest, LeaderContactReply](ctx, c, c.control, address, methodLeaderContact, in)
}

// CellConfig asks a fellow for the configuration in force.
func (c *Client) CellConfig(ctx context.Context, address string, in *CellConfigRequest) (*CellConfigReply, error) {
	return call[CellConfigRequest, CellConfigReply](ctx, c, c.control, address, methodCellConfig, in)
}

// Announce tells a fellow of a new leader.
func (c *Client) Announce(ctx context.Context, address string, in *AnnounceRequest) error {
	_, err := call[AnnounceRequest, LeaderContactReply](ctx, c, c.control, address, methodAnnounce, in)
	return err
}

// RelayWrite asks a fellow to write to the store.
func (c *Client) RelayWrite(ctx context.Context, address string, in *RelayWriteRequest) (*RelayWriteReply, error) {
	return call[RelayWriteRequest, RelayWriteReply](ctx, c, c.control, address, methodRelayWrite, in)
}
