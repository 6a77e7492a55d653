package cclint

import (
	"fmt"
	"strings"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/cckey"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// sound returns an input without findings: two routes, two teams, workers, and a version in force that differs in its
// number only.
func sound() *Input {
	config := func(version int64) *cccell.Configuration {
		queue := func(name string) cccell.Queue {
			return cccell.Queue{
				Name: name, Service: "render", Priority: 1, MaxAttempts: 3, TargetMs: 500, SlackFactor: 1.5,
				Advice: &cccell.AdviceConfig{DecideMs: 20, PerWorkerMs: 0.5, ValidMs: 2500},
			}
		}
		team := func(name, key string) cccell.Team {
			return cccell.Team{Name: name, Keys: []cckey.Digest{cckey.Of(key)}, Limits: ccquota.Limits{Weight: 2, Cap: ccwork.Size{MilliCores: 60_000, MemoryMB: 60_000, Accelerators: 3}}}
		}
		return &cccell.Configuration{
			Version: version, MaxBodyBytes: 1 << 18,
			Routes: []cccell.Route{{Host: "a.example", Prefix: "/a/", Queue: queue("qa"), TimeoutMs: 3000}, {Host: "a.example", Prefix: "/a/b/", Queue: queue("qb"), TimeoutMs: 3000}},
			Teams:  []cccell.Team{team("red", "k1"), team("blue", "k2")},
		}
	}
	worker := cccell.WorkerInfo{Service: "render", Capacity: ccwork.Size{MilliCores: 50_000, MemoryMB: 50_000, Accelerators: 2}}
	in := &Input{Config: config(8), InForce: config(7), Workers: []cccell.WorkerInfo{worker, worker}}
	in.Teams = []cccell.TeamSummary{{Team: "red", Tasks: 2, Running: ccwork.Size{MilliCores: 60_000, MemoryMB: 1000}}}
	return in
}

// errorsAndWarnings returns the errors and warnings as lines with severity, place and name.
func errorsAndWarnings(in *Input) []string {
	out := []string{}
	for _, f := range Check(in) {
		if f.Severity != Change {
			out = append(out, strings.TrimSpace(fmt.Sprintf("%s %s %s", f.Severity, f.Place, f.Name)))
		}
	}
	return out
}

func TestErrorsAndWarnings(t *testing.T) {
	tests := map[string]struct {
		change func(in *Input)
		want   []string
	}{
		"Sound": {func(*Input) {}, nil},
		"NotDecoded": {func(in *Input) {
			in.Config, in.Problems = nil, []cccell.Problem{{Place: "line 2", Err: cccell.ErrBadConfig}}
		}, []string{"error line 2"}},
		"Refused":           {func(in *Input) { in.Config.Routes[1].Queue.Service = ""; in.Problems = in.Config.Problems() }, []string{"error Routes[1] qb"}},
		"SameVersion":       {func(in *Input) { in.Config.Version = 7 }, []string{"error Version"}},
		"OlderVersion":      {func(in *Input) { in.Config.Version = 6 }, []string{"error Version"}},
		"HiddenSameHost":    {func(in *Input) { in.Config.Routes[1].Prefix, in.Config.Routes[1].Host = "/a/", "A.example" }, []string{"warning Routes[1] qb"}},
		"HiddenAnyHost":     {func(in *Input) { in.Config.Routes[1].Prefix, in.Config.Routes[0].Host = "/a/", "" }, []string{"warning Routes[1] qb"}},
		"NotHiddenOneHost":  {func(in *Input) { in.Config.Routes[1].Prefix, in.Config.Routes[1].Host = "/a/", "" }, nil},
		"NotHiddenLonger":   {func(in *Input) { in.Config.Routes[0].Host = "" }, nil},
		"PrefixNoSlash":     {func(in *Input) { in.Config.Routes[0].Prefix = "a/" }, []string{"warning Routes[0].Prefix qa"}},
		"PrefixQuery":       {func(in *Input) { in.Config.Routes[0].Prefix = "/a?x=" }, []string{"warning Routes[0].Prefix qa"}},
		"HostPort":          {func(in *Input) { in.Config.Routes[0].Host = "a.example:80" }, []string{"warning Routes[0].Host qa"}},
		"HostWildcard":      {func(in *Input) { in.Config.Routes[0].Host = "*.example" }, []string{"warning Routes[0].Host qa"}},
		"HostIPv6":          {func(in *Input) { in.Config.Routes[0].Host = "fd00::1" }, nil},
		"QueueTwice":        {func(in *Input) { in.Config.Routes[1].Queue.Name, in.Config.Routes[1].Queue.Priority = "qa", 2 }, []string{"warning Routes[1].Queue qa"}},
		"QueueTwiceEqual":   {func(in *Input) { in.Config.Routes[1].Queue.Name = "qa" }, nil},
		"NoWorker":          {func(in *Input) { in.Config.Routes[1].Queue.Service = "other" }, []string{"warning Routes[1].Queue.Service qb"}},
		"WorkersUnknown":    {func(in *Input) { in.Config.Routes[1].Queue.Service, in.Workers = "other", nil }, nil},
		"NegativeTimeout":   {func(in *Input) { in.Config.Routes[0].TimeoutMs = -1 }, []string{"warning Routes[0].TimeoutMs qa"}},
		"NegativeBodyLimit": {func(in *Input) { in.Config.MaxBodyBytes = -1 }, []string{"warning MaxBodyBytes"}},
		"NoAttempts":        {func(in *Input) { in.Config.Routes[0].Queue.MaxAttempts = 0 }, []string{"warning Routes[0].Queue.MaxAttempts qa"}},
		"NegativePriority":  {func(in *Input) { in.Config.Routes[0].Queue.Priority = -1 }, []string{"warning Routes[0].Queue.Priority qa"}},
		"NegativeTarget":    {func(in *Input) { in.Config.Routes[0].Queue.TargetMs = -1 }, []string{"warning Routes[0].Queue.TargetMs qa"}},
		"TargetUnreachable": {func(in *Input) { in.Config.Routes[0].Queue.TargetMs, in.Config.Routes[0].Queue.SlackFactor = 0, 0.9 }, []string{"warning Routes[0].Queue.SlackFactor qa"}},
		"TargetOnlyAdded":   {func(in *Input) { in.Config.Routes[0].Queue.SlackFactor = 0 }, nil},
		"TicketTooShort":    {func(in *Input) { in.Config.Routes[0].Queue.Advice.ValidMs = 20 }, []string{"warning Routes[0].Queue.Advice.ValidMs qa"}},
		"TicketJustLong":    {func(in *Input) { in.Config.Routes[0].Queue.Advice.ValidMs = 21 }, nil},
		"NegativeCall":      {func(in *Input) { in.Config.Routes[0].Queue.Advice.DecideMs = -1 }, []string{"warning Routes[0].Queue.Advice qa"}},
		"NoKeys":            {func(in *Input) { in.Config.Teams[1].Keys = nil }, []string{"warning Teams[1].Keys blue"}},
		"NoWeight":          {func(in *Input) { in.Config.Teams[1].Limits.Weight = 0 }, []string{"warning Teams[1].Limits.Weight blue"}},
		"NoWeights":         {func(in *Input) { in.Config.Teams[0].Limits.Weight, in.Config.Teams[1].Limits.Weight = 0, 0 }, nil},
		"OnlyCores":         {func(in *Input) { in.Config.Teams[1].Limits.Cap.MemoryMB = 0 }, []string{"warning Teams[1].Limits.Cap.MemoryMB blue"}},
		"AllOnlyCores":      {func(in *Input) { setMemoryCaps(in, 0) }, nil},
		"OneWithoutCaps":    {func(in *Input) { in.Config.Teams[1].Limits.Cap = ccwork.Size{} }, nil},
		"NoCaps": {func(in *Input) {
			in.Config.Teams[0].Limits.Cap, in.Config.Teams[1].Limits.Cap = ccwork.Size{}, ccwork.Size{}
		}, nil},
		"CapInCores":      {func(in *Input) { in.Config.Teams[1].Limits.Cap.MilliCores = 999 }, []string{"warning Teams[1].Limits.Cap.MilliCores blue"}},
		"CapOneCore":      {func(in *Input) { in.Config.Teams[1].Limits.Cap.MilliCores = 1000 }, nil},
		"CapOfNoUse":      {func(in *Input) { in.Config.Teams[1].Limits.Cap.MemoryMB = 100_001 }, []string{"warning Teams[1].Limits.Cap.MemoryMB blue"}},
		"CapOfEverything": {func(in *Input) { in.Config.Teams[1].Limits.Cap.MemoryMB = 100_000 }, nil},
		"DrainingCountsNot": {func(in *Input) { in.Workers[0].Draining = true; in.Teams = nil }, []string{
			"warning Teams[0].Limits.Cap.MilliCores red", "warning Teams[0].Limits.Cap.MemoryMB red", "warning Teams[0].Limits.Cap.Accelerators red",
			"warning Teams[1].Limits.Cap.MilliCores blue", "warning Teams[1].Limits.Cap.MemoryMB blue", "warning Teams[1].Limits.Cap.Accelerators blue",
		}},
		"AnyAccelerators":  {func(in *Input) { in.Config.Teams[1].Limits.Cap.Accelerators = 0 }, []string{"warning Teams[1].Limits.Cap.Accelerators blue"}},
		"CapBelowRunning":  {func(in *Input) { in.Config.Teams[0].Limits.Cap.MilliCores = 59_999 }, []string{"warning Teams[0].Limits.Cap.MilliCores red"}},
		"RunningNotKnown":  {func(in *Input) { in.Config.Teams[0].Limits.Cap.MilliCores, in.Teams = 59_999, nil }, nil},
		"RemovedRuns":      {func(in *Input) { in.Teams[0].Team = "green" }, []string{"warning Teams green"}},
		"HalfIdle":         {func(in *Input) { setMemoryCaps(in, 25_000) }, []string{"warning Teams"}},
		"LessThanHalfIdle": {func(in *Input) { setMemoryCaps(in, 25_001) }, nil},
		"IdleButUncapped":  {func(in *Input) { setMemoryCaps(in, 25_000); in.Config.Teams[1].Limits.Cap.MemoryMB = 0 }, []string{"warning Teams[1].Limits.Cap.MemoryMB blue"}},
		"OtherWorkers": {func(in *Input) {
			in.Workers = append(in.Workers, cccell.WorkerInfo{Service: "other", Capacity: ccwork.Size{MilliCores: 1 << 30, MemoryMB: 1 << 30, Accelerators: 99}})
		}, nil},
		"IdleButPublic": {func(in *Input) { setMemoryCaps(in, 25_000); in.Config.Routes[0].Public = true }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := sound()
			test.change(in)
			assert.DeepEqual(t, errorsAndWarnings(in), append([]string{}, test.want...))
		})
	}
}

