package ccpeer

import (
	"context"
	"net"

	"coriandercross/core/cccell"
	"coriandercross/core/ccsuccession"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcserver"
)

// RPC method names of CellHandler. Some differ from the Go names: a release that changed them could not communicate
// with processes of earlier releases.
const (
	methodSync          = "/coriandercross/Sync"
	methodNotify        = "/coriandercross/Tell"
	methodLeaderContact = "/coriandercross/Heard"
	methodCellConfig    = "/coriandercross/Document"
	methodAnnounce      = "/coriandercross/Announce"
	methodRelayWrite    = "/coriandercross/Keep"
	methodBegin         = "/coriandercross/Begin"
)

// SyncRequest asks the leader for the changes of job states. The leader replies when there is a change, or after its
// heartbeat interval.
type SyncRequest struct {
	// VM is the sender.
	VM string `cbor:"1,keyasint"`
	// Token and Seq are the position of the last change that the sender has: the term, and the number within the term.
	// If Token is not that of the present term, the reply has the states of all jobs.
	Token int64 `cbor:"2,keyasint"`
	Seq   int64 `cbor:"3,keyasint"`
	// Version is the version of the configuration in force at the sender.
	Version int64 `cbor:"4,keyasint"`
	// Draining is true if the sender is about to stop.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// StartMs is when the sender started, in Unix milliseconds. It distinguishes the processes of one VM.
	StartMs int64 `cbor:"6,keyasint,omitempty"`
	// Following is the token of the leader that the sender follows, and ReceivedMs is SyncReply.SentMs of the last reply
	// that it received from that leader, 0 for none.
	Following  int64 `cbor:"7,keyasint,omitempty"`
	ReceivedMs int64 `cbor:"8,keyasint,omitempty"`
	// SlowTenths is how many times slower than normally the sender runs, in tenths, 0 while that is not worth reporting.
	SlowTenths int64 `cbor:"9,keyasint,omitempty"`
	// JobMemory is what the sender has for accepted jobs that are large, in bytes, 0 for no bound. Processes of earlier
	// releases leave it out.
	JobMemory int64 `cbor:"10,keyasint,omitempty"`
}

// Check implements Message.
func (m *SyncRequest) Check() error {
	if m.VM == "" {
		return errors.Wrap(ErrBadMessage, "sync request has no VM")
	}
	return nil
}

