package cchttp

import (
	"bytes"
	"net/http"

	"coriandercross/core/ccintake"

	"github.com/cockroachdb/errors"
)

// initialBodyBytes bounds the buffer that is allocated before any of a body has arrived. Ordinary bodies fit.
const initialBodyBytes = 16 << 10

// ReadBody reads the body of a request. It fails with ErrTooLarge for more than limit bytes, with ccintake.ErrNoRoom or
// ccintake.ErrBodyLate, and otherwise with ErrBadRequest.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	var data bytes.Buffer
	if n := min(r.ContentLength, limit, initialBodyBytes); n > 0 {
		data.Grow(int(n) + bytes.MinRead) // ReadFrom wants that much room beyond the last byte.
	}
	_, err := data.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errors.Wrapf(ErrTooLarge, "limit is %d bytes", limit)
	case errors.IsAny(err, ccintake.ErrNoRoom, ccintake.ErrBodyLate):
		return nil, err
	case err != nil:
		return nil, errors.Mark(errors.Wrap(err, "reading the body"), ErrBadRequest)
	}
	return data.Bytes(), nil
}
