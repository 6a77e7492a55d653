package cccontrol

import (
	"coriandercross/core/cccell"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters and histograms of the process.
type Metrics struct {
	submitted *prometheus.HistogramVec
	calls     *prometheus.HistogramVec
	decisions *prometheus.CounterVec
	noteMs    prometheus.Histogram
	leads     prometheus.Counter
}

// latencyBuckets reach from a call within a failure domain to a caller's whole patience, in milliseconds.
var latencyBuckets = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 3000}

// outcomeNames name outcomes in metrics.
var outcomeNames = map[cccell.Outcome]string{cccell.Executed: "carried", cccell.Refused: "refused", cccell.Unsent: "unsent", cccell.ReplyLost: "lost"}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		submitted: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coriandercross_submit_ms", Help: "Time to answer a hand-in.", Buckets: latencyBuckets,
		}, []string{"queue", "outcome"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coriandercross_worker_call_ms", Help: "Time of calls to workers.", Buckets: latencyBuckets,
		}, []string{"call", "outcome"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_decisions_total", Help: "Decisions of the leader, by kind.",
		}, []string{"decision"}),
		noteMs: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coriandercross_note_ms", Help: "Time to write progress to the store.", Buckets: latencyBuckets,
		}),
		leads: prometheus.NewCounter(prometheus.CounterOpts{Name: "coriandercross_leads_total", Help: "Terms as the leader."}),
	}
	reg.MustRegister(m.submitted, m.calls, m.decisions, m.noteMs, m.leads)
	return m
}

// call takes in a call to a worker.
func (m *Metrics) call(kind string, r cccell.Reply) {
	m.calls.WithLabelValues(kind, outcomeNames[r.Outcome]).Observe(float64(r.Received - r.Sent))
}
