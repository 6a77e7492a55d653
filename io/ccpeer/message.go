// Package ccpeer carries messages between the processes of the system: drpc with CBOR. It is
// the only package that knows that wire. Unknown fields are ignored and missing ones are zero, so
// that two releases can run side by side while VMs are replaced.
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

// ErrBadMessage reports a message that decodes but makes no sense.
var ErrBadMessage = errors.New("message is malformed")

// Message is a message that checks itself after decoding.
type Message interface {
	Check() error
}

// Gossip spreads liveness and load, and asks an heir for promises; the reply grants them.
type Gossip struct {
	From    string            `cbor:"1,keyasint"`
	Entries []ccmember.Member `cbor:"2,keyasint,omitempty"`
	// Claims are asks in a request and grants in a reply.
	Claims []ccshard.ShardEpoch `cbor:"3,keyasint,omitempty"`
}

// Check implements Message.
func (m *Gossip) Check() error {
	if m.From == "" {
		return errors.Wrap(ErrBadMessage, "gossip has no sender")
	}
	return nil
}

// RunRequest asks an owner to run a request on one of its workers.
type RunRequest struct {
	Task string
	Team string
	Kind string
	Size ccwork.Size
	// BudgetMs is the time left until the start deadline, and RunMs the longest run after it.
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

// RunReply is the outcome of a request, with the owner's load.
type RunReply struct {
	Result ccwork.Result
	Digest ccmember.Digest
}

// Check implements Message.
func (m *RunReply) Check() error {
	return m.Result.Outcome.Check()
}

// PlaceTask is one task of a job to be started, or to be reserved for.
type PlaceTask struct {
	Task    string
	Payload []byte `cbor:",omitempty"`
	Avoid   string `cbor:",omitempty"`
}

// PlaceRequest asks an owner to start tasks of one job, or only to hold room for them.
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

// Placement is the outcome for one task. Ran means that the task was started, or reserved for.
type Placement struct {
	Task    string
	Outcome ccwork.Outcome
	Reason  string `cbor:",omitempty"`
	Worker  string `cbor:",omitempty"`
	Shard   string `cbor:",omitempty"`
}

// PlaceReply tells the outcome for each task.
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

// ReportRequest asks an owner for its ready shards and the tasks of a bucket, and hands it tasks to
// stop, to forget, and reservations to release.
type ReportRequest struct {
	ccledger.Sender
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

// ReportReply is an owner's report.
type ReportReply struct {
	Ready  []string
	Tasks  []ccledger.Claim
	Digest ccmember.Digest
}

// Check implements Message.
func (m *ReportReply) Check() error {
	return nil
}

// Report converts the reply to the driver's type.
func (m *ReportReply) Report() ccjob.Report {
	return ccjob.Report{Ready: m.Ready, Tasks: m.Tasks}
}

// ConfigRequest asks for the configuration in force.
type ConfigRequest struct {
	// Above is the highest revision that the asker has.
	Above uint64
}

// Check implements Message.
func (m *ConfigRequest) Check() error {
	return nil
}

// ConfigReply is a configuration. Revision 0 means that the process has none above the one asked for.
type ConfigReply struct {
	Revision uint64
	Document ccteam.Document
}

// Check implements Message.
func (m *ConfigReply) Check() error {
	if faults := m.Document.Check(); m.Revision > 0 && len(faults) > 0 {
		return errors.Wrap(ErrBadMessage, faults[0].String())
	}
	return nil
}

// BucketChanged tells the owner of a bucket that the record of its jobs has changed.
type BucketChanged struct {
	Bucket string
}

// Check implements Message.
func (m *BucketChanged) Check() error {
	return nil
}
