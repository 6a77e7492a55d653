package cccontrol

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccintake"
	"coriandercross/core/ccquorum"
	"coriandercross/io/cclog"
	"coriandercross/io/ccpeer"

	"github.com/charmbracelet/log"
)

// Config sets up a Process.
type Config struct {
	VM     string
	Region string
	// Address is the IP and port at which peers reach this process.
	Address string
	// Seeds are the addresses of some peers, used while the membership, as read from the store, lists no other process.
	Seeds []string
	// Cores is the processor time available to the process, in cores.
	Cores float64
	// LinkBytesPerMs is the speed of the VM's link in bytes per millisecond, 0 if it is not known.
	LinkBytesPerMs float64
	// StartMs is the Unix time at which the process started, in milliseconds.
	StartMs int64

	Clock ccclock.Clock
	Log   *log.Logger
	// JobMemory is the memory for accepted jobs that are large and for runs of scheduled ones, in bytes; 0 for no bound.
	JobMemory int64
	// Sampler limits the rate of log lines for each kind of decision; with nil, every decision is logged.
	Sampler       *cclog.Sampler
	Metrics       *Metrics
	Store         *MonitoredStore
	Directory     Directory
	ConfigSource  ConfigSource
	Workers       Workers
	PolicyService PolicyService
	Peers         *ccpeer.Client

	// LeaseMs is the duration of the leases that this process, as leader, grants to workers.
	LeaseMs ms
	// MaxLeaseMs is the length to which workers shorten a lease.
	MaxLeaseMs ms
	// RemoteFactor is how many times longer a task takes on a worker away from its data.
	RemoteFactor float64
	// FinalRetentionMs is how long the final state of a job stays in memory. The store retains it for longer.
	FinalRetentionMs ms
	// LearnRunTimes is true if the process, as leader, learns run times from finished runs and uses them in place of the
	// callers' estimates.
	LearnRunTimes bool
	// StoreBeforeStart is true if no task starts before its job is stored, also while the store is slow or silent.
	StoreBeforeStart bool
}

// Process runs on an entry VM, a VM that accepts the requests of callers. Its methods may be called from any goroutine.
type Process struct {
	cfg        Config
	stateCache *stateCache
	submitter  *submitter
	notifier   *notifier

	// mu protects the fields up to leaderChanged, and cfg.Seeds.
	mu sync.Mutex
	// members holds the membership as last read from the store, by VM.
	members map[string]member
	// leader is the leader record with the highest token seen so far.
	leader leaderRecord
	// leaderReplyAt is the time of the leader's last reply to this process, 0 for none.
	leaderReplyAt ms
	// heartbeatMs is the heartbeat interval from the leader's last reply, 0 before the first reply.
	heartbeatMs ms
	// receivedMs is SentMs of the last reply of the leader, 0 for none.
	receivedMs int64
	// leaderSince is when this process learned of the present leader.
	leaderSince ms
	// leadership is the term of this process as leader, nil while it does not lead.
	leadership *leadership
	// leaderChanged is closed, and replaced by a new channel, when leader changes.
	leaderChanged chan struct{}

	// config is the configuration in force, nil for none.
	config atomic.Pointer[activeConfig]
	// configReads tells whether the store answers reads of the configuration. fetchingConfig is true while a newer version
	// is fetched from a peer that is known to have it.
	configReads    configReads
	fetchingConfig atomic.Bool
	// documentRate is the rate at which the last large document came from the store, in bytes per millisecond, 0 for none.
	documentRate atomic.Int64
	// refusedConfig is the digest of the last configuration that was refused, nil for none.
	refusedConfig atomic.Pointer[[sha256.Size]byte]
	// storeCheckedAt is when probeStore last read from the store.
	storeCheckedAt atomic.Int64
	// loadingToken is the token of a term that this process has won and is still loading state from the store for, 0
	// for none.
	loadingToken atomic.Int64
	draining     atomic.Bool
	soleLeader   soleLeader
	// runsUnstored is whether the leader that this process followed last, or was, runs jobs that are not stored.
	runsUnstored atomic.Bool
	// handedOver is the token of the last term of this process that ended because it was slow and chose a successor, 0 for
	// none.
	handedOver atomic.Int64
	succession succession
	jobRoom    jobRoom
	done       sync.WaitGroup
}

// New returns a process. Its background loops run only during Serve.
func New(cfg Config) *Process {
	p := &Process{cfg: cfg, stateCache: newStateCache(), members: map[string]member{}, leaderChanged: make(chan struct{})}
	p.submitter = newSubmitter(p)
	p.notifier = newNotifier(p)
	p.jobRoom.jobs = ccintake.NewJobs(cfg.JobMemory)
	return p
}

