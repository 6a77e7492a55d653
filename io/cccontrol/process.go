package cccontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/io/cclog"
	"coriandercross/io/ccpeer"

	"github.com/charmbracelet/log"
)

// Config sets up a Process.
type Config struct {
	VM     string
	Region string
	// Address is where fellows reach this process; Seeds are those of some others.
	Address string
	Seeds   []string
	// Cores is the processor that the process has, in cores.
	Cores float64
	// StartMs is the Unix time of the start in milliseconds.
	StartMs int64

	Clock ccclock.Clock
	Log   *log.Logger
	// Sampler bounds the lines of each kind of decision; nil writes all.
	Sampler       *cclog.Sampler
	Metrics       *Metrics
	Store         *MonitoredStore
	Directory     Directory
	ConfigSource  ConfigSource
	Workers       Workers
	PolicyService PolicyService
	Peers         *ccpeer.Client

	// LeaseMs is the length of a lease at a worker.
	LeaseMs      ms
	RemoteFactor float64
	// FinalRetentionMs is how long the final state of a job is told.
	FinalRetentionMs ms
}

// Process is the process of an entry VM. Its methods may be called from any goroutine.
type Process struct {
	cfg        Config
	stateCache *stateCache
	submitter  *submitter
	notifier   *notifier

	mu      sync.Mutex
	members map[string]member
	leader  leaderRecord
	// leaderReplyAt is when the leader last answered.
	leaderReplyAt ms
	// heartbeatMs is the leader's heartbeat, as it told last, 0 before.
	heartbeatMs ms
	// leaderSince is when this process learned of the leader.
	leaderSince ms
	leadership  *leadership
	// leaderChanged is closed, and replaced, when the leader changes.
	leaderChanged chan struct{}

	config atomic.Pointer[activeConfig]
	// storeCheckedAt is when this process last checked the store on behalf of a leader that does not reach it.
	storeCheckedAt atomic.Int64
	// loadingToken is the token of a term that this process has won and is still reading the store for, 0 for none.
	loadingToken atomic.Int64
	draining     atomic.Bool
	done         sync.WaitGroup
}

// New returns a process; Serve makes it work.
func New(cfg Config) *Process {
	p := &Process{cfg: cfg, stateCache: newStateCache(), members: map[string]member{}, leaderChanged: make(chan struct{})}
	p.submitter = newSubmitter(p)
	p.notifier = newNotifier(p)
	return p
}

// Serve works until ctx ends.
func (p *Process) Serve(ctx context.Context) {
	for _, loop := range []func(context.Context){p.watchConfig, p.maintainMembership, p.follow, p.notifier.run} {
		p.done.Add(1)
		go func() {
			defer p.done.Done()
			loop(ctx)
		}()
	}
	p.done.Wait()
}

// Drain begins a planned stop: the process takes no lead any more, and asks another one to take over.
func (p *Process) Drain() {
	p.draining.Store(true)
	if l := p.leading(); l != nil {
		l.resign()
	}
}

// Ready reports whether the process can answer callers.
func (p *Process) Ready() bool {
	return !p.draining.Load() && p.config.Load() != nil && !p.isolated()
}

// SetSeeds changes the addresses of fellows that are asked while none are listed.
func (p *Process) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Seeds = seeds
}

// now returns the present time.
func (p *Process) now() ms {
	return p.cfg.Clock.Now()
}

// unixNow returns the time of day in milliseconds. It jumps; only scheduled runs and records for people use it.
func unixNow() ms {
	return ms(time.Now().UnixMilli())
}

// leading returns the leadership of this process, nil when it does not lead.
func (p *Process) leading() *leadership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leadership
}

// currentLeader returns the leader that this process believes in, and when it was last heard.
func (p *Process) currentLeader() (leaderRecord, ms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader, p.leaderReplyAt
}

// extraHeartbeat returns how much longer than the shortest the leader's heartbeat is.
func (p *Process) extraHeartbeat() ms {
	p.mu.Lock()
	defer p.mu.Unlock()
	return extraHeartbeatMs(p.heartbeatMs)
}

// observeLeader takes in a record of the leader. An older one is ignored.
func (p *Process) observeLeader(r leaderRecord, source string) {
	p.mu.Lock()
	old := p.leader
	newer := r.Token > old.Token
	if newer {
		p.leader = r
		p.leaderReplyAt, p.heartbeatMs, p.leaderSince = 0, 0, p.now()
		close(p.leaderChanged)
		p.leaderChanged = make(chan struct{})
	}
	l := p.leadership
	p.mu.Unlock()
	if !newer {
		return
	}
	p.notifier.resendRecent()
	p.cfg.Log.Info("leader changed", "Leader", r.VM, "Token", r.Token, "Before", old.Token, "Source", source)
	if l != nil && l.token < r.Token {
		l.end("a newer leader is recorded")
	}
}

// sleep waits, and returns false when ctx has ended.
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

// Dump is the state of the process for people.
type Dump struct {
	VM         string
	Leader     string
	Token      int64
	Leading    bool
	HeardMs    int64
	StoreAgeMs int64
	Version    int64
	Draining   bool
	Members    []string
	Jobs       map[cccell.State]int
	Cell       *cccell.Summary `json:",omitempty"`
}

// Dump returns the state of the process.
func (p *Process) Dump() Dump {
	leader, heard := p.currentLeader()
	d := Dump{
		VM: p.cfg.VM, Leader: leader.VM, Token: leader.Token, HeardMs: int64(p.now() - heard), StoreAgeMs: p.cfg.Store.AgeMs(),
		Draining: p.draining.Load(), Jobs: map[cccell.State]int{},
	}
	if c := p.config.Load(); c != nil {
		d.Version = c.config.Version
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
