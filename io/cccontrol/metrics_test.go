package cccontrol_test

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"testing"

	"coriandercross/io/cccontrol"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// names collects the names of what is registered.
type names struct {
	list []string
}

var fqName = regexp.MustCompile(`fqName: "([^"]+)"`)

// Register implements prometheus.Registerer.
func (n *names) Register(c prometheus.Collector) error {
	ch := make(chan *prometheus.Desc, 8)
	c.Describe(ch)
	close(ch)
	for d := range ch {
		n.list = append(n.list, fqName.FindStringSubmatch(d.String())[1])
	}
	return nil
}

// MustRegister implements prometheus.Registerer.
func (n *names) MustRegister(cs ...prometheus.Collector) {
	for _, c := range cs {
		_ = n.Register(c)
	}
}

// Unregister implements prometheus.Registerer.
func (n *names) Unregister(prometheus.Collector) bool { return false }

// The operators' page lists every metric of the process on the platform, and no other.
func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	// The store's calls are counted where the process is put together.
	n := names{list: []string{"coriandercross_store_calls_total"}}
	cccontrol.NewMetrics(&n)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	page, _, found := bytes.Cut(page, []byte("# The product's own deployment"))
	assert.Assert(t, found)
	var listed []string
	for _, m := range regexp.MustCompile("`(coriandercross_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	slices.Sort(n.list)
	slices.Sort(listed)
	assert.DeepEqual(t, n.list, slices.Compact(listed))
}
