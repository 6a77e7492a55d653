package ccharness

import (
	"regexp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// nameCollector is a prometheus.Registerer that only collects the names of the metrics.
type nameCollector struct {
	list []string
}

var (
	// registeredName finds the name in prometheus.Desc.String: a Desc has no method that returns it.
	registeredName = regexp.MustCompile(`fqName: "([^"]+)"`)
	// documentedName finds a metric's name in a documentation page, where it stands in backquotes.
	documentedName = regexp.MustCompile("`(coriandercross_[a-z_]+)`")
)

// Register implements prometheus.Registerer.
func (n *nameCollector) Register(c prometheus.Collector) error {
	ch := make(chan *prometheus.Desc, 8)
	c.Describe(ch)
	close(ch)
	for d := range ch {
		n.list = append(n.list, registeredName.FindStringSubmatch(d.String())[1])
	}
	return nil
}

// MustRegister implements prometheus.Registerer.
func (n *nameCollector) MustRegister(cs ...prometheus.Collector) {
	for _, c := range cs {
		_ = n.Register(c)
	}
}

// Unregister implements prometheus.Registerer.
func (n *nameCollector) Unregister(prometheus.Collector) bool { return false }

// RegisteredMetrics returns the sorted names of the metrics that the function register registers.
func RegisteredMetrics(register func(prometheus.Registerer)) []string {
	var n nameCollector
	register(&n)
	slices.Sort(n.list)
	return n.list
}

// ListedMetrics returns the sorted names of the metrics that a documentation page names, each once.
func ListedMetrics(page []byte) []string {
	var out []string
	for _, m := range documentedName.FindAllSubmatch(page, -1) {
		out = append(out, string(m[1]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
