package cccontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// numberSource is a ConfigSource whose documents are one byte, the version. The first read returns version 1; then fail
// blocks and returns the result of each watch.
type numberSource struct {
	fail func(ctx context.Context, wait ms) error
}

func (s *numberSource) Read(context.Context) ([]byte, int64, error) {
	return []byte{1}, 1, nil
}

func (s *numberSource) Watch(ctx context.Context, _ int64, wait ms) ([]byte, int64, error) {
	return nil, 0, s.fail(ctx, wait)
}

func (s *numberSource) Decode(raw []byte) (*cccell.Configuration, error) {
	return &cccell.Configuration{Version: int64(raw[0])}, nil
}

// versionPeer answers the question for the configuration with a version, 0 for none that is newer, after a delay.
type versionPeer struct {
	ccpeer.CellHandler
	version byte
	delay   ms
	// earlier is true for a peer of an earlier release, which knows no questions for the version only.
	earlier bool
	// asked counts all questions, sent the documents.
	asked, sent atomic.Int64
}

func (v *versionPeer) CellConfig(ctx context.Context, in *ccpeer.CellConfigRequest) (*ccpeer.CellConfigReply, error) {
	v.asked.Add(1)
	if !sleep(ctx, v.delay) {
		return nil, ctx.Err()
	}
	if int64(v.version) <= in.KnownVersion {
		return &ccpeer.CellConfigReply{}, nil
	}
	if in.VersionOnly && !v.earlier {
		return &ccpeer.CellConfigReply{Revision: 2, Version: int64(v.version)}, nil
	}
	v.sent.Add(1)
	return &ccpeer.CellConfigReply{Raw: []byte{v.version}, Revision: 2}, nil
}

// servePeer serves a peer on the loopback interface and returns its address.
func servePeer(t *testing.T, h ccpeer.CellHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = ccpeer.ServeCell(ctx, l, h) }() // It returns when ctx ends.
	return l.Addr().String()
}

// TestOnePeerKnowsTheVersion checks that a process which the store turns away finds the only one of 44 peers that has the
// new version, within the platform's bound of 4 s, without any leader: the peers were turned away as well, or don't
// reply, or refuse the connection. The process reads the store until the version is written.
func TestOnePeerKnowsTheVersion(t *testing.T) {
	refuse := func(context.Context, ms) error { return ccstore.ErrUnavailable }
	silence := func(ctx context.Context, wait ms) error {
		sleep(ctx, wait+700) // The timeout of the platform's store client.
		return ccstore.ErrInDoubt
	}
	stale := &versionPeer{version: 1}
	tests := map[string]struct {
		fail  func(context.Context, ms) error
		other ccpeer.CellHandler // nil if the other peers refuse the connection.
		// earlier is true if the peer that knows the version is of an earlier release.
		earlier bool
	}{
		"StoreRefuses":       {refuse, stale, false},
		"StoreSilent":        {silence, stale, false},
		"PeersSilent":        {refuse, &versionPeer{delay: 60_000}, false},
		"AllSilent":          {silence, &versionPeer{delay: 60_000}, false},
		"PeersGone":          {refuse, nil, false},
		"PeersGoneAndSilent": {silence, nil, false},
		"EarlierRelease":     {refuse, stale, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const peers, bound = 44, 4 * time.Second
			p := newFollower(t, nil)
			p.cfg.ConfigSource = &numberSource{fail: test.fail}
			other := "127.0.0.1:1"
			if test.other != nil {
				other = servePeer(t, test.other)
			}
			knows := rand.IntN(peers)
			for i := range peers {
				vm, address := fmt.Sprintf("vm-%d", i), other
				if i == knows {
					address = servePeer(t, &versionPeer{version: 2, earlier: test.earlier})
				}
				p.members[vm] = member{VM: vm, Address: address}
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go p.watchConfig(ctx)
			go p.spreadConfig(ctx)
			written := time.Now() // Before the first read returns version 1.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.configVersion() == 2 {
					return poll.Success()
				}
				return poll.Continue("version %d is in force", p.configVersion())
			}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(bound))
			t.Logf("in force after %s", time.Since(written).Round(time.Millisecond))
		})
	}
}

