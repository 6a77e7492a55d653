package cccontrol

import (
	"context"
	"crypto/sha256"

	"coriandercross/core/cccell"
	"coriandercross/core/cckey"
	"coriandercross/io/ccpeer"

	"github.com/cockroachdb/errors"
)

const (
	// configWatchTimeoutMs is the timeout of a watch of the configuration. It bounds the time until a dead connection
	// is noticed, since a change has to be in force within a few seconds.
	configWatchTimeoutMs ms = 1000
	// configRetryDelayMs is the delay after a failed watch.
	configRetryDelayMs ms = 200
)

// activeConfig is a configuration in force.
type activeConfig struct {
	config *cccell.Configuration
	// raw is the document as the operators wrote it, for peers that can't reach the store.
	raw []byte
	// revision is that of the document in the store.
	revision int64
	// keys are the keys of the teams, nil if the configuration has no teams.
	keys *cckey.Table
}

// watchConfig puts each new configuration in force. It reads the store, or peers while the store can't be reached.
func (p *Process) watchConfig(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		var raw []byte
		var rev int64
		var err error
		if after == 0 {
			if raw, rev, err = p.cfg.ConfigSource.Read(ctx); errors.Is(err, ErrNoKey) {
				sleep(ctx, configRetryDelayMs)
				continue
			}
		} else {
			raw, rev, err = p.cfg.ConfigSource.Watch(ctx, after, configWatchTimeoutMs)
		}
		if errors.Is(err, ErrCompacted) {
			after = 0
			continue
		}
		if err != nil {
			p.fetchConfigFromPeers(ctx)
			sleep(ctx, jitter(configRetryDelayMs))
			continue
		}
		after = max(after, rev)
		if raw != nil {
			p.activate(raw, rev, "store")
		}
	}
}

// fetchConfigFromPeers fetches the configuration from the first of two peers that replies.
func (p *Process) fetchConfigFromPeers(ctx context.Context) {
	for i, address := range p.peerAddresses() {
		if i == 2 || p.fetchConfig(ctx, address) {
			return
		}
	}
}

// fetchConfig fetches the configuration of a peer and puts it in force if it is newer. It returns false if the call
// failed.
func (p *Process) fetchConfig(ctx context.Context, address string) bool {
	in := &ccpeer.CellConfigRequest{}
	if c := p.config.Load(); c != nil {
		in.KnownVersion = c.config.Version
	}
	out, err := p.cfg.Peers.CellConfig(ctx, address, in)
	if err != nil {
		return false
	}
	if len(out.Raw) > 0 {
		p.activate(out.Raw, out.Revision, "fellow") // "fellow" is the name of a peer in the log.
	}
	return true
}

// activate puts a configuration in force, unless it is malformed or not newer than the present one. source names where
// it was read, for the log.
func (p *Process) activate(raw []byte, revision int64, source string) {
	c, err := p.cfg.ConfigSource.Decode(raw)
	var keys *cckey.Table
	if err == nil {
		keys, err = c.KeyTable()
	}
	if err != nil {
		p.refuseConfig(raw, revision, source, err)
		return
	}
	next := &activeConfig{config: c, raw: raw, revision: revision, keys: keys}
	for {
		old := p.config.Load()
		if old != nil && old.config.Version >= c.Version {
			return
		}
		if p.config.CompareAndSwap(old, next) {
			p.cfg.Log.Info("configuration in force", "Version", c.Version, "Routes", len(c.Routes), "Teams", len(c.Teams), "Revision", revision, "Source", source)
			return
		}
	}
}

// refuseConfig records that a document is malformed, so that the version before stays in force. The same document is
// read again and again, from the store and from peers, but recorded once.
func (p *Process) refuseConfig(raw []byte, revision int64, source string, err error) {
	digest := sha256.Sum256(raw)
	if last := p.refusedConfig.Swap(&digest); last != nil && *last == digest {
		return
	}
	var version int64
	if c := p.config.Load(); c != nil {
		version = c.config.Version
	}
	p.cfg.Metrics.refusedConfigs.Inc()
	p.cfg.Log.Error("configuration refused", "Revision", revision, "Source", source, "InForce", version, "Error", err)
}

// CellConfig implements ccpeer.CellHandler: it returns the configuration in force, if it is newer than that of the
// peer.
func (p *Process) CellConfig(_ context.Context, in *ccpeer.CellConfigRequest) (*ccpeer.CellConfigReply, error) {
	c := p.config.Load()
	if c == nil || c.config.Version <= in.KnownVersion {
		return &ccpeer.CellConfigReply{}, nil
	}
	return &ccpeer.CellConfigReply{Raw: c.raw, Revision: c.revision}, nil
}
