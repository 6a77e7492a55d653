package ccharness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"coriandercross/core/ccwork"
	"coriandercross/io/ccsettings"

	"gotest.tools/v3/assert"
)

// programs is the folder that holds the binaries under test.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "coriandercross-test-")
	if err != nil {
		panic(err)
	}
	programs = dir
	for _, name := range []string{"coriandercross", "standin"} {
		// The race detector runs inside the processes; withCluster looks for its reports in their logs.
		cmd := exec.Command("go", "build", "-race", "-o", filepath.Join(dir, name), "coriandercross/cmd/"+name)
		if out, err := cmd.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// eventTimeout bounds the wait for an event. It is far longer than any event takes on a busy machine, so that it only
// ends a test that hangs.
const eventTimeout = 120 * time.Second

// testConfig returns a system of three entry processes and six workers in two failure domains of one region.
func testConfig(t *testing.T) Config {
	t.Helper()
	doc, diagnostics, err := ccsettings.LoadDocument("../../_fixtures/cell.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(diagnostics), 0)
	return Config{
		Dir: t.TempDir(), Program: filepath.Join(programs, "coriandercross"), Standin: filepath.Join(programs, "standin"),
		Entries: 3, Workers: 6, WorkersPerRack: 1,
		Domains:     []Domain{{Region: "north", Name: "north-a"}, {Region: "north", Name: "north-b"}},
		Capacity:    ccwork.Size{MilliCores: 8_000, MemoryMB: 16_000, Slots: 8, Connections: 64},
		VMListLagMs: 500,
		Document:    doc,
		Settings: func(s *ccsettings.Settings) {
			s.Log.Level = "debug"
			s.Timing.VMListMs = 300
			s.Timing.VMListLagMs = 3_000
		},
	}
}

// withCluster starts a system, calls f and stops the system. It fails the test if a log reports a data race, and saves
// the logs of a failed test.
func withCluster(t *testing.T, cfg Config, f func(c *Cluster)) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes")
	}
	c, err := Start(cfg)
	defer func() {
		c.Stop()
		failOnDataRaces(t, cfg.Dir)
		if t.Failed() {
			saveLogs(t, cfg.Dir)
		}
	}()
	assert.NilError(t, err)
	assert.NilError(t, c.Ready(eventTimeout))
	f(c)
}

// failOnDataRaces fails the test if a log in dir has a report of the race detector.
func failOnDataRaces(t *testing.T, dir string) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	assert.Check(t, err)
	for _, file := range logs {
		data, err := os.ReadFile(file)
		assert.Check(t, err)
		if i := bytes.Index(data, []byte("DATA RACE")); i >= 0 {
			t.Errorf("%s: %.2000s", filepath.Base(file), data[i:])
		}
	}
}

// saveLogs copies settings, logs and records to a folder named after the test in the folder $KEEP_LOGS, if that is set.
func saveLogs(t *testing.T, dir string) {
	to := os.Getenv("KEEP_LOGS")
	if to == "" {
		return
	}
	assert.Check(t, os.CopyFS(filepath.Join(to, t.Name()), os.DirFS(dir)))
}

// checkInvariants fails the test if the workers' records or the responses to callers of team bench violate a property
// that holds in every session.
func checkInvariants(t *testing.T, c *Cluster, responses []Response) Verdict {
	t.Helper()
	v, err := c.CheckRecords()
	assert.NilError(t, err)
	assert.Equal(t, len(v.RanConcurrently), 0, "ran in two places at once: %v", v.RanConcurrently)
	assert.Equal(t, len(v.Overcommitted), 0, "over capacity: %v", v.Overcommitted)
	summary := CheckResponses("bench", responses, &v, expectedBody)
	assert.Equal(t, len(summary.WrongBody), 0, "response body is not the expected one: %v", summary.WrongBody)
	assert.Equal(t, len(summary.FalseNotRun), 0, "reported as not run, but ran: %v", summary.FalseNotRun)
	t.Logf("sent %d, ran %d, not run %d, unknown %d", summary.Sent, summary.Ran, summary.NotRun, summary.Unknown)
	return v
}

// expectedBody returns the body of the complete response to a request with the body payload(id).
func expectedBody(id string) string {
	return "done " + id
}

// payload returns a request body that makes the worker run for 20 ms and return expectedBody(id).
func payload(id string) string {
	return "RunMs=20&Echo=" + id
}
