package cccontrol

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// A document of the configuration may have 1 MB, for which a narrow link needs a second or more, and the store sends it to
// each process that watches. So a process whose watch begins to return a large document leaves the rest of it at the store
// for a time that grows with the time that the rest would take, and asks its peers meanwhile. Those with the fastest way to
// the store read first, and the others get it from a peer, compressed. If no peer has it in time, the process reads on.
// A process receives from one source at a time, as long as that makes progress, and a transfer fails only when nothing
// arrives any more.

const (
	// maxHoldMs is the longest time for which a process leaves a document at the store.
	maxHoldMs = ms(600)
	// holdAskIntervalMs is the interval between questions to peers while a document is held or read. A round asks
	// holdAskNear peers of the own region and holdAskFar others.
	holdAskIntervalMs       = ms(100)
	holdAskNear, holdAskFar = 2, 1
	// maxPauseMs is the time from the begin of a document from which it is read beside a fetch from a peer, so that fetches
	// which fail one after the other don't keep the process from reading it.
	maxPauseMs = ms(2000)
	// holdPollMs is the interval at which a held document looks whether it was fetched.
	holdPollMs = ms(10)
	// farFetchDelayMs bounds the random delay before a document is fetched from another region, so that the processes of a
	// region get it from each other.
	farFetchDelayMs = ms(300)
	// measuredBytes is the size from which the rate of a transfer is measured.
	measuredBytes = 64 << 10
	// defaultBytesPerMs is the rate expected before the first measurement if the speed of the link is not known.
	defaultBytesPerMs = 1250
)

// reception is the reception of a response of the store that may have a document. Its methods are called from one
// goroutine.
type reception struct {
	p *Process
	// ctx is that of the process, for fetches that outlast the reception.
	ctx context.Context
	// version is the version in force when the call began.
	version int64
	// beganAt is the time of the first call of gate, 0 before. heldMs is the part of the time since that was spent in gate.
	beganAt, heldMs ms
	// received is the number of bytes received, and admitted that at the end of the first call of gate.
	received, admitted int64
	askedAt            ms
	holdMs             ms
}

// gate implements ReplyGate: it returns ErrDeclined once a peer has sent a version newer than that in force before.
func (r *reception) gate(ctx context.Context, received, size int64) error {
	p, enteredAt := r.p, r.p.now()
	first := r.beganAt == 0
	if first {
		r.beganAt = enteredAt
		r.holdMs = p.holdTime(max(size, received))
	}
	r.received = received
	for now := enteredAt; ; now = p.now() {
		if p.configVersion() > r.version {
			return ErrDeclined
		}
		if !p.fetchingConfig.Load() || now-r.beganAt >= maxPauseMs {
			if r.askedAt == 0 || now-r.askedAt >= holdAskIntervalMs {
				r.askedAt = now
				p.askNearby(r.ctx)
			}
			if now-r.beganAt >= r.holdMs {
				r.heldMs += now - enteredAt
				if first {
					r.admitted = received
				}
				p.configReads.succeeded(now) // The store answers.
				return nil
			}
		}
		if !sleep(ctx, holdPollMs) {
			return context.Cause(ctx)
		}
	}
}

// end records the end of the call, with its error.
func (r *reception) end(err error) {
	if r.beganAt == 0 {
		return // There was no large document.
	}
	took := r.p.now() - r.beganAt
	if n := r.received - r.admitted; r.admitted > 0 && n >= measuredBytes {
		r.p.documentRate.Store(max(n/int64(max(took-r.heldMs, 1)), 1))
	}
	outcome := transferOutcome(err)
	if errors.Is(err, ErrDeclined) {
		outcome = transferDeclined
	}
	r.p.recordTransfer("store", outcome, int(r.received), took)
}

// holdTime returns the time for which a document of some size is left at the store: none without peers, else between half
// the time that it would take and the whole, up to maxHoldMs.
func (p *Process) holdTime(size int64) ms {
	if len(p.otherMembers()) == 0 {
		return 0
	}
	rate := float64(p.documentRate.Load())
	if rate == 0 {
		rate = p.cfg.LinkBytesPerMs
	}
	if rate == 0 {
		rate = defaultBytesPerMs
	}
	return ms(min(float64(size)/rate, float64(maxHoldMs)) * (1 + rand.Float64()) / 2)
}

// askNearby asks some peers for a newer version, most of them of the own region.
func (p *Process) askNearby(ctx context.Context) {
	list := p.otherMembers()
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	near, far := holdAskNear, holdAskFar
	for _, m := range list {
		left := &near
		if m.Region != p.cfg.Region {
			left = &far
		}
		if *left > 0 {
			*left--
			go p.askForConfig(ctx, m)
		}
	}
}

// maxDocumentBytes is the largest size of a document. The store holds smaller ones only.
const maxDocumentBytes = 16 << 20

// errDocumentTooLarge reports a document above maxDocumentBytes.
var errDocumentTooLarge = errors.New("document is too large")

// deflate compresses a document.
func deflate(raw []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // Only for a level that does not exist.
	}
	_, _ = w.Write(raw) // A write to a buffer does not fail.
	_ = w.Close()
	return out.Bytes()
}

// inflate returns the document that deflate has compressed. It fails with errDocumentTooLarge, or if data is malformed.
func inflate(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decompressing a document")
	case len(out) > maxDocumentBytes:
		return nil, errDocumentTooLarge
	}
	return out, nil
}

// Outcomes of a transfer of a document, for the metrics and the log.
const (
	transferDone    = "done"
	transferAborted = "aborted"
	// transferDeclined is the outcome of a transfer from the store that was left for one from a peer.
	transferDeclined = "declined"
)

// transferOutcome returns the outcome of a transfer that ended with err.
func transferOutcome(err error) string {
	if err != nil {
		return transferAborted
	}
	return transferDone
}

// largeTransferBytes is the size from which transfers of documents are logged.
const largeTransferBytes = 16 << 10

// recordTransfer records the end of a transfer of size bytes.
func (p *Process) recordTransfer(source, outcome string, size int, took ms) {
	p.cfg.Metrics.transfers.WithLabelValues(source, outcome).Inc()
	p.cfg.Metrics.transferBytes.WithLabelValues(source, outcome).Add(float64(size))
	p.cfg.Metrics.transferMs.WithLabelValues(source).Observe(float64(took))
	if size >= largeTransferBytes || outcome != transferDone {
		p.cfg.Log.Info("configuration transferred", "Source", source, "Outcome", outcome, "Bytes", size, "TookMs", took, "InForce", p.configVersion())
	}
}
