// Package ccpeer provides the remote procedure calls between the processes of the system. The protocol is drpc, with
// messages encoded as CBOR. Unknown fields are ignored and missing ones are zero, so that two releases can run side by
// side while VMs are replaced. message.go and rpc.go hold the calls between the owners of shards, cell.go those between
// the processes of a cell (io/cccontrol).
package ccpeer

import (
	"coriandercross/core/ccjob"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccshard"
	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadMessage reports a message that can be decoded but is not valid.
var ErrBadMessage = errors.New("message is malformed")

// Message is a message that is validated after decoding.
type Message interface {
	// Check returns an error if the message is not valid.
	Check() error
}

// Gossip disseminates the liveness and the load of processes. In addition, the owner of shards uses it to request
// grants from the successor of its shards: undertakings not to take a shard over before a given time.
type Gossip struct {
	// From is the sender.
	From    string            `cbor:"1,keyasint"`
	Members []ccmember.Member `cbor:"2,keyasint,omitempty"`
	// Grants are the shards for which a grant is requested or, in a reply, given.
	Grants []ccshard.ShardEpoch `cbor:"3,keyasint,omitempty"`
}

// Check implements Message.
func (m *Gossip) Check() error {
	if m.From == "" {
		return errors.Wrap(ErrBadMessage, "gossip has no sender")
	}
	return nil
}

// RunRequest asks the owner of a shard to run a request on one of the shard's workers.
type RunRequest struct {
	Task string
	Team string
	Kind string
	Size ccwork.Size
	// BudgetMs is the time left until the deadline by which the request must start, and RunMs the longest time for
	// which it may run.
	BudgetMs int64
	RunMs    int64
	Urgency  int
	Body     []byte
}

// Check implements Message.
func (m *RunRequest) Check() error {
	if m.Task == "" || m.Team == "" || m.Kind == "" {
		return errors.Wrap(ErrBadMessage, "request lacks Task, Team or Kind")
	}
	return m.Size.Check()
}

// RunReply is the result of a request, with the load digest of the owner.
type RunReply struct {
	Result ccwork.Result
	Digest ccmember.Digest
}

// Check implements Message.
func (m *RunReply) Check() error {
	return m.Result.Outcome.Check()
}

// PlaceTask is one task of a PlaceRequest.
type PlaceTask struct {
	Task    string
	Payload []byte `cbor:",omitempty"`
	// Avoid is a worker on which the task must not be placed, "" for none.
	Avoid string `cbor:",omitempty"`
}

// PlaceRequest asks the owner of a shard to start tasks of one job, or, with Reserve, only to reserve capacity for
// them. Without Urgent, the tasks may be preempted like long-running work, and may not use the capacity that is
// reserved for urgent work.
type PlaceRequest struct {
	ccledger.Sender
	Team    string
	Kind    string
	Size    ccwork.Size
	Long    bool
	Urgent  bool
	Reserve bool
	Tasks   []PlaceTask
}

// Check implements Message.
func (m *PlaceRequest) Check() error {
	if m.Bucket == "" || m.Team == "" || len(m.Tasks) == 0 {
		return errors.Wrap(ErrBadMessage, "placement lacks Bucket, Team or Tasks")
	}
	return m.Size.Check()
}

// Placement is the outcome for one task. Ran means that the task was started, or that capacity was reserved for it.
type Placement struct {
	Task    string
	Outcome ccwork.Outcome
	Reason  string `cbor:",omitempty"`
	Worker  string `cbor:",omitempty"`
	Shard   string `cbor:",omitempty"`
}

// PlaceReply is the reply to a PlaceRequest, with the outcome for each task.
type PlaceReply struct {
	Placements []Placement
}

// Check implements Message.
func (m *PlaceReply) Check() error {
	for i := range m.Placements {
		if err := m.Placements[i].Outcome.Check(); err != nil {
			return err
		}
	}
	return nil
}

// ReportRequest asks an owner for its ready shards and its tasks of one bucket of jobs. It also carries orders for
// tasks.
type ReportRequest struct {
	ccledger.Sender
	// Stop are tasks to stop, Forget ended tasks whose records may be removed, and Release tasks whose reservations
	// end.
	Stop    []string `cbor:",omitempty"`
	Forget  []string `cbor:",omitempty"`
	Release []string `cbor:",omitempty"`
}

// Check implements Message.
func (m *ReportRequest) Check() error {
	if m.Bucket == "" {
		return errors.Wrap(ErrBadMessage, "report request has no Bucket")
	}
	return nil
}

// ReportReply is the reply to a ReportRequest.
type ReportReply struct {
	// Ready are the shards that the owner has authority over and whose workers it has read.
	Ready  []string
	Tasks  []ccledger.Claim
	Digest ccmember.Digest
}

// Check implements Message.
func (m *ReportReply) Check() error {
	return nil
}

// Report converts the reply to the type that the job driver uses.
func (m *ReportReply) Report() ccjob.Report {
	return ccjob.Report{Ready: m.Ready, Tasks: m.Tasks}
}

// ConfigRequest asks for the configuration in force.
type ConfigRequest struct {
	// Above is the highest revision that the sender has. Only a higher one is of interest.
	Above uint64
}

// Check implements Message.
func (m *ConfigRequest) Check() error {
	return nil
}

// ConfigReply is the reply to a ConfigRequest. Revision is 0 if the process has no revision higher than the sender's.
type ConfigReply struct {
	Revision uint64
	Document ccteam.Document
}

// Check implements Message.
func (m *ConfigReply) Check() error {
	if diagnostics := m.Document.Check(); m.Revision > 0 && len(diagnostics) > 0 {
		return errors.Wrap(ErrBadMessage, diagnostics[0].String())
	}
	return nil
}

// BucketChanged notifies the owner of a bucket of jobs that the bucket's record in the store has changed.
type BucketChanged struct {
	Bucket string
}

// Check implements Message.
func (m *BucketChanged) Check() error {
	return nil
}
