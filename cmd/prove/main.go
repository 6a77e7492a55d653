// Command prove runs the proofs of the promises and prints one line for each promise.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// options are the options of the command.
type options struct {
	Rounds int `long:"rounds" description:"random interleavings of each randomised proof" default:"2000"`
}

// proof is one test.
type proof struct {
	pkg  string
	test string
	// faults is the number of sorts of faults that the test provokes.
	faults int
	// random proofs run many interleavings.
	random bool
}

const (
	sessions = "./io/ccharness"
	shards   = "./core/ccshard"
	jobs     = "./core/ccjob"
	cells    = "./core/cccell"
	soak     = "./platform/ccsoak"
)

// promise is a promise with its proofs.
type promise struct {
	name   string
	proofs []proof
}

// killsAndFreezes are the sessions whose judge looks at every promise about requests.
var killsAndFreezes = []proof{
	{sessions, "TestKilledProcess", 1, false},
	{sessions, "TestFrozenProcess", 1, false},
	{sessions, "TestStoreOutage", 2, false},
	{sessions, "TestRollingReplacement", 1, false},
	{sessions, "TestFailingWorkerAndTruncatedAnswers", 2, false},
	{sessions, "TestCancellationWave", 1, false},
}

// promises are the promises in the order of the users' page.
var promises = []promise{
	{"CapacityNeverExceeded", append([]proof{
		{jobs, "TestNoTaskTwice", 7, true},
		{sessions, "TestWorkersKilledAndFrozen", 2, false},
		{sessions, "TestRequestsBehindLongWork", 1, false},
	}, killsAndFreezes...)},
	{"OnThePlatform", []proof{
		{cells, "TestCellModel", 9, true},
		{soak, "TestSoak", 10, false},
	}},
	{"NoTaskInTwoPlaces", append([]proof{
		{shards, "TestOneOwner", 8, true},
		{jobs, "TestNoTaskTwice", 7, true},
		{sessions, "TestWorkersKilledAndFrozen", 2, false},
		{sessions, "TestJobSurvivesItsProcesses", 1, false},
	}, killsAndFreezes...)},
	{"CompleteAnswerToOwnRequest", killsAndFreezes},
	{"NotRunIsTrue", killsAndFreezes},
	{"NonIdempotentAtMostOnce", []proof{
		{sessions, "TestSessionNonIdempotent", 1, false},
		{sessions, "TestLostReplies", 1, false},
		{sessions, "TestStoreOutage", 1, false},
	}},
	{"LeavingWorkerGetsNothingNew", []proof{{sessions, "TestLeavingWorker", 1, false}}},
	{"PlannedStopCutsNothing", []proof{
		{sessions, "TestSessionPlannedStop", 1, false},
		{sessions, "TestRollingReplacement", 1, false},
	}},
	{"ConfigurationInForceAndNeverReverts", []proof{
		{sessions, "TestSessionConfiguration", 1, false},
		{sessions, "TestOperatorsRace", 1, false},
		{sessions, "TestLostReplies", 1, false},
		{sessions, "TestStoreOutage", 1, false},
	}},
	{"AcceptedWorkNeverLost", []proof{
		{jobs, "TestNoTaskTwice", 7, true},
		{sessions, "TestSessionBatch", 1, false},
		{sessions, "TestLostReplies", 1, false},
		{sessions, "TestWorkersKilledAndFrozen", 2, false},
		{sessions, "TestJobSurvivesItsProcesses", 1, false},
	}},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	ok, err := prove(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// prove runs every proof once and prints the promises. It returns false when one is broken.
func prove(o *options) (bool, error) {
	failed := map[string]bool{}
	for _, pkg := range []string{shards, jobs, sessions} {
		if err := runPackage(o, pkg, failed); err != nil {
			return false, err
		}
	}
	known := knownRed()
	ok := true
	for _, p := range promises {
		faults, runs, violations := 0, 0, 0
		for _, pr := range p.proofs {
			faults += pr.faults
			runs += pr.runs(o)
			if failed[pr.pkg+" "+pr.test] {
				violations++
				ok = ok && known[pr.test]
			}
		}
		fmt.Printf("PROOF %s Faults=%d Runs=%d Violations=%d\n", p.name, faults, runs, violations)
	}
	return ok, nil
}

// runs returns how many sessions or interleavings a proof is.
func (p *proof) runs(o *options) int {
	switch {
	case p.pkg == shards:
		// It runs with promises and without.
		return 2 * o.Rounds
	case p.random:
		return o.Rounds
	}
	return 1
}

// testEvent is a line of go test -json.
type testEvent struct {
	Action string
	Test   string
	Output string
}

// runPackage runs the proofs of a package and notes those that did not pass.
func runPackage(o *options, pkg string, failed map[string]bool) error {
	names := testsOf(pkg)
	args := []string{"test", "-count=1", "-json", "-timeout=60m", "-run", "^(" + strings.Join(names, "|") + ")$", pkg}
	if pkg != sessions {
		args = append(args, fmt.Sprintf("-rapid.checks=%d", o.Rounds), "-rapid.nofailfile")
	}
	out, err := exec.Command("go", args...).Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return errors.Wrap(err, "running go test")
	}
	passed := map[string]bool{}
	output := map[string]string{}
	lines := bufio.NewScanner(bytes.NewReader(out))
	lines.Buffer(nil, len(out)+1)
	for lines.Scan() {
		var e testEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		output[e.Test] += e.Output
		if e.Action == "pass" {
			passed[e.Test] = true
		}
	}
	for _, name := range names {
		// A proof that did not run proves nothing.
		failed[pkg+" "+name] = !passed[name]
		if !passed[name] {
			fmt.Fprintf(os.Stderr, "%s in %s did not pass:\n%s", name, pkg, output[name])
		}
	}
	return nil
}

// testsOf returns the tests of a package, each once.
func testsOf(pkg string) []string {
	seen := map[string]bool{}
	var out []string
	for _, p := range promises {
		for _, pr := range p.proofs {
			if pr.pkg == pkg && !seen[pr.test] {
				seen[pr.test] = true
				out = append(out, pr.test)
			}
		}
	}
	return out
}

// knownRed returns the tests that KNOWN-RED.txt names.
func knownRed() map[string]bool {
	out := map[string]bool{}
	data, err := os.ReadFile("KNOWN-RED.txt")
	if err != nil {
		return out
	}
	for _, word := range strings.Fields(string(data)) {
		out[word] = true
	}
	return out
}
