package cccmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// run runs a command line and returns its exit code and what it wrote.
func run(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestDocsMatchProgram(t *testing.T) {
	_, out, _ := run("docs")
	page, err := os.ReadFile("../../docs/CLI.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), out, "run bin/coriandercross docs > docs/CLI.md")
}

func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
	}{
		"Help":            {[]string{"--help"}, ExitOK},
		"Version":         {[]string{"version"}, ExitOK},
		"NoCommand":       {nil, ExitUsage},
		"UnknownCommand":  {[]string{"fly"}, ExitUsage},
		"UnknownOption":   {[]string{"get", "--loud"}, ExitUsage},
		"MissingArgument": {[]string{"check"}, ExitUsage},
		"MissingFile":     {[]string{"check", "no-such-file.yaml"}, ExitFailed},
		"BadSettings":     {[]string{"serve", "testdata/bad-settings.yaml"}, ExitInvalid},
		"Unreachable":     {[]string{"get", "--server", "127.0.0.1:1"}, ExitFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			code, _, _ := run(tc.args...)
			assert.Equal(t, code, tc.code)
		})
	}
}

func TestCheckReportsEveryProblem(t *testing.T) {
	code, _, errs := run("check", "testdata/bad-settings.yaml", "testdata/bad-cell.yaml")
	assert.Equal(t, code, ExitInvalid)
	golden.Assert(t, errs, "check.golden")
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 16)
	code, _, errs := run(append([]string{"check"}, files...)...)
	assert.Equal(t, code, ExitOK, errs)
}
