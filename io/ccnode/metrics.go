package ccnode

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the Prometheus metrics of one process. The name of a measured quantity ends in its unit.
type Metrics struct {
	requests         *prometheus.CounterVec
	requestSeconds   *prometheus.HistogramVec
	waitSeconds      *prometheus.HistogramVec
	retries          *prometheus.CounterVec
	preemptions      *prometheus.CounterVec
	crossRegionBytes *prometheus.CounterVec
	jobsAccepted     *prometheus.CounterVec
	storeCalls       *prometheus.CounterVec
	controlBytes     *prometheus.CounterVec
	configRevision   prometheus.Gauge
	waiting          prometheus.Gauge
	workers          prometheus.Gauge
	slots            prometheus.Gauge
	freeSlots        prometheus.Gauge
	shards           prometheus.Gauge
	members          prometheus.Gauge
}

const namespace = "coriandercross"

// waitBuckets are the bucket bounds of the histograms, in seconds. They range from the fastest start to beyond the
// start deadline of urgent work.
var waitBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2.3, 5, 10, 30}

// NewMetrics creates the metrics of a process and registers them.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		reg.MustRegister(v)
		return v
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
		reg.MustRegister(g)
		return g
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: waitBuckets}, labels)
		reg.MustRegister(v)
		return v
	}
	return &Metrics{
		requests:         counter("requests_total", "Requests by outcome.", "team", "kind", "outcome", "reason"),
		requestSeconds:   histogram("request_seconds", "Time from arrival to answer.", "team", "kind"),
		waitSeconds:      histogram("wait_seconds", "Time in the owner's queue.", "team", "kind"),
		retries:          counter("retries_total", "Second and later tries.", "team"),
		preemptions:      counter("preemptions_total", "Tasks stopped to make room for requests, by the team of the task.", "team"),
		crossRegionBytes: counter("cross_region_bytes_total", "Bytes of bodies sent to another region.", "team"),
		jobsAccepted:     counter("jobs_accepted_total", "Jobs accepted.", "team", "kind"),
		storeCalls:       counter("store_calls_total", "Calls to the store by kind and success.", "call", "ok"),
		controlBytes:     counter("control_bytes_total", "Bytes of control to and from peers.", "peer"),
		configRevision:   gauge("config_revision", "Revision of the configuration in force."),
		waiting:          gauge("waiting_requests", "Requests in the queue."),
		workers:          gauge("owned_workers", "Workers owned."),
		slots:            gauge("usable_slots", "Slots of the usable workers owned."),
		freeSlots:        gauge("free_slots", "Free slots of the usable workers owned."),
		shards:           gauge("owned_shards", "Shards whose record names this process."),
		members:          gauge("living_members", "Living processes known, this one included."),
	}
}

// observeRequest counts a finished request.
func (m *Metrics) observeRequest(team, kind string, r ccwork.Result, took ccclock.Millis) {
	m.requests.WithLabelValues(team, kind, string(r.Outcome), r.Reason).Inc()
	m.requestSeconds.WithLabelValues(team, kind).Observe(took.Duration().Seconds())
}

// StoreCall counts a call to the store. It can be used as the callback in ccstore.Config.
func (m *Metrics) StoreCall(kind string, err error) {
	ok := "true"
	if err != nil {
		ok = "false"
	}
	m.storeCalls.WithLabelValues(kind, ok).Inc()
}

// ControlBytes returns a function that counts the bytes of control traffic with one type of peer, such as workers.
func (m *Metrics) ControlBytes(peer string) func(n int) {
	c := m.controlBytes.WithLabelValues(peer)
	return func(n int) { c.Add(float64(n)) }
}

// observeMetrics sets the gauges. It must run in the control loop.
func (n *Node) observeMetrics(now ccclock.Millis) {
	capacity := n.state.pool.Capacity(now)
	m := n.cfg.Metrics
	m.waiting.Set(float64(n.state.queue.Len()))
	m.workers.Set(float64(len(n.state.pool.Workers())))
	m.slots.Set(float64(capacity.Total.Slots))
	m.freeSlots.Set(float64(capacity.Free.Slots))
	m.shards.Set(float64(len(n.state.shards.Owned())))
	m.members.Set(float64(len(n.state.members.Alive(now)) + 1))
}