// Serve runs the background loops of the process and blocks until ctx ends.
func (p *Process) Serve(ctx context.Context) {
	for _, loop := range []func(context.Context){p.watchConfig, p.spreadConfig, p.maintainMembership, p.follow, p.notifier.run} {
		p.done.Add(1)
		go func() {
			defer p.done.Done()
			loop(ctx)
		}()
	}
	p.done.Wait()
}

// Drain begins a planned stop: the process no longer stands for election and, if it is the leader, asks its peers to
// take over.
func (p *Process) Drain() {
	p.draining.Store(true)
	if l := p.leading(); l != nil {
		l.resign()
	}
}

// Ready reports whether the process can serve callers: it has a configuration, is not draining, and reaches the store
// or the leader.
func (p *Process) Ready() bool {
	return !p.draining.Load() && p.config.Load() != nil && !p.isolated()
}

// SetSeeds replaces Config.Seeds.
func (p *Process) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Seeds = seeds
}

// SetJobMemory replaces Config.JobMemory. A leader bounds runs by the value at the start of its term.
func (p *Process) SetJobMemory(bytes int64) {
	p.jobRoom.setOwn(bytes)
}

func (p *Process) now() ms {
	return p.cfg.Clock.Now()
}

// unixNow returns the wall-clock time in Unix milliseconds. Unlike Process.now it can jump, so it is used only for
// scheduled runs and for timestamps in records that people read.
func unixNow() ms {
	return ms(time.Now().UnixMilli())
}

// leading returns the leadership of this process, nil when it does not lead.
func (p *Process) leading() *leadership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leadership
}

// currentLeader returns the newest leader record known to this process, and the time of that leader's last reply.
func (p *Process) currentLeader() (leaderRecord, ms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader, p.leaderReplyAt
}

// receivedFrom returns SentMs of the last reply of the leader with the given token, 0 if there was none or this process
// follows another leader.
func (p *Process) receivedFrom(token int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader.Token != token {
		return 0
	}
	return p.receivedMs
}

// voter returns the identity of this process in votes.
func (p *Process) voter() ccquorum.Voter {
	return ccquorum.Voter{VM: p.cfg.VM, StartMs: p.cfg.StartMs}
}

// extraHeartbeat returns by how much the leader's heartbeat interval exceeds minHeartbeatMs.
func (p *Process) extraHeartbeat() ms {
	p.mu.Lock()
	defer p.mu.Unlock()
	return extraHeartbeatMs(p.heartbeatMs)
}

// observeLeader stores a leader record if its token is higher than that of the known leader. Recently accepted jobs are
// then sent to the new leader again, and a term of this process with a lower token ends. source names where the record
// was read, for the log.
func (p *Process) observeLeader(r leaderRecord, source string) {
	p.mu.Lock()
	old := p.leader
	newer := r.Token > old.Token
	if newer {
		p.leader = r
		p.leaderReplyAt, p.heartbeatMs, p.receivedMs, p.leaderSince = 0, 0, 0, p.now()
		close(p.leaderChanged)
		p.leaderChanged = make(chan struct{})
	}
	l := p.leadership
	p.mu.Unlock()
	if !newer {
		return
	}
	p.succession.began(&r, p.now())
	p.notifier.resendRecent()
	p.cfg.Log.Info("leader changed", "Leader", r.VM, "Token", r.Token, "Before", old.Token, "Source", source)
	if l != nil && l.token < r.Token {
		l.end("a leader record with a higher token was found")
	}
}

// sleep blocks for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d ms) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Dump is a snapshot of the state of the process, for operators.
type Dump struct {
	VM      string
	Leader  string
	Token   int64
	Leading bool
	// HeardMs is the time since the leader's last reply to this process. Without a reply, it is the time on the clock
	// of the process.
	HeardMs int64
	// StoreAgeMs is the time since the last successful call to the store.
	StoreAgeMs int64
	// Version is the version of the configuration in force, 0 for none.
	Version  int64
	Draining bool
	Members  []string
	Jobs     map[cccell.State]int
	Cell     *cccell.Summary `json:",omitempty"`
}

// Dump returns a snapshot of the state of the process.
func (p *Process) Dump() Dump {
	leader, replyAt := p.currentLeader()
	d := Dump{
		VM: p.cfg.VM, Leader: leader.VM, Token: leader.Token, HeardMs: int64(p.now() - replyAt), StoreAgeMs: p.cfg.Store.AgeMs(),
		Draining: p.draining.Load(), Jobs: map[cccell.State]int{}, Version: p.configVersion(),
	}
	p.mu.Lock()
	for _, m := range p.members {
		d.Members = append(d.Members, m.VM)
	}
	p.mu.Unlock()
	p.stateCache.mu.Lock()
	for _, s := range p.stateCache.states {
		d.Jobs[s]++
	}
	p.stateCache.mu.Unlock()
	if l := p.leading(); l != nil {
		d.Leading = true
		d.Cell = l.summary()
	}
	return d
}
