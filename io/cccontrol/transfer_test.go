package cccontrol

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"coriandercross/io/ccpeer"

	"gotest.tools/v3/assert"
)

// earlierPeer replies as a process of an earlier release does, which knows no compressed documents.
type earlierPeer struct {
	*Process
}

func (p earlierPeer) CellConfig(ctx context.Context, in *ccpeer.CellConfigRequest) (*ccpeer.CellConfigReply, error) {
	return p.Process.CellConfig(ctx, &ccpeer.CellConfigRequest{KnownVersion: in.KnownVersion, VersionOnly: in.VersionOnly})
}

// TestDocumentTravelsCompressed checks that processes of this release send each other documents compressed, and that one
// of an earlier release is understood and gets the document as it was written.
func TestDocumentTravelsCompressed(t *testing.T) {
	document := append([]byte{2}, bytes.Repeat([]byte("route"), 100_000)...)
	for name, earlier := range map[string]bool{"Same": false, "Earlier": true} {
		t.Run(name, func(t *testing.T) {
			has, p := newFollower(t, nil), newFollower(t, nil)
			has.cfg.ConfigSource, p.cfg.ConfigSource = &numberSource{}, &numberSource{}
			has.activate(document, 7, "test")
			var peer ccpeer.CellHandler = has
			if earlier {
				peer = earlierPeer{has}
			}
			p.fetchNewer(context.Background(), member{Address: servePeer(t, peer)}, 2)
			assert.DeepEqual(t, p.config.Load().raw, document)
			assert.Equal(t, p.config.Load().revision, int64(7))
			out, err := peer.CellConfig(context.Background(), &ccpeer.CellConfigRequest{Deflate: true})
			assert.NilError(t, err)
			assert.Equal(t, len(out.Raw) > 0, earlier)
			assert.Assert(t, earlier || len(out.Deflated) < len(document)/10)
		})
	}
	t.Run("Malformed", func(t *testing.T) {
		_, err := inflate([]byte("not compressed"))
		assert.Assert(t, err != nil)
		_, err = inflate(deflate(make([]byte, maxDocumentBytes+1)))
		assert.ErrorIs(t, err, errDocumentTooLarge)
	})
}

// TestTransferThatStallsIsGivenUp checks that a peer which accepts the connection and sends nothing does not keep a process
// from fetching the document elsewhere.
func TestTransferThatStallsIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	p := newFollower(t, nil)
	p.cfg.ConfigSource = &numberSource{}
	began := time.Now()
	p.fetchNewer(context.Background(), member{Address: l.Addr().String()}, 2)
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
	p.fetchNewer(context.Background(), member{Address: servePeer(t, &versionPeer{version: 2})}, 2)
	assert.Equal(t, p.configVersion(), int64(2))
}

// TestDocumentIsHeldForBoundedTime checks that a document is held while peers may send it and while one does, that fetches
// which fail again and again don't hold it for good, and that it is given up once a newer version is in force.
func TestDocumentIsHeldForBoundedTime(t *testing.T) {
	const size = 1_000_000 // At defaultBytesPerMs, the hold is cut to maxHoldMs.
	tests := map[string]struct {
		peers    bool
		fetching ms // For how long a fetch runs, -1 for ever.
		// inForceAfter is the time after which a newer version is in force, -1 for never.
		inForceAfter ms
		least, most  ms
		want         error
	}{
		"NoPeers":          {false, 0, -1, 0, 100, nil},
		"PeersWithout":     {true, 0, -1, maxHoldMs / 2, maxHoldMs + 100, nil},
		"FetchRuns":        {true, 1000, -1, 1000, 1000 + maxHoldMs, nil},
		"FetchesFail":      {true, -1, -1, maxPauseMs, maxPauseMs + 200, nil},
		"InForceAtOnce":    {true, 0, 0, 0, 100, ErrDeclined},
		"InForceByAFetch":  {true, -1, 200, 200, 400, ErrDeclined},
		"InForceNoPeers":   {false, 0, 0, 0, 100, ErrDeclined},
		"InForceWhileHeld": {true, 0, 100, 100, 300, ErrDeclined},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newFollower(t, nil)
			p.cfg.ConfigSource = &numberSource{}
			if test.peers {
				p.members["vm-1"] = member{VM: "vm-1", Region: "r", Address: "127.0.0.1:1"}
			}
			p.activate([]byte{1}, 1, "test")
			r := &reception{p: p, ctx: context.Background(), version: p.configVersion()}
			p.fetchingConfig.Store(test.fetching != 0)
			if test.fetching > 0 {
				time.AfterFunc(test.fetching.Duration(), func() { p.fetchingConfig.Store(false) })
			}
			if test.inForceAfter >= 0 {
				time.AfterFunc(test.inForceAfter.Duration(), func() { p.activate([]byte{2}, 2, "test") })
				if test.inForceAfter == 0 {
					p.activate([]byte{2}, 2, "test")
				}
			}
			began := p.now()
			err := r.gate(context.Background(), replyBegun, size)
			assert.ErrorIs(t, err, test.want)
			took := p.now() - began
			assert.Assert(t, took >= test.least-10 && took <= test.most, "held for %d ms", took)
		})
	}
}

// replyBegun is the number of bytes received at the first call of a gate.
const replyBegun = 16 << 10
