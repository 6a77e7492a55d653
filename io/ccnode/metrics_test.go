package ccnode

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// names is a registerer that keeps the names of what is registered.
type names struct {
	list []string
}

var fqName = regexp.MustCompile(`fqName: "([^"]+)"`)

func (n *names) Register(c prometheus.Collector) error {
	ch := make(chan *prometheus.Desc, 8)
	c.Describe(ch)
	close(ch)
	for d := range ch {
		n.list = append(n.list, fqName.FindStringSubmatch(d.String())[1])
	}
	return nil
}

func (n *names) MustRegister(cs ...prometheus.Collector) {
	for _, c := range cs {
		_ = n.Register(c)
	}
}

func (n *names) Unregister(prometheus.Collector) bool { return false }

func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	var n names
	NewMetrics(&n)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	// The page's first part is of the process on the platform; io/cccontrol has the like test for it.
	_, page, found := bytes.Cut(page, []byte("# The product's own deployment"))
	assert.Assert(t, found)
	var listed []string
	for _, m := range regexp.MustCompile("`(coriandercross_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	slices.Sort(n.list)
	slices.Sort(listed)
	assert.DeepEqual(t, n.list, slices.Compact(listed))
}
