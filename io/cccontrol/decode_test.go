package cccontrol

import (
	"testing"

	"coriandercross/core/cccell"

	"gotest.tools/v3/assert"
)

// Progress records of earlier releases have an entry for each done run, more than the decoder's default limit allows.
func TestProgressOfManyRunsIsDecoded(t *testing.T) {
	const runs = 150_000
	in := cccell.Progress{Runs: map[int]cccell.RunProgress{}}
	for n := range runs {
		in.Runs[n] = cccell.RunProgress{Done: true}
	}
	var out cccell.Progress
	assert.NilError(t, decode(prefixProgress+"j", encode(in), &out))
	assert.Equal(t, len(out.Runs), runs)
}
