package ccnode_test

import (
	"bytes"
	"os"
	"testing"

	"coriandercross/io/ccharness"
	"coriandercross/io/ccnode"
	"coriandercross/io/ccserver"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// TestEveryMetricIsOnTheOperatorsPage checks that docs/OPERATIONS.md lists exactly the metrics that a process of the
// product's own deployment registers.
func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, page, found := bytes.Cut(page, []byte("# The product's own deployment"))
	assert.Assert(t, found)
	assert.DeepEqual(t, ccharness.RegisteredMetrics(func(r prometheus.Registerer) { ccnode.NewMetrics(r); ccserver.NewMetrics(r) }), ccharness.ListedMetrics(page))
}