// TestLeaderHearsOfVersion checks that a process fetches a newer version at once from the peer that calls it with one,
// one at a time, and again after a failure.
func TestLeaderHearsOfVersion(t *testing.T) {
	tests := map[string]struct {
		known, version int64
		delay          ms
		asked          int64
	}{
		"Newer":     {1, 2, 0, 1},
		"First":     {0, 2, 0, 1},
		"Slow":      {1, 2, 200, 1},
		"Same":      {2, 2, 0, 0},
		"Older":     {3, 2, 0, 0},
		"NotListed": {1, 2, -1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, nil)
			p.cfg.ConfigSource = &numberSource{}
			peer := &versionPeer{version: 2, delay: max(test.delay, 0)}
			if test.delay >= 0 {
				p.members["vm-1"] = member{VM: "vm-1", Address: servePeer(t, peer)}
			}
			if test.known > 0 {
				p.activate([]byte{byte(test.known)}, 1, "test")
			}
			for range 5 {
				_, err := p.Sync(context.Background(), &ccpeer.SyncRequest{VM: "vm-1", Version: test.version})
				assert.NilError(t, err)
			}
			time.Sleep((max(test.delay, 0) + 200).Duration())
			assert.Equal(t, peer.asked.Load(), test.asked)
			want := max(test.known, 2)
			if test.delay < 0 {
				want = test.known
			}
			assert.Equal(t, p.configVersion(), want)
		})
	}
	t.Run("AfterFailure", func(t *testing.T) {
		p := newFollower(t, nil)
		p.cfg.ConfigSource = &numberSource{}
		p.members["vm-1"] = member{VM: "vm-1", Address: "127.0.0.1:1"}
		in := &ccpeer.SyncRequest{VM: "vm-1", Version: 2}
		_, err := p.Sync(context.Background(), in)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		p.members["vm-1"] = member{VM: "vm-1", Address: servePeer(t, &versionPeer{version: 2})}
		p.mu.Unlock()
		_, err = p.Sync(context.Background(), in)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, p.configVersion(), int64(2))
	})
}

// TestDocumentIsFetchedOnce checks that a document, which may be large, is not sent by all peers that have it. Load: the
// store turns a third of the processes away while many routes are added; the links between regions are slow and priced.
func TestDocumentIsFetchedOnce(t *testing.T) {
	p := newFollower(t, nil)
	p.cfg.ConfigSource = &numberSource{fail: func(context.Context, ms) error { return ccstore.ErrUnavailable }}
	peer := &versionPeer{version: 2, delay: 20}
	address := servePeer(t, peer)
	for i := range 44 {
		vm := fmt.Sprintf("vm-%d", i)
		p.members[vm] = member{VM: vm, Address: address}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	go p.watchConfig(ctx)
	p.spreadConfig(ctx)
	assert.Equal(t, p.configVersion(), int64(2))
	assert.Assert(t, peer.asked.Load() > 4)
	assert.Equal(t, peer.sent.Load(), int64(1))
}

// TestHealthyProcessAsksNobody checks that a process which reads the store does not ask its peers.
func TestHealthyProcessAsksNobody(t *testing.T) {
	p := newFollower(t, nil)
	p.cfg.ConfigSource = &numberSource{fail: func(ctx context.Context, wait ms) error {
		sleep(ctx, wait+240) // A slow store takes 240 ms for its reply.
		return nil
	}}
	peer := &versionPeer{version: 2}
	p.members["vm-1"] = member{VM: "vm-1", Address: servePeer(t, peer)}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	go p.spreadConfig(ctx)
	p.watchConfig(ctx)
	assert.Equal(t, peer.asked.Load(), int64(0))
}
