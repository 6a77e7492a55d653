package cccontrol

import (
	"sort"

	"coriandercross/core/cccell"
	"coriandercross/core/ccfair"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters and histograms of a Process.
type Metrics struct {
	submitted   *prometheus.HistogramVec
	workerCalls *prometheus.HistogramVec
	decisions   *prometheus.CounterVec
	flushMs     prometheus.Histogram
	terms       prometheus.Counter
	// adviceWaiting is the number of advice requests that no process is free for, and adviceCalls counts results.
	adviceWaiting prometheus.Gauge
	adviceCalls   *prometheus.CounterVec
	// teamShares, teamCores, teamWaiting and teamExcess are from ccfair.Summary, at the leader only.
	teamShares, teamCores, teamWaiting, teamExcess *prometheus.GaugeVec
}

// latencyBuckets range from the duration of a call within a failure domain to a caller's longest timeout, in
// milliseconds.
var latencyBuckets = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 3000}

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
		adviceWaiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_advice_waiting", Help: "Requests to the policy service that wait at the leader.",
		}),
		adviceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_advice_calls_total", Help: "Results of calls to the policy service.",
		}, []string{"outcome"}),
	}
	team := func(name, help string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "coriandercross_team_" + name, Help: help}, []string{"team"})
		reg.MustRegister(g)
		return g
	}
	m.teamShares = team("shares", "How many times its share a team has, at the leader.")
	m.teamCores = team("cores", "Cores that the work of a team holds, but for long-running work.")
	m.teamWaiting = team("waiting", "Stages of a team that wait.")
	m.teamExcess = team("excess", "Jobs of a team beyond its weight, since the begin of the leader's term.")
	reg.MustRegister(m.submitted, m.workerCalls, m.decisions, m.flushMs, m.terms, m.adviceWaiting, m.adviceCalls)
	return m
}

// maxTeamLabels bounds the teams that have metrics, those with the largest weights.
const maxTeamLabels = 100

// setTeams sets the metrics of the teams; those of other teams are removed.
func (m *Metrics) setTeams(teams []ccfair.Summary) {
	for _, g := range []*prometheus.GaugeVec{m.teamShares, m.teamCores, m.teamWaiting, m.teamExcess} {
		g.Reset()
	}
	if len(teams) > maxTeamLabels {
		sort.SliceStable(teams, func(a, b int) bool { return teams[a].Weight > teams[b].Weight })
		teams = teams[:maxTeamLabels]
	}
	for i := range teams {
		t := &teams[i]
		m.teamShares.WithLabelValues(t.Team).Set(t.Held)
		m.teamCores.WithLabelValues(t.Team).Set(float64(t.Cores) / 1000)
		m.teamWaiting.WithLabelValues(t.Team).Set(float64(t.Waiting))
		m.teamExcess.WithLabelValues(t.Team).Set(float64(t.Excess))
	}
}

// observeCall records the duration and the outcome of a call to a worker.
func (m *Metrics) observeCall(kind string, r cccell.Reply) {
	m.workerCalls.WithLabelValues(kind, outcomeNames[r.Outcome]).Observe(float64(r.Received - r.Sent))
}
