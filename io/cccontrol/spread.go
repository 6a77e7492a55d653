package cccontrol

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
)

// A configuration has to be in force everywhere within a few seconds (four on the platform), also at processes that the
// store turns away, by errors or by silence, while it serves others. A process whose reads of the configuration fail asks
// its peers, all of them in turn, whoever leads; besides, the leader and its followers tell each other their versions
// with each Sync call.

const (
	// configAskIntervalMs is the interval between rounds of questions to peers. configAskPeers is the number of peers asked
	// in a round, configAskPeersFirst that until all were asked once: a version may have been written since the last read.
	// If only one of 45 processes knows the new version, all others have asked it after 1.8 s the first time, and each
	// 3.3 s from then on, and each process that learns of it is another to learn from.
	configAskIntervalMs = ms(250)
	configAskPeers      = 4
	configAskPeersFirst = 8
	// configAskTimeoutMs is the timeout of a question. A round does not wait for the one before it.
	configAskTimeoutMs = ms(600)
	// configFetchTimeoutMs bounds the transfer of a document that makes progress. One that makes none fails after
	// ccpeer.ClientConfig.ControlTimeout.
	configFetchTimeoutMs = ms(10_000)
	// configStaleMs is the time since the last read of the configuration from which a process asks its peers: the longest
	// watch, and the time that a slow store needs for its reply, twice. A store that is silent shows by nothing else.
	configStaleMs = configWatchTimeoutMs + 400
)

// configReads tells whether the store answers reads of the configuration. Methods may be called from any goroutine.
type configReads struct {
	// lastAt is the time of the last read that succeeded, 0 for none. failing is true after one that failed.
	lastAt  atomic.Int64
	failing atomic.Bool
}

func (r *configReads) succeeded(now ms) {
	r.lastAt.Store(int64(now))
	r.failing.Store(false)
}

func (r *configReads) failed() {
	r.failing.Store(true)
}

// stale reports whether the store may have a newer configuration than the process has read from it.
func (r *configReads) stale(now ms) bool {
	return r.failing.Load() || now-ms(r.lastAt.Load()) > configStaleMs
}

// spreadConfig asks peers for a newer configuration while the store does not answer reads of it.
func (p *Process) spreadConfig(ctx context.Context) {
	var left []member // Peers that were not asked yet, in random order.
	asking, perRound := false, 0
	for sleep(ctx, jitter(configAskIntervalMs)) {
		stale := p.configReads.stale(p.now())
		if stale != asking {
			asking, perRound = stale, configAskPeersFirst
			p.cfg.Log.Info("peers are asked for the configuration", "Asked", asking, "Version", p.configVersion())
		}
		if !stale {
			left = nil
			continue
		}
		if len(left) == 0 {
			left = p.otherMembers()
			rand.Shuffle(len(left), func(a, b int) { left[a], left[b] = left[b], left[a] })
		}
		n := min(perRound, len(left))
		for _, m := range left[:n] {
			go p.askForConfig(ctx, m)
		}
		if left = left[n:]; len(left) == 0 {
			perRound = configAskPeers
		}
	}
}

// askForConfig asks a peer for its version, within configAskTimeoutMs, and fetches the document if it is newer. A document
// may be large, and many peers may have it.
func (p *Process) askForConfig(ctx context.Context, peer member) {
	question, cancel := context.WithTimeout(ctx, configAskTimeoutMs.Duration())
	defer cancel()
	p.fetchNewer(ctx, peer, p.requestConfig(question, peer.Address, true))
}

// fetchNewer fetches the configuration of a peer that has a version, if it is newer and none is being fetched. It waits up
// to farFetchDelayMs before it fetches from another region.
func (p *Process) fetchNewer(ctx context.Context, peer member, version int64) {
	if version <= p.configVersion() || p.fetchingConfig.Load() {
		return
	}
	if peer.Region != "" && peer.Region != p.cfg.Region && !sleep(ctx, ms(rand.Float64()*float64(farFetchDelayMs))) {
		return
	}
	if version <= p.configVersion() || !p.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer p.fetchingConfig.Store(false)
	if version > p.configVersion() { // Else it was fetched just now.
		ctx, cancel := context.WithTimeout(ctx, configFetchTimeoutMs.Duration())
		defer cancel()
		p.requestConfig(ctx, peer.Address, false)
	}
}

// hearVersion fetches the configuration of a peer that has called this process, if the peer has a newer version. After a
// failure, the peer's next call repeats it.
func (p *Process) hearVersion(vm string, version int64) {
	if version <= p.configVersion() || p.fetchingConfig.Load() {
		return
	}
	p.mu.Lock()
	peer := p.members[vm]
	p.mu.Unlock()
	if peer.Address == "" {
		return
	}
	go p.fetchNewer(context.Background(), peer, version)
}

// configVersion returns the version of the configuration in force, 0 for none.
func (p *Process) configVersion() int64 {
	if c := p.config.Load(); c != nil {
		return c.config.Version
	}
	return 0
}
