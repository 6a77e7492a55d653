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

// Timing holds the intervals and time limits of a process, in milliseconds.
type Timing struct {
	// GossipMs is the interval between two rounds of gossip.
	GossipMs int64 `yaml:"GossipMs"`
	// SuspectMs is the silence after which a peer no longer counts as alive.
	SuspectMs int64 `yaml:"SuspectMs"`
	// PromiseMs is how long a grant lasts, during which the successor does not take the shard over from its owner.
	PromiseMs int64 `yaml:"PromiseMs"`
	// WindowMs is how long a read of the shard record gives the owner authority, counted from when the read was sent.
	WindowMs int64 `yaml:"WindowMs"`
	// DriftMs bounds how far two clocks may drift apart over the longer of PromiseMs and WindowMs.
	DriftMs int64 `yaml:"DriftMs"`
	// FlightMs bounds how long a start message may take to reach a worker.
	FlightMs int64 `yaml:"FlightMs"`
	// SyncMs is the interval at which the task table of a worker is read. A worker without tasks is read less often.
	SyncMs int64 `yaml:"SyncMs"`
	// TaskLeaseMs is how long a task keeps running when its lease is not renewed.
	TaskLeaseMs int64 `yaml:"TaskLeaseMs"`
	// VMListMs is the interval between two reads of the VM list. VMListLagMs bounds how far the list lags behind the
	// platform.
	VMListMs    int64 `yaml:"VMListMs"`
	VMListLagMs int64 `yaml:"VMListLagMs"`
	// JobRoundMs is the interval between two rounds of a job driver.
	JobRoundMs int64 `yaml:"JobRoundMs"`
	// JobReloadMs is the longest time between two reads of a job bucket from the store.
	JobReloadMs int64 `yaml:"JobReloadMs"`
	// DrainMs bounds the duration of a planned stop.
	DrainMs int64 `yaml:"DrainMs"`
	// StoreMs bounds a call to the store, and WatchMs a watch on one of its keys.
	StoreMs int64 `yaml:"StoreMs"`
	WatchMs int64 `yaml:"WatchMs"`
	// CommitMs is the least time between two writes of one key by one process.
	CommitMs int64 `yaml:"CommitMs"`
}

// DefaultTiming returns the values used where the settings give none.
func DefaultTiming() Timing {
	return Timing{
		GossipMs: 500, SuspectMs: 2_000, PromiseMs: 2_000, WindowMs: 1_500, DriftMs: 100,
		FlightMs: 500, SyncMs: 1_000, TaskLeaseMs: 6_000, VMListMs: 1_000, VMListLagMs: 10_000,
		JobRoundMs: 250, JobReloadMs: 10_000, DrainMs: 30_000, StoreMs: 1_000, WatchMs: 20_000,
		CommitMs: 50,
	}
}

// Limits holds the sizes, shares and other bounds that apply to one process.
type Limits struct {
	// MaxWaiting bounds the number of requests in the queue.
	MaxWaiting int `yaml:"MaxWaiting"`
	// MaxBodyKB bounds the body of a request, and MaxAnswerKB the answer of a worker.
	MaxBodyKB   int64 `yaml:"MaxBodyKB"`
	MaxAnswerKB int64 `yaml:"MaxAnswerKB"`
	// RequestMemoryMB bounds the memory that connections and requests in progress occupy, MaxConnections the connections of
	// callers. With 0, RequestMemoryMB is a quarter of the machine's memory.
	RequestMemoryMB int64 `yaml:"RequestMemoryMB"`
	MaxConnections  int   `yaml:"MaxConnections"`
	// Fanout is the number of peers that one round of gossip is sent to.
	Fanout int `yaml:"Fanout"`
	// JobBuckets is the number of job buckets in a region. It must be the same at all processes.
	JobBuckets int `yaml:"JobBuckets"`
	// IntentBuckets is the number of buckets that intents are spread over. It must be the same at all processes.
	IntentBuckets int `yaml:"IntentBuckets"`
	// RetentionHours is how long ended jobs and intents are kept in the store.
	RetentionHours int64 `yaml:"RetentionHours"`
	// CrossRegionMs is the penalty that routing adds to the estimated wait at an owner in another region.
	CrossRegionMs int64 `yaml:"CrossRegionMs"`
	// ReservePercent is the share of capacity that tasks of jobs may not use, unless their placement is marked as
	// urgent.
	ReservePercent int64 `yaml:"ReservePercent"`
	// QuarantinePercent bounds the share of workers that are in quarantine at one time.
	QuarantinePercent int `yaml:"QuarantinePercent"`
	// QuarantineFailures is the number of consecutive failures after which a worker is put into quarantine.
	QuarantineFailures int `yaml:"QuarantineFailures"`
	// QuarantineMs is the duration of a worker's first quarantine. It doubles with each one that follows, up to a
	// limit.
	QuarantineMs int64 `yaml:"QuarantineMs"`
}

// DefaultLimits returns the values used where the settings give none.
func DefaultLimits() Limits {
	return Limits{
		MaxWaiting: 5_000, MaxBodyKB: 1_024, MaxAnswerKB: 4_096, MaxConnections: 6_000, Fanout: 2, JobBuckets: 4,
		IntentBuckets: 16, RetentionHours: 24, CrossRegionMs: 40, ReservePercent: 10,
		QuarantinePercent: 20, QuarantineFailures: 5, QuarantineMs: 5_000,
	}
}

// Config configures a Node.
type Config struct {
	VM string
	// Incarnation orders the processes that have run on the VM: it is higher than that of every earlier one.
	Incarnation   int64
	Region        string
	FailureDomain string
	// PeerAddress is the address at which peers reach this process.
	PeerAddress string
	// Seeds are addresses of peers, in addition to the entry VMs of the VM list.
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

// WorkerClient calls workers; ccworker.Client implements it.
type WorkerClient interface {
	Run(ctx context.Context, p ccworker.Permit, in ccworker.Request, onStarted func()) ccwork.Result
	Start(ctx context.Context, p ccworker.Permit, tasks []ccworker.TaskSpec) (map[string]string, error)
	Sync(ctx context.Context, p ccworker.Permit, o ccworker.SyncOrders) ([]ccledger.Row, error)
	Forget(worker string)
}

// VMLister reads the VM list; ccvmlist.Client implements it.
type VMLister interface {
	Read(ctx context.Context) (ccvmlist.List, error)
}

// PeerClient calls peer processes by their address.
type PeerClient interface {
	Gossip(ctx context.Context, address string, in *ccpeer.Gossip) (*ccpeer.Gossip, error)
	Run(ctx context.Context, address string, in *ccpeer.RunRequest) (*ccpeer.RunReply, error)
	Place(ctx context.Context, address string, in *ccpeer.PlaceRequest) (*ccpeer.PlaceReply, error)
	Report(ctx context.Context, address string, in *ccpeer.ReportRequest) (*ccpeer.ReportReply, error)
	Config(ctx context.Context, address string, in *ccpeer.ConfigRequest) (*ccpeer.ConfigReply, error)
	NotifyBucketChanged(ctx context.Context, address string, in *ccpeer.BucketChanged) error
}
