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

// propertyTest is one test.
type propertyTest struct {
	pkg  string
	test string
	// faultKinds is the number of sorts of faults that the test provokes.
	faultKinds int
	// random tests run many interleavings.
	randomised bool
}

const (
	sessionsPkg = "./io/ccharness"
	shardPkg    = "./core/ccshard"
	jobPkg      = "./core/ccjob"
	cellPkg     = "./core/cccell"
	soakPkg     = "./platform/ccsoak"
)

// property is a promise with its proofs.
type property struct {
	name  string
	tests []propertyTest
}

// faultSessions are the sessions whose judge looks at every promise about requests.
var faultSessions = []propertyTest{
	{sessionsPkg, "TestKilledProcess", 1, false},
	{sessionsPkg, "TestFrozenProcess", 1, false},
	{sessionsPkg, "TestStoreOutage", 2, false},
	{sessionsPkg, "TestRollingReplacement", 1, false},
	{sessionsPkg, "TestFailingWorkerAndTruncatedAnswers", 2, false},
	{sessionsPkg, "TestCancellationWave", 1, false},
}

// properties are the promises in the order of the users' page.
var properties = []property{
	{"CapacityNeverExceeded", append([]propertyTest{
		{jobPkg, "TestNoTaskTwice", 7, true},
		{sessionsPkg, "TestWorkersKilledAndFrozen", 2, false},
		{sessionsPkg, "TestRequestsBehindLongWork", 1, false},
	}, faultSessions...)},
	{"OnThePlatform", []propertyTest{
		{cellPkg, "TestCellModel", 9, true},
		{soakPkg, "TestSoak", 10, false},
	}},
	{"NoTaskInTwoPlaces", append([]propertyTest{
		{shardPkg, "TestOneOwner", 8, true},
		{jobPkg, "TestNoTaskTwice", 7, true},
		{sessionsPkg, "TestWorkersKilledAndFrozen", 2, false},
		{sessionsPkg, "TestJobSurvivesItsProcesses", 1, false},
	}, faultSessions...)},
	{"CompleteAnswerToOwnRequest", faultSessions},
	{"NotRunIsTrue", faultSessions},
	{"NonIdempotentAtMostOnce", []propertyTest{
		{sessionsPkg, "TestSessionNonIdempotent", 1, false},
		{sessionsPkg, "TestLostReplies", 1, false},
		{sessionsPkg, "TestStoreOutage", 1, false},
	}},
	{"LeavingWorkerGetsNothingNew", []propertyTest{{sessionsPkg, "TestLeavingWorker", 1, false}}},
	{"PlannedStopCutsNothing", []propertyTest{
		{sessionsPkg, "TestSessionPlannedStop", 1, false},
		{sessionsPkg, "TestRollingReplacement", 1, false},
	}},
	{"ConfigurationInForceAndNeverReverts", []propertyTest{
		{sessionsPkg, "TestSessionConfiguration", 1, false},
		{sessionsPkg, "TestOperatorsRace", 1, false},
		{sessionsPkg, "TestLostReplies", 1, false},
		{sessionsPkg, "TestStoreOutage", 1, false},
	}},
	{"AcceptedWorkNeverLost", []propertyTest{
		{jobPkg, "TestNoTaskTwice", 7, true},
		{sessionsPkg, "TestSessionBatch", 1, false},
		{sessionsPkg, "TestLostReplies", 1, false},
		{sessionsPkg, "TestWorkersKilledAndFrozen", 2, false},
		{sessionsPkg, "TestJobSurvivesItsProcesses", 1, false},
	}},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	ok, err := run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs every proof once and prints the promises. It returns false when one is broken.
func run(o *options) (bool, error) {
	failed := map[string]bool{}
	for _, pkg := range []string{shardPkg, jobPkg, sessionsPkg} {
		if err := runPackage(o, pkg, failed); err != nil {
			return false, err
		}
	}
	known := knownRed()
	ok := true
	for _, p := range properties {
		faults, runs, violations := 0, 0, 0
		for _, t := range p.tests {
			faults += t.faultKinds
			runs += t.runCount(o)
			if failed[t.pkg+" "+t.test] {
				violations++
				ok = ok && known[t.test]
			}
		}
		fmt.Printf("PROOF %s Faults=%d Runs=%d Violations=%d\n", p.name, faults, runs, violations)
	}
	return ok, nil
}

// runCount returns how many sessions or interleavings a proof is.
func (t *propertyTest) runCount(o *options) int {
	switch {
	case t.pkg == shardPkg:
		// It runs with promises and without.
		return 2 * o.Rounds
	case t.randomised:
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
	if pkg != sessionsPkg {
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
	for _, p := range properties {
		for _, t := range p.tests {
			if t.pkg == pkg && !seen[t.test] {
				seen[t.test] = true
				out = append(out, t.test)
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
