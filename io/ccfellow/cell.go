package ccfellow

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
	methodSync     = "/coriandercross/Sync"
	methodTell     = "/coriandercross/Tell"
	methodHeard    = "/coriandercross/Heard"
	methodDocument = "/coriandercross/Document"
	methodAnnounce = "/coriandercross/Announce"
	methodKeep     = "/coriandercross/Keep"
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
	// Whole is true when Changes holds every job, not only what changed.
	Whole   bool            `cbor:"4,keyasint,omitempty"`
	Changes []cccell.StateChange `cbor:"5,keyasint,omitempty"`
	// Asks are calls to the policy service that the fellow shall make.
	Asks []cccell.AdviceRequest `cbor:"6,keyasint,omitempty"`
	// Pending counts the jobs that have not begun, by queue.
	Pending map[string]int `cbor:"7,keyasint,omitempty"`
	// StoreAgeMs is the time since the leader's last successful call to the store.
	StoreAgeMs int64 `cbor:"8,keyasint,omitempty"`
	// Version is that of the configuration in force at the leader.
	Version int64 `cbor:"9,keyasint,omitempty"`
	// Resign asks the fellow to take over, since the leader is about to stop.
	Resign bool `cbor:"10,keyasint,omitempty"`
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

// TellRequest tells the leader what happened at a fellow.
type TellRequest struct {
	VM string `cbor:"1,keyasint"`
	// Jobs were accepted and Cancels asked for; the store has both.
	Jobs    []*cccell.Job   `cbor:"2,keyasint,omitempty"`
	Cancels []string        `cbor:"3,keyasint,omitempty"`
	Answers []cccell.AdviceReply `cbor:"4,keyasint,omitempty"`
}

// Check implements Message.
func (m *TellRequest) Check() error {
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

// TellReply says whether the receiver leads.
type TellReply struct {
	Leading bool `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *TellReply) Check() error {
	return nil
}

// HeardRequest asks whether the receiver hears the leader with a token.
type HeardRequest struct {
	Token int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *HeardRequest) Check() error {
	return nil
}

// HeardReply tells how long ago the leader was heard; AgoMs is -1 for never.
type HeardReply struct {
	AgoMs int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *HeardReply) Check() error {
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

// KeepRequest asks a fellow to write to the store for a process that does not reach it.
type KeepRequest struct {
	// Job is to be kept, or Cancel is the job to be cancelled.
	Job    *cccell.Job `cbor:"1,keyasint,omitempty"`
	Cancel string      `cbor:"2,keyasint,omitempty"`
	// BudgetMs is the time left.
	BudgetMs int64 `cbor:"3,keyasint"`
}

// Check implements Message.
func (m *KeepRequest) Check() error {
	if m.Job != nil {
		return errors.Mark(m.Job.Check(), ErrBadMessage)
	}
	if m.Cancel == "" {
		return errors.Wrap(ErrBadMessage, "nothing to keep")
	}
	return nil
}

// KeepReply says what became of it.
type KeepReply struct {
	// Outcome is Ran when the store has it, NotRun when it certainly does not, and else Unknown.
	Outcome ccwork.Outcome `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *KeepReply) Check() error {
	return m.Outcome.Check()
}

// DocumentRequest asks for the configuration in force.
type DocumentRequest struct {
	// Above is the version that the asker has.
	Above int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *DocumentRequest) Check() error {
	return nil
}

// DocumentReply is the configuration as the operators wrote it; it is empty when there is none above the one asked for.
type DocumentReply struct {
	Raw      []byte `cbor:"1,keyasint,omitempty"`
	Revision int64  `cbor:"2,keyasint,omitempty"`
}

// Check implements Message.
func (m *DocumentReply) Check() error {
	return nil
}

// CellHandler answers the calls of fellows in a cell. Its methods are called from many goroutines.
type CellHandler interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Tell(ctx context.Context, in *TellRequest) (*TellReply, error)
	Heard(ctx context.Context, in *HeardRequest) (*HeardReply, error)
	Document(ctx context.Context, in *DocumentRequest) (*DocumentReply, error)
	Announce(ctx context.Context, in *AnnounceRequest) (*HeardReply, error)
	Keep(ctx context.Context, in *KeepRequest) (*KeepReply, error)
}

// ServeCell answers calls on a listener until ctx ends.
func ServeCell(ctx context.Context, l net.Listener, h CellHandler) error {
	mux := handlers{
		methodSync: unary(h.Sync), methodTell: unary(h.Tell), methodHeard: unary(h.Heard), methodDocument: unary(h.Document), methodAnnounce: unary(h.Announce),
		methodKeep: unary(h.Keep),
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, l), "serving fellows")
}

// Sync asks the leader for what changed.
func (c *Client) Sync(ctx context.Context, address string, in *SyncRequest) (*SyncReply, error) {
	return call[SyncRequest, SyncReply](ctx, c, c.control, address, methodSync, in)
}

// Tell tells the leader what happened here.
func (c *Client) Tell(ctx context.Context, address string, in *TellRequest) (*TellReply, error) {
	return call[TellRequest, TellReply](ctx, c, c.control, address, methodTell, in)
}

// Heard asks a fellow whether it hears the leader.
func (c *Client) Heard(ctx context.Context, address string, in *HeardRequest) (*HeardReply, error) {
	return call[HeardRequest, HeardReply](ctx, c, c.control, address, methodHeard, in)
}

// Document asks a fellow for the configuration in force.
func (c *Client) Document(ctx context.Context, address string, in *DocumentRequest) (*DocumentReply, error) {
	return call[DocumentRequest, DocumentReply](ctx, c, c.control, address, methodDocument, in)
}

// Announce tells a fellow of a new leader.
func (c *Client) Announce(ctx context.Context, address string, in *AnnounceRequest) error {
	_, err := call[AnnounceRequest, HeardReply](ctx, c, c.control, address, methodAnnounce, in)
	return err
}

// Keep asks a fellow to write to the store.
func (c *Client) Keep(ctx context.Context, address string, in *KeepRequest) (*KeepReply, error) {
	return call[KeepRequest, KeepReply](ctx, c, c.control, address, methodKeep, in)
}