// SyncReply is the reply to a SyncRequest.
type SyncReply struct {
	// Leading is false if the receiver of the request does not lead. The other fields are empty then.
	Leading bool `cbor:"1,keyasint"`
	// Token and Seq are the position after Changes.
	Token int64 `cbor:"2,keyasint,omitempty"`
	Seq   int64 `cbor:"3,keyasint,omitempty"`
	// Full is true if Changes holds the states of all jobs, false if it holds the changes since the requested position.
	Full    bool                 `cbor:"4,keyasint,omitempty"`
	Changes []cccell.StateChange `cbor:"5,keyasint,omitempty"`
	// AdviceRequests are requests to the policy service that the peer must make on behalf of the leader.
	AdviceRequests []cccell.AdviceRequest `cbor:"6,keyasint,omitempty"`
	// QueuedJobs is the number of jobs that have not started, by queue.
	QueuedJobs map[string]int `cbor:"7,keyasint,omitempty"`
	// StoreAgeMs is the time since the leader's last successful call to the store.
	StoreAgeMs int64 `cbor:"8,keyasint,omitempty"`
	// Version is the version of the configuration in force at the leader.
	Version int64 `cbor:"9,keyasint,omitempty"`
	// Resigning asks the peer to take over, since the leader is about to stop, or slow.
	Resigning bool `cbor:"10,keyasint,omitempty"`
	// Loading is true while the leader loads its state from the store. Only Leading, Token and StoreAgeMs are set then.
	Loading bool `cbor:"12,keyasint,omitempty"`
	// HeartbeatMs is the time after which the leader replies if there are no changes.
	HeartbeatMs int64 `cbor:"13,keyasint,omitempty"`
	// SentMs is the time of the reply on the leader's clock. The peer returns it in its next request, which shows the
	// leader that the peer still followed it then.
	SentMs int64 `cbor:"14,keyasint,omitempty"`
	// Successor is true, with Resigning, if the leader has chosen this peer alone and has ended its term.
	Successor bool `cbor:"15,keyasint,omitempty"`
	// HandedOver is true, without Leading, if Token is that of the last term that the sender knows of, which was its own
	// and has ended since it has chosen a successor.
	HandedOver bool `cbor:"16,keyasint,omitempty"`
	// Slow holds the slowness, in tenths, of the processes that have reported to be slow, by VM. It is left out unless it
	// has changed, or was last sent some seconds ago.
	Slow map[string]int64 `cbor:"17,keyasint,omitempty"`
	// PriorEnded is true once the authority of all leaders before the sender has ended.
	PriorEnded bool `cbor:"18,keyasint,omitempty"`
	// RunsUnstored is true while the leader, or one before it whose runs are not all known, may run jobs that are not stored.
	RunsUnstored bool `cbor:"19,keyasint,omitempty"`
	// JobLimit is the least SyncRequest.JobMemory of the processes, 0 for no bound, and JobBytes what jobs occupy of it.
	JobLimit int64 `cbor:"20,keyasint,omitempty"`
	JobBytes int64 `cbor:"21,keyasint,omitempty"`
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

// NotifyRequest notifies the leader of the jobs and requests to cancel that a peer has accepted, and of the advice
// replies that it has received.
type NotifyRequest struct {
	// VM is the sender.
	VM string `cbor:"1,keyasint"`
	// Jobs are the jobs, and Cancels the IDs of jobs to cancel, that the sender has written to the store.
	Jobs    []*cccell.Job `cbor:"2,keyasint,omitempty"`
	Cancels []string      `cbor:"3,keyasint,omitempty"`
	// AdviceReplies are the results of SyncReply.AdviceRequests.
	AdviceReplies []cccell.AdviceReply `cbor:"4,keyasint,omitempty"`
	// Begun are the IDs of those Jobs of which a leader other than that of Token may have started tasks.
	Begun []string `cbor:"5,keyasint,omitempty"`
	Token int64    `cbor:"7,keyasint,omitempty"`
	// Unstored are the IDs of jobs that an earlier leader may have begun and that the sender is still writing.
	Unstored []string `cbor:"8,keyasint,omitempty"`
	// RanUnstored is true if the leader that the sender followed before ran jobs that were not stored.
	RanUnstored bool `cbor:"9,keyasint,omitempty"`
	// Withdrawn are jobs that were cancelled before they were stored. Earlier releases find that when they write them.
	Withdrawn []Withdrawal `cbor:"6,keyasint,omitempty"`
}

// Withdrawal names a job that was cancelled before it was stored, and the team of the caller.
type Withdrawal struct {
	Job  string `cbor:"1,keyasint"`
	Team string `cbor:"2,keyasint,omitempty"`
}

// Check implements Message.
func (m *NotifyRequest) Check() error {
	for _, j := range m.Jobs {
		if j == nil {
			return errors.Wrap(ErrBadMessage, "notification has an empty job")
		}
		if err := j.Check(); err != nil {
			return errors.Mark(err, ErrBadMessage)
		}
	}
	return nil
}

// NotifyReply is the reply to a NotifyRequest.
type NotifyReply struct {
	// Leading is false if the receiver of the request does not lead and has ignored it.
	Leading bool `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *NotifyReply) Check() error {
	return nil
}

// LeaderContactRequest asks when the receiver had its last reply from the leader with the given token.
type LeaderContactRequest struct {
	Token int64 `cbor:"1,keyasint"`
}

// Check implements Message.
func (m *LeaderContactRequest) Check() error {
	return nil
}

// LeaderContactReply is the reply to a LeaderContactRequest.
type LeaderContactReply struct {
	// AgoMs is the time since the leader's last reply, -1 if there was none or the receiver follows another leader.
	AgoMs int64 `cbor:"1,keyasint"`
	// Slow is true while the sender runs so slowly that it may have missed replies of the leader.
	Slow bool `cbor:"2,keyasint,omitempty"`
}

// Check implements Message.
func (m *LeaderContactReply) Check() error {
	return nil
}

// AnnounceRequest announces a new leader, with the fields of its leader record and the revision of the record.
type AnnounceRequest struct {
	VM       string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	StartMs  int64  `cbor:"3,keyasint"`
	Token    int64  `cbor:"4,keyasint"`
	Revision int64  `cbor:"5,keyasint"`
	// Demoted are the processes that rank behind the others; see ccsuccession.
	Demoted []ccsuccession.Demotion `cbor:"6,keyasint,omitempty"`
}

// Check implements Message.
func (m *AnnounceRequest) Check() error {
	if m.VM == "" || m.Address == "" || m.Token <= 0 {
		return errors.Wrap(ErrBadMessage, "announcement lacks VM, Address or Token")
	}
	return nil
}

// AnnounceReply names the receiver of an announcement, and the leader that it follows now. Processes of earlier releases
// leave the fields out.
type AnnounceReply struct {
	VM      string `cbor:"2,keyasint,omitempty"`
	StartMs int64  `cbor:"3,keyasint,omitempty"`
	// Token is that of the leader which the receiver follows after the announcement.
	Token int64 `cbor:"4,keyasint,omitempty"`
}

// Check implements Message.
func (m *AnnounceReply) Check() error {
	return nil
}

// RelayWriteRequest asks a peer to write to the store on behalf of the sender, which can't reach the store. Either Job
// or Cancel is set.
type RelayWriteRequest struct {
	// Job is a submitted job.
	Job *cccell.Job `cbor:"1,keyasint,omitempty"`
	// Cancel is the ID of a job to cancel.
	Cancel string `cbor:"2,keyasint,omitempty"`
	// BudgetMs is the time for which the write of a job may be retried.
	BudgetMs int64 `cbor:"3,keyasint"`
	// NewFor is the token of the only leader that can have started tasks of the job, 0 if others may have.
	NewFor int64 `cbor:"4,keyasint,omitempty"`
}

// Check implements Message.
func (m *RelayWriteRequest) Check() error {
	if m.Job != nil {
		return errors.Mark(m.Job.Check(), ErrBadMessage)
	}
	if m.Cancel == "" {
		return errors.Wrap(ErrBadMessage, "relayed write has neither Job nor Cancel")
	}
	return nil
}

// RelayWriteReply is the reply to a RelayWriteRequest.
type RelayWriteReply struct {
	// Outcome is Ran if the write was carried out, NotRun if it certainly was not and will not be, and Unknown
	// otherwise.
	Outcome ccwork.Outcome `cbor:"1,keyasint"`
	// Owner is the owner of the job that was in the store before, nil if there was none or it is of the same team. The
	// sender decides whether the caller may repeat the submission.
	Owner *cccell.Owner `cbor:"2,keyasint,omitempty"`
	// Withdrawn is true if the job was cancelled before it was stored. It is not, and won't be.
	Withdrawn bool `cbor:"3,keyasint,omitempty"`
}

// Check implements Message.
func (m *RelayWriteReply) Check() error {
	return m.Outcome.Check()
}

// BeginRequest asks the leader to run a job whose submission is still being written.
type BeginRequest struct {
	Job *cccell.Job `cbor:"1,keyasint"`
	// Begun is true if a leader other than that of Token may have started tasks of the job.
	Begun bool  `cbor:"2,keyasint,omitempty"`
	Token int64 `cbor:"3,keyasint,omitempty"`
}

// Check implements Message.
func (m *BeginRequest) Check() error {
	if m.Job == nil {
		return errors.Wrap(ErrBadMessage, "request to begin a job has no job")
	}
	return errors.Mark(m.Job.Check(), ErrBadMessage)
}

// BeginReply is the reply to a BeginRequest.
type BeginReply struct {
	// Begun is true if the receiver leads and has the job now.
	Begun bool `cbor:"1,keyasint,omitempty"`
}

// Check implements Message.
func (m *BeginReply) Check() error {
	return nil
}

// CellConfigRequest asks for the configuration in force.
type CellConfigRequest struct {
	// KnownVersion is the version that the sender has. The reply is empty unless there is a newer one.
	KnownVersion int64 `cbor:"1,keyasint"`
	// VersionOnly asks for the version without the document. Processes of earlier releases return the document.
	VersionOnly bool `cbor:"2,keyasint,omitempty"`
	// Deflate is true if the sender reads CellConfigReply.Deflated. Processes of earlier releases do not.
	Deflate bool `cbor:"3,keyasint,omitempty"`
}

// Check implements Message.
func (m *CellConfigRequest) Check() error {
	return nil
}

// CellConfigReply is the reply to a CellConfigRequest.
type CellConfigReply struct {
	// Raw is the document as the operators wrote it. It is empty if Deflated has the document, in the DEFLATE format of
	// RFC 1951.
	Raw []byte `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the document in the store.
	Revision int64 `cbor:"2,keyasint,omitempty"`
	// Version is the version of the configuration, if it is newer than that of the sender of the request.
	Version  int64  `cbor:"3,keyasint,omitempty"`
	Deflated []byte `cbor:"4,keyasint,omitempty"`
}

// Check implements Message.
func (m *CellConfigReply) Check() error {
	return nil
}

// CellHandler handles the calls between the processes of a cell. Its methods are called from many goroutines.
type CellHandler interface {
	Sync(ctx context.Context, in *SyncRequest) (*SyncReply, error)
	Notify(ctx context.Context, in *NotifyRequest) (*NotifyReply, error)
	LeaderContact(ctx context.Context, in *LeaderContactRequest) (*LeaderContactReply, error)
	CellConfig(ctx context.Context, in *CellConfigRequest) (*CellConfigReply, error)
	Announce(ctx context.Context, in *AnnounceRequest) (*AnnounceReply, error)
	RelayWrite(ctx context.Context, in *RelayWriteRequest) (*RelayWriteReply, error)
	Begin(ctx context.Context, in *BeginRequest) (*BeginReply, error)
}

// ServeCell serves the calls that arrive on a listener until ctx ends.
func ServeCell(ctx context.Context, l net.Listener, h CellHandler) error {
	mux := handlers{
		methodSync: unary(h.Sync), methodNotify: unary(h.Notify), methodLeaderContact: unary(h.LeaderContact), methodCellConfig: unary(h.CellConfig), methodAnnounce: unary(h.Announce),
		methodRelayWrite: unary(h.RelayWrite), methodBegin: unary(h.Begin),
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, l), "serving peers")
}

