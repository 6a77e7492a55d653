package ccharness

import (
	"regexp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// names is a registerer that only collects the names of what is registered.
type names struct {
	list []string
}

var (
	fqName     = regexp.MustCompile(`fqName: "([^"]+)"`)
	metricText = regexp.MustCompile("`(coriandercross_[a-z_]+)`")
)

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

// RegisteredMetrics returns the names of the metrics that a function registers, in order.
func RegisteredMetrics(register func(prometheus.Registerer)) []string {
	var n names
	register(&n)
	slices.Sort(n.list)
	return n.list
}

// ListedMetrics returns the names of the metrics that a page names, in order, each once.
func ListedMetrics(page []byte) []string {
	var out []string
	for _, m := range metricText.FindAllSubmatch(page, -1) {
		out = append(out, string(m[1]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
