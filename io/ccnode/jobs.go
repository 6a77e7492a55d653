package ccnode

import (
	"context"
	"time"

	"coriandercross/core/ccjob"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// JobRequest is a job as submitted by a caller.
type JobRequest struct {
	ID       string
	Team     string
	Kind     string
	Payloads [][]byte
}

// SubmitJob accepts a job. Once it returns without an error, the job is in the store and will not be lost. A repeat
// with the same ID returns the job accepted first. SubmitJob blocks on the store and fails with ccwork.ErrUnknownKind,
// ccwork.ErrImpossible, ccjob.ErrBadJob, ccjob.ErrDifferent, ccwork.ErrDraining, ccwork.ErrNoOwner,
// ccstore.ErrUnavailable, ccstore.ErrTooLarge, or with ccstore.ErrInDoubt when the job may have been accepted.
func (n *Node) SubmitJob(ctx context.Context, req JobRequest) (*ccjob.Job, error) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	job, err := n.buildJob(req)
	if err != nil {
		return nil, err
	}
	if err := job.Check(); err != nil {
		return nil, err
	}
	name := n.bucketOf(job.Key())
	var out ccjob.Job
	err = n.jobs.Do(ctx, n.jobKey(name), func(b *ccjob.Bucket) error {
		stored, err := b.Submit(job)
		if err == nil {
			out = *stored
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	n.cfg.Metrics.jobsAccepted.WithLabelValues(req.Team, req.Kind).Inc()
	n.cfg.Log.Info("job accepted", "Team", req.Team, "Kind", req.Kind, "Job", req.ID, "Tasks", len(req.Payloads), "Bucket", name)
	n.notifyBucketOwner(name)
	return &out, nil
}

// buildJob converts a request to a job with the policy of its kind.
func (n *Node) buildJob(req JobRequest) (*ccjob.Job, error) {
	j := &ccjob.Job{ID: req.ID, Team: req.Team, Kind: req.Kind, State: ccjob.Accepted, AcceptedAt: time.Now().UnixMilli()}
	var refusal error
	err := n.do(func() { refusal = n.applyKind(j) })
	if err != nil {
		return nil, ccwork.ErrDraining
	}
	for _, p := range req.Payloads {
		j.Tasks = append(j.Tasks, ccjob.Task{Payload: p})
	}
	return j, refusal
}

// applyKind copies the policy of a job's kind from the configuration into the job. It must run in the control loop.
func (n *Node) applyKind(j *ccjob.Job) error {
	if n.state.doc == nil {
		return errors.Mark(errors.New("process has no configuration yet"), ccwork.ErrNoOwner)
	}
	kind, err := n.state.doc.Kind(j.Team, j.Kind)
	if err != nil {
		return err
	}
	if kind.Class == ccwork.Interactive {
		return errors.Wrapf(ccwork.ErrUnknownKind, "kind %q is interactive and must be sent as a request", j.Kind)
	}
	if part := n.exceedsLargestWorker(kind.Size); part != "" {
		return errors.Wrap(ccwork.ErrImpossible, part)
	}
	j.Class = kind.Class
	j.Size = kind.Size
	j.Long = kind.Long || kind.Class == ccwork.Service
	j.Urgency = kind.Urgency
	j.MaxFailures = kind.MaxFailures
	return nil
}

// notifyBucketOwner notifies the owner of a bucket that the bucket has changed in the store. If the message is lost,
// the owner reads the change at its next reload.
func (n *Node) notifyBucketOwner(name string) {
	_ = n.post(func() {
		owner := n.state.shards.Record(name).Owner
		if owner == n.id {
			n.wakeDriver(name)
			return
		}
		m, ok := n.state.members.Lookup(owner)
		if !ok {
			return
		}
		go n.sendBucketChanged(m, name)
	})
}

// sendBucketChanged notifies a peer that a bucket has changed in the store.
func (n *Node) sendBucketChanged(m ccmember.Member, name string) {
	if err := n.cfg.Peers.NotifyBucketChanged(context.Background(), m.Address, &ccpeer.BucketChanged{Bucket: name}); err != nil {
		n.cfg.Log.Debug("owner of the job bucket could not be notified", "Bucket", name, "Owner", m.ID, "Err", err)
	}
}

// Job returns a job as it is in the store. It blocks on the store and fails with ccjob.ErrNoJob, ccstore.ErrUnavailable
// or ccstore.ErrBadValue.
func (n *Node) Job(ctx context.Context, team, id string) (*ccjob.Job, error) {
	key := ccjob.Key(team, id)
	v, err := n.cfg.Store.Get(ctx, n.jobKey(n.bucketOf(key)))
	if err != nil {
		return nil, err
	}
	var stored ccjob.Bucket
	if err := ccstore.Decode(v, &stored); err != nil {
		return nil, err
	}
	j := stored.Jobs[key]
	if j == nil {
		return nil, errors.Wrapf(ccjob.ErrNoJob, "%q", id)
	}
	return j, nil
}

// CancelJob cancels a job. Once it returns without an error, the cancellation is in the store: no more tasks of the job
// are started, and its running tasks are stopped. CancelJob blocks on the store and fails with ccjob.ErrNoJob or the
// errors of the store.
func (n *Node) CancelJob(ctx context.Context, team, id string) (*ccjob.Job, error) {
	key := ccjob.Key(team, id)
	name := n.bucketOf(key)
	var out ccjob.Job
	err := n.jobs.Do(ctx, n.jobKey(name), func(b *ccjob.Bucket) error {
		j, err := b.Cancel(key, time.Now().UnixMilli())
		if err == nil {
			out = *j
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	n.notifyBucketOwner(name)
	return &out, nil
}
