package cccontrol

import (
	"fmt"
	"strings"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccfair"
	"coriandercross/core/ccwork"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// The number of series is bounded, and teams beyond the bound are added up.
func TestTeamMetricsAreBounded(t *testing.T) {
	reg := prometheus.NewRegistry()
	m := NewMetrics(reg)
	gather := func() map[string]float64 {
		families, err := reg.Gather()
		assert.NilError(t, err)
		out := map[string]float64{}
		for _, f := range families {
			if !strings.HasPrefix(f.GetName(), "coriandercross_team_") {
				continue
			}
			for _, s := range f.GetMetric() {
				name := f.GetName()
				for _, l := range s.GetLabel() {
					name += " " + l.GetValue()
				}
				out[name] = s.GetGauge().GetValue()
			}
		}
		return out
	}
	assert.Equal(t, len(gather()), 0)
	var teams []cccell.TeamSummary
	for i := range maxTeamMetrics + 3 {
		teams = append(teams, cccell.TeamSummary{
			Team: fmt.Sprintf("t%03d", i), Tasks: 2, Waiting: 3, Running: ccwork.Size{MilliCores: 1500, MemoryMB: 7}, Cap: ccwork.Size{MilliCores: 2000},
		})
	}
	m.teams.set(teams, nil)
	got := gather()
	assert.Equal(t, len(got), maxTeamMetrics*6+5)
	for name, want := range map[string]float64{
		"coriandercross_team_tasks t000":              2,
		"coriandercross_team_waiting_tasks t000":      3,
		"coriandercross_team_running cores t000":      1.5,
		"coriandercross_team_running memory_mb t000":  7,
		"coriandercross_team_cap cores t000":          2,
		"coriandercross_team_tasks (others)":          6,
		"coriandercross_team_running cores (others)":  4.5,
		"coriandercross_team_waiting_tasks (others)":  9,
		"coriandercross_team_running accelerators t0": 0,
	} {
		assert.Equal(t, got[name], want, name)
	}
	var accounts []ccfair.Summary
	for i := range maxTeamMetrics + 3 {
		accounts = append(accounts, ccfair.Summary{Team: fmt.Sprintf("t%03d", i), Weight: int64(i), Held: 1.5, Cores: 2500, Waiting: 4, Excess: 5})
	}
	m.teams.set(nil, accounts)
	got = gather()
	assert.Equal(t, len(got), maxTeamMetrics*4, "the teams with the largest weights")
	for name, want := range map[string]float64{
		"coriandercross_team_shares t003":  1.5,
		"coriandercross_team_cores t003":   2.5,
		"coriandercross_team_waiting t003": 4,
		"coriandercross_team_excess t003":  5,
		"coriandercross_team_excess t002":  0,
	} {
		assert.Equal(t, got[name], want, name)
	}
	m.teams.set(nil, nil)
	assert.Equal(t, len(gather()), 0, "a process that does not lead shows no team")
}
