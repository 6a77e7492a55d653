package cccontrol

import (
	"coriandercross/core/cccell"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters and histograms of a Process.
type Metrics struct {
	submitted   *prometheus.HistogramVec
	workerCalls *prometheus.HistogramVec
	decisions   *prometheus.CounterVec
	flushMs     prometheus.Histogram
	terms       prometheus.Counter
	// unstored is the number of jobs that run and are not stored yet.
	unstored prometheus.Gauge
	// jobBytes is what accepted jobs occupy at the leader beyond what ordinary ones do.
	jobBytes prometheus.Gauge
	// unrecorded is the number of registered workers that get no tasks because the roster does not have them.
	unrecorded prometheus.Gauge
	// adviceWaiting is the number of advice requests that no process is free for, and adviceCalls counts results.
	adviceWaiting prometheus.Gauge
	adviceCalls   *prometheus.CounterVec
	teams         *teamMetrics
	// unknownKeys counts requests refused for their key, and refusedConfigs documents that were not put in force.
	unknownKeys    *prometheus.CounterVec
	refusedConfigs prometheus.Counter
	teamSubmitted  *teamCounter
	// transfers, transferBytes and transferMs are of documents of the configuration, by source and outcome.
	transfers     *prometheus.CounterVec
	transferBytes *prometheus.CounterVec
	transferMs    *prometheus.HistogramVec
	// runTimeErrors has the factors by which predicted run times and estimates were off.
	runTimeErrors *prometheus.HistogramVec
	// slowness is how many times slower than normally this VM runs.
	slowness prometheus.Gauge
}

// latencyBuckets range from the duration of a call within a failure domain to a caller's longest timeout, in
// milliseconds.
var latencyBuckets = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 3000}

// errorBuckets range from an error that changes no decision to estimates off by more than ten.
var errorBuckets = []float64{1.1, 1.2, 1.35, 1.5, 1.75, 2, 3, 5, 10, 20}

// outcomeNames holds the metric labels of outcomes.
var outcomeNames = map[cccell.Outcome]string{cccell.Executed: "carried", cccell.Refused: "refused", cccell.Unsent: "unsent", cccell.ReplyLost: "lost"}

// NewMetrics returns new metrics, registered at reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		submitted: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coriandercross_submit_ms", Help: "Time to answer a hand-in.", Buckets: latencyBuckets,
		}, []string{"queue", "outcome"}),
		workerCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coriandercross_worker_call_ms", Help: "Time of calls to workers.", Buckets: latencyBuckets,
		}, []string{"call", "outcome"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_decisions_total", Help: "Decisions of the leader, by kind.",
		}, []string{"decision"}),
		flushMs: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coriandercross_note_ms", Help: "Time to write progress to the store.", Buckets: latencyBuckets,
		}),
		terms: prometheus.NewCounter(prometheus.CounterOpts{Name: "coriandercross_leads_total", Help: "Terms as the leader."}),
		unstored: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_unstored_jobs", Help: "Jobs that the leader runs and that are not in the store yet.",
		}),
		jobBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_job_bytes", Help: "Memory that accepted jobs occupy at the leader beyond what ordinary ones do.",
		}),
		unrecorded: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_unrecorded_workers", Help: "Registered workers that get no tasks before the roster in the store has them.",
		}),
		adviceWaiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_advice_waiting", Help: "Requests to the policy service that wait at the leader.",
		}),
		adviceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_advice_calls_total", Help: "Results of calls to the policy service.",
		}, []string{"outcome"}),
		teams: newTeamMetrics(),
		unknownKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_unknown_keys_total", Help: "Requests refused since their API key is missing or unknown.",
		}, []string{"queue"}),
		refusedConfigs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coriandercross_configs_refused_total", Help: "Configurations that are malformed and were not put in force.",
		}),
		teamSubmitted: &teamCounter{teams: map[string]bool{}, vec: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_team_submissions_total", Help: "Answers to hand-ins, by team.",
		}, []string{"team", "outcome"})},
		transfers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_config_transfers_total", Help: "Transfers of configuration documents.",
		}, []string{"source", "outcome"}),
		transferBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_config_transfer_bytes_total", Help: "Bytes received of configuration documents.",
		}, []string{"source", "outcome"}),
		transferMs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coriandercross_config_transfer_ms", Help: "Time of transfers of configuration documents.", Buckets: latencyBuckets,
		}, []string{"source"}),
		runTimeErrors: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coriandercross_run_time_error", Help: "Factors by which predicted run times and callers' estimates were off.", Buckets: errorBuckets,
		}, []string{"queue", "by"}),
		slowness: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_vm_slowness", Help: "How many times longer a fixed work takes than normally on this VM.",
		}),
	}
	reg.MustRegister(m.submitted, m.workerCalls, m.decisions, m.flushMs, m.terms, m.unstored, m.jobBytes, m.unrecorded, m.adviceWaiting, m.adviceCalls, m.runTimeErrors, m.slowness)
	reg.MustRegister(m.teams, m.unknownKeys, m.refusedConfigs, m.teamSubmitted.vec, m.transfers, m.transferBytes, m.transferMs)
	return m
}

// observeCall records the duration and the outcome of a call to a worker.
func (m *Metrics) observeCall(kind string, r cccell.Reply) {
	m.workerCalls.WithLabelValues(kind, outcomeNames[r.Outcome]).Observe(float64(r.Received - r.Sent))
}

// observeRunTime records the factors by which the prediction and the estimate of a run time were off.
func (m *Metrics) observeRunTime(queue string, predicted, estimated float64) {
	m.runTimeErrors.WithLabelValues(queue, "prediction").Observe(predicted)
	m.runTimeErrors.WithLabelValues(queue, "estimate").Observe(estimated)
}