// setMemoryCaps caps the memory of each team.
func setMemoryCaps(in *Input, mb int64) {
	for i := range in.Config.Teams {
		in.Config.Teams[i].Limits.Cap.MemoryMB = mb
	}
}

// TestChanges checks that each difference from the version in force is reported, and nothing else. That of the version
// itself is left out below.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		change func(c *cccell.Configuration)
		want   []Finding
	}{
		"None":      {func(*cccell.Configuration) {}, nil},
		"Order":     {func(c *cccell.Configuration) { c.Teams[0], c.Teams[1] = c.Teams[1], c.Teams[0] }, nil},
		"BodyLimit": {func(c *cccell.Configuration) { c.MaxBodyBytes = 1 }, []Finding{{Change, "MaxBodyBytes", "", "262144 → 1"}}},
		"Service":   {func(c *cccell.Configuration) { c.Routes[1].Queue.Service = "other" }, []Finding{{Change, "Routes[1].Queue.Service", "qb", `"render" → "other"`}}},
		"HostCase":  {func(c *cccell.Configuration) { c.Routes[0].Host = "A.example" }, []Finding{{Change, "Routes[0].Host", "qa", `"a.example" → "A.example"`}}},
		"Public":    {func(c *cccell.Configuration) { c.Routes[0].Public = true }, []Finding{{Change, "Routes[0].Public", "qa", "false → true"}}},
		"Slack":     {func(c *cccell.Configuration) { c.Routes[0].Queue.SlackFactor = 2.5 }, []Finding{{Change, "Routes[0].Queue.SlackFactor", "qa", "1.5 → 2.5"}}},
		"Advice":    {func(c *cccell.Configuration) { c.Routes[0].Queue.Advice.ValidMs = 900 }, []Finding{{Change, "Routes[0].Queue.Advice.ValidMs", "qa", "2500 → 900"}}},
		"NoAdvice":  {func(c *cccell.Configuration) { c.Routes[0].Queue.Advice = nil }, []Finding{{Change, "Routes[0].Queue.Advice", "qa", "removed: {DecideMs:20 PerWorkerMs:0.5 ValidMs:2500}"}}},
		"Prefix": {func(c *cccell.Configuration) { c.Routes[0].Prefix = "/c/" }, []Finding{
			{Change, "Routes[0]", "qa", `added: host "a.example", prefix "/c/", service "render"`}, {Change, "Routes", "qa", `removed: host "a.example", prefix "/a/", service "render"`},
		}},
		"Cap":    {func(c *cccell.Configuration) { c.Teams[0].Limits.Cap.MemoryMB = 50_000 }, []Finding{{Change, "Teams[0].Limits.Cap.MemoryMB", "red", "60000 → 50000"}}},
		"Weight": {func(c *cccell.Configuration) { c.Teams[0].Limits.Weight = 3 }, []Finding{{Change, "Teams[0].Limits.Weight", "red", "2 → 3"}}},
		"TeamRenamed": {func(c *cccell.Configuration) { c.Teams[0].Name = "green" }, []Finding{
			{Change, "Teams[0]", "green", "added: keys [" + cckey.Of("k1").String() + "]"}, {Change, "Teams", "red", "removed: keys [" + cckey.Of("k1").String() + "]"},
		}},
		"KeyReplaced": {func(c *cccell.Configuration) { c.Teams[0].Keys = []cckey.Digest{cckey.Of("k3"), cckey.Of("k3")} }, []Finding{
			{Change, "Teams[0].Keys", "red", "1 added: [" + cckey.Of("k3").String() + "]"}, {Change, "Teams[0].Keys", "red", "1 revoked: [" + cckey.Of("k1").String() + "]"},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := sound()
			test.change(in.Config)
			got := []Finding{}
			for _, f := range Check(&Input{Config: in.Config, InForce: in.InForce}) {
				if f.Severity == Change && f.Place != "Version" {
					got = append(got, f)
				}
			}
			assert.DeepEqual(t, got, append([]Finding{}, test.want...))
		})
	}
}

// TestDuplicatesAreComparedOnce checks that of entries that requests can't tell apart only the first is compared.
func TestDuplicatesAreComparedOnce(t *testing.T) {
	in := sound()
	hidden := in.Config.Routes[0]
	hidden.Queue.Service = "other"
	in.Config.Routes = append(in.Config.Routes, hidden)
	hidden.Queue.Service = "third"
	in.InForce.Routes = append(in.InForce.Routes, hidden)
	var changes []string
	for _, f := range Check(in) {
		if f.Severity == Change {
			changes = append(changes, f.Place+" "+f.Text)
		}
	}
	assert.DeepEqual(t, changes, []string{"Version 7 → 8"})
}
