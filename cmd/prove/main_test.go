package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEveryListedTestIsRun guards against properties whose tests were counted but never run.
func TestEveryListedTestIsRun(t *testing.T) {
	for _, p := range properties {
		for _, test := range p.tests {
			assert.Assert(t, runPackages[test.pkg], "%s lists %s of %s", p.name, test.test, test.pkg)
		}
	}
}

// TestKnownRed checks that the entries of the file are recognised as .ci/run does it: a name at the start of a line,
// with a colon. Formerly the colon counted as a part of the name.
func TestKnownRed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	assert.NilError(t, os.WriteFile(path, []byte("TestOne: seen once\n  by TestTwo: not an entry\nTestSoak/Seed: rare\n"), 0o644))
	known, err := knownRed(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, known, map[string]bool{"TestOne": true, "TestSoak": true, "TestSoak/Seed": true})
	known, err = knownRed(path + "-missing")
	assert.NilError(t, err)
	assert.Equal(t, len(known), 0)
}