// Sync asks the leader for the changes of job states. It blocks until there is a change, or for the heartbeat interval.
func (c *Client) Sync(ctx context.Context, address string, in *SyncRequest) (*SyncReply, error) {
	return call[SyncRequest, SyncReply](ctx, c, c.control, address, methodSync, in)
}

// Notify sends accepted jobs, requests to cancel and advice replies to the leader.
func (c *Client) Notify(ctx context.Context, address string, in *NotifyRequest) (*NotifyReply, error) {
	return call[NotifyRequest, NotifyReply](ctx, c, c.control, address, methodNotify, in)
}

// LeaderContact asks a peer when it had its last reply from the leader.
func (c *Client) LeaderContact(ctx context.Context, address string, in *LeaderContactRequest) (*LeaderContactReply, error) {
	return call[LeaderContactRequest, LeaderContactReply](ctx, c, c.control, address, methodLeaderContact, in)
}

// CellConfig asks a peer for the configuration in force. A document, which may be large, is received on a connection of
// its own, which fails after ControlTimeout without a byte; only ctx bounds the time for the whole.
func (c *Client) CellConfig(ctx context.Context, address string, in *CellConfigRequest) (*CellConfigReply, error) {
	if in.VersionOnly {
		return call[CellConfigRequest, CellConfigReply](ctx, c, c.control, address, methodCellConfig, in)
	}
	conn, err := c.dialDocument(ctx, address)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	defer func() { _ = conn.Close() }()
	out := &CellConfigReply{}
	if err := conn.Invoke(ctx, methodCellConfig, encoding{}, in, out); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "calling %s", methodCellConfig), ErrInDoubt)
	}
	return out, nil
}

// Announce announces a new leader to a peer.
func (c *Client) Announce(ctx context.Context, address string, in *AnnounceRequest) (*AnnounceReply, error) {
	return call[AnnounceRequest, AnnounceReply](ctx, c, c.control, address, methodAnnounce, in)
}

// RelayWrite asks a peer to write to the store on behalf of this process.
func (c *Client) RelayWrite(ctx context.Context, address string, in *RelayWriteRequest) (*RelayWriteReply, error) {
	return call[RelayWriteRequest, RelayWriteReply](ctx, c, c.control, address, methodRelayWrite, in)
}

// Begin asks the leader to run a job whose submission is still being written.
func (c *Client) Begin(ctx context.Context, address string, in *BeginRequest) (*BeginReply, error) {
	return call[BeginRequest, BeginReply](ctx, c, c.control, address, methodBegin, in)
}
