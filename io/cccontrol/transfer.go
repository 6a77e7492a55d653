package cccontrol

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// A document of the configuration may have 1 MB, for which a narrow link needs a second or more. Peers send it compressed,
// and a transfer fails only when nothing arrives any more.

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
