package cccontrol

import (
	"context"
	"crypto/sha256"
	"sync"

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
	// configPollMs is the interval at which AwaitConfiguration looks for a configuration.
	configPollMs ms = 20
)

// activeConfig is a configuration in force.
type activeConfig struct {
	config *cccell.Configuration
	// raw is the document as the operators wrote it, for peers. deflated returns it as CellConfigReply.Deflated has it.
	raw      []byte
	deflated func() []byte
	// revision is that of the document in the store.
	revision int64
	// keys are the keys of the teams, nil if the configuration has no teams.
	keys *cckey.Table
}

// watchConfig puts each new configuration in force that the store has. See spread.go for the time in which the store
// can't be read.
func (p *Process) watchConfig(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		var raw []byte
		var rev int64
		var err error
		r := &reception{p: p, ctx: ctx, version: p.configVersion()}
		gated := WithReplyGate(ctx, r.gate)
		if after == 0 {
			raw, rev, err = p.cfg.ConfigSource.Read(gated)
		} else {
			raw, rev, err = p.cfg.ConfigSource.Watch(gated, after, configWatchTimeoutMs)
		}
		r.end(err)
		switch {
		case errors.Is(err, ErrDeclined):
			p.configReads.succeeded(p.now())
			after = max(after, p.config.Load().revision)
			continue
		case errors.Is(err, ErrNoKey):
			p.configReads.succeeded(p.now())
			sleep(ctx, configRetryDelayMs)
			continue
		case errors.Is(err, ErrCompacted):
			after = 0
			continue
		case err != nil:
			p.configReads.failed()
			sleep(ctx, jitter(configRetryDelayMs))
			continue
		}
		p.configReads.succeeded(p.now())
		after = max(after, rev)
		if raw != nil {
			p.activate(raw, rev, "store")
		}
	}
}

// AwaitConfiguration blocks until a configuration is in force, for timeout at most.
func (p *Process) AwaitConfiguration(ctx context.Context, timeout ms) {
	for began := p.now(); p.config.Load() == nil && p.now()-began < timeout; {
		if !sleep(ctx, configPollMs) {
			return
		}
	}
}

// requestConfig asks a peer for a newer configuration, or only for its version, and puts the document in force if the
// reply has one. It returns the version of the peer, 0 if it is not newer or not known.
func (p *Process) requestConfig(ctx context.Context, address string, versionOnly bool) int64 {
	in := &ccpeer.CellConfigRequest{KnownVersion: p.configVersion(), VersionOnly: versionOnly, Deflate: true}
	began := p.now()
	out, err := p.cfg.Peers.CellConfig(ctx, address, in)
	raw, size := []byte(nil), 0
	if err == nil {
		raw, size = out.Raw, len(out.Raw)+len(out.Deflated)
		if len(out.Deflated) > 0 {
			raw, err = inflate(out.Deflated)
		}
	}
	if size > 0 || err != nil && !versionOnly {
		p.recordTransfer("fellow", transferOutcome(err), size, p.now()-began) // "fellow" is the name of a peer in the log.
	}
	if err != nil {
		p.cfg.Log.Debug("configuration not fetched from a peer", "Peer", address, "Error", err)
		return 0
	}
	if len(raw) > 0 {
		p.activate(raw, out.Revision, "fellow")
	}
	return out.Version
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
	next := &activeConfig{config: c, raw: raw, revision: revision, keys: keys, deflated: sync.OnceValue(func() []byte { return deflate(raw) })}
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
	p.cfg.Metrics.refusedConfigs.Inc()
	p.cfg.Log.Error("configuration refused", "Revision", revision, "Source", source, "InForce", p.configVersion(), "Error", err)
}

// CellConfig implements ccpeer.CellHandler: it returns the configuration in force, if it is newer than that of the
// peer.
func (p *Process) CellConfig(_ context.Context, in *ccpeer.CellConfigRequest) (*ccpeer.CellConfigReply, error) {
	c := p.config.Load()
	if c == nil || c.config.Version <= in.KnownVersion {
		return &ccpeer.CellConfigReply{}, nil
	}
	out := &ccpeer.CellConfigReply{Revision: c.revision, Version: c.config.Version}
	switch {
	case in.VersionOnly:
	case in.Deflate:
		out.Deflated = c.deflated()
	default:
		out.Raw = c.raw
	}
	return out, nil
}
