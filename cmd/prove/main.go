// Command prove runs the tests that check the system's guaranteed properties, and prints one line for each property. It
// must be started in the root of the repository.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Rounds int `long:"rounds" description:"random interleavings of each randomised test" default:"2000"`
}

// propertyTest is a Go test that checks a property.
type propertyTest struct {
	pkg  string
	test string
	// faultKinds is the number of kinds of injected faults that concern the property. The same test can have another
	// number for another property.
	faultKinds int
	// randomised marks a test that runs options.Rounds random interleavings.
	randomised bool
}

const (
	systemTestPkg = "./io/ccharness"
	shardPkg      = "./core/ccshard"
	jobPkg        = "./core/ccjob"
	cellPkg       = "./core/cccell"
	quorumPkg     = "./core/ccquorum"
	soakPkg       = "./platform/ccsoak"
)

// property is a guarantee of the system, with the tests that check it.
type property struct {
	name  string
	tests []propertyTest
}

// faultTests are the system tests that inject faults while callers send requests. Each checks all properties of requests
// at its end.
var faultTests = []propertyTest{
	{systemTestPkg, "TestKilledProcess", 1, false},
	{systemTestPkg, "TestFrozenProcess", 1, false},
	{systemTestPkg, "TestStoreOutage", 2, false},
	{systemTestPkg, "TestRollingReplacement", 1, false},
	{systemTestPkg, "TestFailingWorkerAndTruncatedResponses", 2, false},
	{systemTestPkg, "TestCancellationBurst", 1, false},
}

// properties are listed in the order in which they are printed.
var properties = []property{
	{"CapacityNeverExceeded", append([]propertyTest{
		{jobPkg, "TestNoTaskTwice", 7, true},
		{systemTestPkg, "TestWorkersKilledAndFrozen", 2, false},
		{systemTestPkg, "TestRequestsBehindLongWork", 1, false},
	}, faultTests...)},
	{"OnThePlatform", []propertyTest{
		{cellPkg, "TestCellModel", 9, true},
		{cellPkg, "TestCellModelResizes", 10, true},
		{cellPkg, "TestCellModelLearns", 9, true},
		{cellPkg, "TestCellModelSameID", 9, true},
		{quorumPkg, "TestOneLeaderActs", 6, true},
		{soakPkg, "TestSoak", 10, false},
	}},
	{"NoTaskInTwoPlaces", append([]propertyTest{
		{shardPkg, "TestOneOwner", 8, true},
		{jobPkg, "TestNoTaskTwice", 7, true},
		{systemTestPkg, "TestWorkersKilledAndFrozen", 2, false},
		{systemTestPkg, "TestJobSurvivesItsProcesses", 1, false},
	}, faultTests...)},
	{"CompleteAnswerToOwnRequest", faultTests},
	{"NotRunIsTrue", faultTests},
	{"NonIdempotentAtMostOnce", []propertyTest{
		{systemTestPkg, "TestSessionNonIdempotent", 1, false},
		{systemTestPkg, "TestLostReplies", 1, false},
		{systemTestPkg, "TestStoreOutage", 1, false},
	}},
	{"LeavingWorkerGetsNothingNew", []propertyTest{{systemTestPkg, "TestLeavingWorker", 1, false}}},
	{"PlannedStopCutsNothing", []propertyTest{
		{systemTestPkg, "TestSessionPlannedStop", 1, false},
		{systemTestPkg, "TestRollingReplacement", 1, false},
	}},
	{"ConfigurationInForceAndNeverReverts", []propertyTest{
		{systemTestPkg, "TestSessionConfiguration", 1, false},
		{systemTestPkg, "TestOperatorsRace", 1, false},
		{systemTestPkg, "TestLostReplies", 1, false},
		{systemTestPkg, "TestStoreOutage", 1, false},
	}},
	{"AcceptedWorkNeverLost", []propertyTest{
		{jobPkg, "TestNoTaskTwice", 7, true},
		{systemTestPkg, "TestSessionBatch", 1, false},
		{systemTestPkg, "TestLostReplies", 1, false},
		{systemTestPkg, "TestWorkersKilledAndFrozen", 2, false},
		{systemTestPkg, "TestJobSurvivesItsProcesses", 1, false},
	}},
}

// runPackages are the packages whose listed tests are run.
var runPackages = map[string]bool{shardPkg: true, jobPkg: true, cellPkg: true, quorumPkg: true, systemTestPkg: true, soakPkg: true}

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

// run runs the listed tests once, and prints a line for each property. It returns false if a test failed that knownRed
// does not return.
func run(o *options) (bool, error) {
	failed := map[string]bool{}
	for _, pkg := range slices.Sorted(maps.Keys(runPackages)) {
		if err := runPackage(o, pkg, failed); err != nil {
			return false, err
		}
	}
	known, err := knownRed("KNOWN-RED.txt")
	if err != nil {
		return false, err
	}
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

// runCount returns the number of interleavings that the test runs, or 1 if it is not randomised.
func (t *propertyTest) runCount(o *options) int {
	switch {
	case t.pkg == shardPkg:
		// The shard test runs all interleavings twice: with grants by successors, and without.
		return 2 * o.Rounds
	case t.randomised:
		return o.Rounds
	}
	return 1
}

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action string
	Test   string
	Output string
}

// runPackage runs the listed tests of a package, and sets for each test whether it failed, under the key "PACKAGE TEST"
// in failed. A failure is printed with the test's output.
func runPackage(o *options, pkg string, failed map[string]bool) error {
	names := testsOf(pkg)
	args := []string{"test", "-count=1", "-json", "-timeout=60m", "-run", "^(" + strings.Join(names, "|") + ")$", pkg}
	// The tests that run processes don't use rapid, so go test would reject its flags.
	if pkg != systemTestPkg && pkg != soakPkg {
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
		// A test that did not run counts as failed.
		failed[pkg+" "+name] = !passed[name]
		if !passed[name] {
			fmt.Fprintf(os.Stderr, "%s in %s did not pass:\n%s", name, pkg, output[name])
		}
	}
	return nil
}

// testsOf returns the names of the listed tests of a package, each once.
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

// knownRed returns the tests that a file lists as known to fail, each at the start of a line and followed by a colon. A
// subtest stands for its test as well. The result is empty if there is no such file.
func knownRed(path string) (map[string]bool, error) {
	out := map[string]bool{}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return out, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the known failures")
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, _, found := strings.Cut(line, ":")
		if !found || !strings.HasPrefix(name, "Test") {
			continue
		}
		out[name] = true
		test, _, _ := strings.Cut(name, "/")
		out[test] = true
	}
	return out, nil
}
