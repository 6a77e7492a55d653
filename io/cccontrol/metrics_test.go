package cccontrol_test

import (
	"bytes"
	"os"
	"slices"
	"testing"

	"coriandercross/io/cccontrol"
	"coriandercross/io/ccharness"
	"coriandercross/io/ccserver"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// TestEveryMetricIsOnTheOperatorsPage checks that the operators' page lists every metric of the process on the
// platform, and no other.
func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	registered := ccharness.RegisteredMetrics(func(r prometheus.Registerer) { cccontrol.NewMetrics(r); ccserver.NewMetrics(r) })
	// These metrics are registered by the command, not by NewMetrics.
	registered = append(registered, "coriandercross_store_calls_total", "coriandercross_bad_registrations_total")
	slices.Sort(registered)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	page, _, found := bytes.Cut(page, []byte("# The product's own deployment"))
	assert.Assert(t, found)
	assert.DeepEqual(t, registered, ccharness.ListedMetrics(page))
}
