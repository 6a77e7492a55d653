package cccontrol

import (
	"context"

	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"

	"github.com/cockroachdb/errors"
)

const (
	// configWatchTimeoutMs is how long a watch of the configuration waits. It bounds the time to notice a connection that went
	// silent, within the few seconds in which a change has to be in force.
	configWatchTimeoutMs ms = 1000
	// configRetryDelayMs is the pause after a watch that failed.
	configRetryDelayMs ms = 200
)

// activeConfig is the configuration in force.
type activeConfig struct {
	config *cccell.Configuration
	// raw is the document as the operators wrote it, for fellows that can't reach the store.
	raw      []byte
	revision int64
}

// watchConfig keeps the newest configuration in force.
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

// fetchConfigFromPeers fetches the configuration from another process while the store can't be reached.
func (p *Process) fetchConfigFromPeers(ctx context.Context) {
	for i, address := range p.peerAddresses() {
		if i == 2 || p.fetchConfig(ctx, address) {
			return
		}
	}
}

// fetchConfig fetches the configuration of another process. It returns false when that did not answer.
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
		p.activate(out.Raw, out.Revision, "fellow")
	}
	return true
}

// activate puts a configuration in force, unless it is older than the present one or malformed.
func (p *Process) activate(raw []byte, revision int64, source string) {
	c, err := p.cfg.ConfigSource.Decode(raw)
	if err != nil {
		p.cfg.Log.Error("configuration not read", "Revision", revision, "Source", source, "Error", err)
		return
	}
	next := &activeConfig{config: c, raw: raw, revision: revision}
	for {
		old := p.config.Load()
		if old != nil && old.config.Version >= c.Version {
			return
		}
		if p.config.CompareAndSwap(old, next) {
			p.cfg.Log.Info("configuration in force", "Version", c.Version, "Routes", len(c.Routes), "Revision", revision, "Source", source)
			return
		}
	}
}

// CellConfig implements ccpeer.CellHandler: it hands on the configuration in force.
func (p *Process) CellConfig(_ context.Context, in *ccpeer.CellConfigRequest) (*ccpeer.CellConfigReply, error) {
	c := p.config.Load()
	if c == nil || c.config.Version <= in.KnownVersion {
		return &ccpeer.CellConfigReply{}, nil
	}
	return &ccpeer.CellConfigReply{Raw: c.raw, Revision: c.revision}, nil
}
