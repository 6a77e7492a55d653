package cchttp

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrTooMany reports a JSON array with more elements than there may be.
var ErrTooMany = errors.New("too many elements")

// DecodeArray decodes a JSON array of at most limit elements, which it hands to add one by one. It stops at the first
// error, so that an array of many small elements does not occupy many times its size. Unknown fields are errors if strict
// is set.
func DecodeArray[T any](data []byte, limit int, strict bool, add func(T)) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if strict {
		dec.DisallowUnknownFields()
	}
	open, err := dec.Token()
	if open == nil && err == nil {
		return nil // null
	}
	if err != nil || open != json.Delim('[') {
		return errors.Wrap(ErrBadRequest, "value is not an array")
	}
	for n := 0; dec.More(); n++ {
		if n == limit {
			return errors.Wrapf(ErrTooMany, "at most %d", limit)
		}
		var v T
		if err := dec.Decode(&v); err != nil {
			return err
		}
		add(v)
	}
	return nil
}
