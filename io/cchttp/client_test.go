package cchttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestCallWithoutResponse checks that a call counts as not sent only if there was no connection. Formerly a call that
// timed out did as well, so that submit and apply reported that nothing had been done.
func TestCallWithoutResponse(t *testing.T) {
	tests := map[string]struct {
		// serve handles each connection; nil means that nothing listens.
		serve func(c net.Conn)
		want  error
	}{
		"NothingListens": {nil, ErrUnreachable},
		"NoResponse":     {func(net.Conn) {}, ErrInDoubt},
		"ClosedAfterRequest": {func(c net.Conn) {
			_, _ = io.ReadAtLeast(c, make([]byte, 1000), 1)
			_ = c.Close()
		}, ErrInDoubt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			if test.serve == nil {
				assert.NilError(t, l.Close())
			} else {
				defer func() { _ = l.Close() }()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go test.serve(c)
					}
				}()
			}
			client := Client{Address: l.Addr().String(), Timeout: 200 * time.Millisecond}
			_, err = client.CallRaw(http.MethodPost, "/", struct{}{})
			for _, e := range []error{ErrUnreachable, ErrInDoubt} {
				assert.Equal(t, errors.Is(err, e), errors.Is(test.want, e), "%v", err)
			}
		})
	}
}
