package cccontrol

import (
	"sort"
	"sync"
	"sync/atomic"

	"coriandercross/core/cccell"
	"coriandercross/core/ccfair"
	"coriandercross/core/ccwork"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxTeamMetrics bounds the teams with metrics of their own. For the caps, the others, in the order of names, are added
	// up under otherTeams; for the shares, the teams with the largest weights are shown.
	maxTeamMetrics = 100
	otherTeams     = "(others)"
)

// teamMetrics shows what each team has running, and its share, while this process leads.
type teamMetrics struct {
	teams                           atomic.Pointer[[]cccell.TeamSummary]
	tasks, waiting, running, limits *prometheus.Desc
	accounts                        atomic.Pointer[[]ccfair.Summary]
	shares, cores, stages, excess   *prometheus.Desc
}

// newTeamMetrics returns metrics without teams.
func newTeamMetrics() *teamMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, append([]string{"team"}, labels...), nil)
	}
	return &teamMetrics{
		tasks:   desc("coriandercross_team_tasks", "Tasks that count against the cap of the team."),
		waiting: desc("coriandercross_team_waiting_tasks", "Tasks of the team that could start now."),
		running: desc("coriandercross_team_running", "Capacity that counts against the cap of the team.", "resource"),
		limits:  desc("coriandercross_team_cap", "What the team may have running; absent without a cap.", "resource"),
		shares:  desc("coriandercross_team_shares", "How many times its share a team has, at the leader."),
		cores:   desc("coriandercross_team_cores", "Cores that the work of a team holds, but for long-running work."),
		stages:  desc("coriandercross_team_waiting", "Stages of a team that wait."),
		excess:  desc("coriandercross_team_excess", "Jobs of a team beyond its weight, since the begin of the leader's term."),
	}
}

// set sets the teams to be shown, and their accounts.
func (m *teamMetrics) set(teams []cccell.TeamSummary, accounts []ccfair.Summary) {
	if len(teams) > maxTeamMetrics {
		others := cccell.TeamSummary{Team: otherTeams}
		for i := range teams[maxTeamMetrics:] {
			t := &teams[maxTeamMetrics+i]
			others.Tasks += t.Tasks
			others.Waiting += t.Waiting
			others.Running = others.Running.Plus(t.Running)
		}
		teams = append(teams[:maxTeamMetrics:maxTeamMetrics], others)
	}
	m.teams.Store(&teams)
	if len(accounts) > maxTeamMetrics {
		sort.SliceStable(accounts, func(a, b int) bool { return accounts[a].Weight > accounts[b].Weight })
		accounts = accounts[:maxTeamMetrics]
	}
	m.accounts.Store(&accounts)
}

// Describe implements prometheus.Collector.
func (m *teamMetrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.tasks, m.waiting, m.running, m.limits, m.shares, m.cores, m.stages, m.excess} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (m *teamMetrics) Collect(ch chan<- prometheus.Metric) {
	teams, accounts := m.teams.Load(), m.accounts.Load()
	if teams == nil || accounts == nil {
		return
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	const milli = 1e-3
	resources := func(d *prometheus.Desc, team string, s ccwork.Size, zeros bool) {
		for _, r := range []struct {
			name  string
			value float64
		}{{"cores", milli * float64(s.MilliCores)}, {"memory_mb", float64(s.MemoryMB)}, {"accelerators", float64(s.Accelerators)}} {
			if r.value != 0 || zeros {
				gauge(d, r.value, team, r.name)
			}
		}
	}
	for i := range *teams {
		t := &(*teams)[i]
		gauge(m.tasks, float64(t.Tasks), t.Team)
		gauge(m.waiting, float64(t.Waiting), t.Team)
		resources(m.running, t.Team, t.Running, true)
		resources(m.limits, t.Team, t.Cap, false)
	}
	for i := range *accounts {
		t := &(*accounts)[i]
		gauge(m.shares, t.Held, t.Team)
		gauge(m.cores, milli*float64(t.Cores), t.Team)
		gauge(m.stages, float64(t.Waiting), t.Team)
		gauge(m.excess, float64(t.Excess), t.Team)
	}
}

// teamCounter counts events by team and outcome. The number of its series is bounded.
type teamCounter struct {
	vec   *prometheus.CounterVec
	mu    sync.Mutex
	teams map[string]bool
}

// inc counts an event of a team.
func (c *teamCounter) inc(team, outcome string) {
	c.mu.Lock()
	if !c.teams[team] && len(c.teams) >= maxTeamMetrics {
		team = otherTeams
	} else {
		c.teams[team] = true
	}
	c.mu.Unlock()
	c.vec.WithLabelValues(team, outcome).Inc()
}
