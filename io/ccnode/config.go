package ccnode

import (
	"context"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"
	"coriandercross/io/ccvmlist"
	"coriandercross/io/ccworker"

	"github.com/charmbracelet/log"
)

// Timing holds the spans that the process works with, in milliseconds.
type Timing struct {
	// GossipMs is the time between two rounds of gossip.
	GossipMs int64 `yaml:"GossipMs"`
	// SuspectMs is the silence after which a fellow no longer counts as alive.
	SuspectMs int64 `yaml:"SuspectMs"`
	// PromiseMs is how long an heir promises not to take over.
	PromiseMs int64 `yaml:"PromiseMs"`
	// WindowMs is how long a read of the shard record gives authority.
	WindowMs int64 `yaml:"WindowMs"`
	// DriftMs is the most by which two clocks differ over a promise or a window.
	DriftMs int64 `yaml:"DriftMs"`
	// FlightMs is the longest time that a start message may be under way.
	FlightMs int64 `yaml:"FlightMs"`
	// SyncMs is the time between two reads of a worker's task table.
	SyncMs int64 `yaml:"SyncMs"`
	// TaskLeaseMs is how long a task runs on without a renewal.
	TaskLeaseMs int64 `yaml:"TaskLeaseMs"`
	// VMListMs is the time between two reads of the VM list, and VMListLagMs its longest lag.
	VMListMs    int64 `yaml:"VMListMs"`
	VMListLagMs int64 `yaml:"VMListLagMs"`
	// JobRoundMs is the time between two rounds of a driver of jobs.
	JobRoundMs int64 `yaml:"JobRoundMs"`
	// JobReloadMs is the longest time between two reads of a bucket of jobs.
	JobReloadMs int64 `yaml:"JobReloadMs"`
	// DrainMs bounds a planned stop.
	DrainMs int64 `yaml:"DrainMs"`
	// StoreMs bounds a call to the store, WatchMs a watch.
	StoreMs int64 `yaml:"StoreMs"`
	WatchMs int64 `yaml:"WatchMs"`
	// CommitMs is the least time between two writes of one key by one process.
	CommitMs int64 `yaml:"CommitMs"`
}

// DefaultTiming returns the spans used where the settings say nothing.
func DefaultTiming() Timing {
	return Timing{
		GossipMs: 500, SuspectMs: 2_000, PromiseMs: 2_000, WindowMs: 1_500, DriftMs: 100,
		FlightMs: 500, SyncMs: 1_000, TaskLeaseMs: 6_000, VMListMs: 1_000, VMListLagMs: 10_000,
		JobRoundMs: 250, JobReloadMs: 10_000, DrainMs: 30_000, StoreMs: 1_000, WatchMs: 20_000,
		CommitMs: 50,
	}
}

// Limits bound what one process takes on.
type Limits struct {
	// MaxWaiting bounds the requests in the queue.
	MaxWaiting int `yaml:"MaxWaiting"`
	// MaxBodyKB bounds a request's body, MaxAnswerKB an answer.
	MaxBodyKB   int64 `yaml:"MaxBodyKB"`
	MaxAnswerKB int64 `yaml:"MaxAnswerKB"`
	// Fanout is the number of fellows in one round of gossip.
	Fanout int `yaml:"Fanout"`
	// JobBuckets is the number of buckets of jobs in a region. All processes must agree on it.
	JobBuckets int `yaml:"JobBuckets"`
	// IntentBuckets is the number of buckets of intents. All processes must agree on it.
	IntentBuckets int `yaml:"IntentBuckets"`
	// RetentionHours is how long ended jobs and intents are kept.
	RetentionHours int64 `yaml:"RetentionHours"`
	// CrossRegionMs is the price of leaving the region, as time.
	CrossRegionMs int64 `yaml:"CrossRegionMs"`
	// ReservePercent is the share of capacity kept for urgent work.
	ReservePercent int64 `yaml:"ReservePercent"`
	// QuarantinePercent bounds the share of workers in quarantine.
	QuarantinePercent int `yaml:"QuarantinePercent"`
	// QuarantineFailures in a row put a worker into quarantine.
	QuarantineFailures int `yaml:"QuarantineFailures"`
	// QuarantineMs is the first span of a quarantine.
	QuarantineMs int64 `yaml:"QuarantineMs"`
}

// DefaultLimits returns the limits used where the settings say nothing.
func DefaultLimits() Limits {
	return Limits{
		MaxWaiting: 5_000, MaxBodyKB: 1_024, MaxAnswerKB: 4_096, Fanout: 2, JobBuckets: 4,
		IntentBuckets: 16, RetentionHours: 24, CrossRegionMs: 40, ReservePercent: 10,
		QuarantinePercent: 20, QuarantineFailures: 5, QuarantineMs: 5_000,
	}
}

// Config sets up a Node.
type Config struct {
	VM            string
	Incarnation   int64
	Region        string
	FailureDomain string
	// PeerAddress is where fellows reach this process.
	PeerAddress string
	// Seeds are addresses of fellows, besides those that the VM list shows.
	Seeds   []string
	Timing  Timing
	Limits  Limits
	Routing ccroute.Policy
	Clock   ccclock.Clock
	Log     *log.Logger
	Metrics *Metrics

	Store   *ccstore.Client
	Workers WorkerClient
	VMs     VMLister
	Peers   PeerClient
}

// WorkerClient runs work on workers.
type WorkerClient interface {
	Run(ctx context.Context, p ccworker.Permit, in ccworker.Request, onStarted func()) ccwork.Result
	Start(ctx context.Context, p ccworker.Permit, tasks []ccworker.TaskSpec) (map[string]string, error)
	Sync(ctx context.Context, p ccworker.Permit, o ccworker.SyncOrders) ([]ccledger.Row, error)
	Forget(worker string)
}

// VMLister reads the list of VMs.
type VMLister interface {
	Read(ctx context.Context) (ccvmlist.List, error)
}

// PeerClient calls fellow processes.
type PeerClient interface {
	Gossip(ctx context.Context, address string, in *ccpeer.Gossip) (*ccpeer.Gossip, error)
	Run(ctx context.Context, address string, in *ccpeer.RunRequest) (*ccpeer.RunReply, error)
	Place(ctx context.Context, address string, in *ccpeer.PlaceRequest) (*ccpeer.PlaceReply, error)
	Report(ctx context.Context, address string, in *ccpeer.ReportRequest) (*ccpeer.ReportReply, error)
	Config(ctx context.Context, address string, in *ccpeer.ConfigRequest) (*ccpeer.ConfigReply, error)
	NotifyBucketChanged(ctx context.Context, address string, in *ccpeer.BucketChanged) error
}
