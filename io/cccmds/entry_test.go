package cccmds

import (
	"testing"

	"coriandercross/core/ccintake"
	"coriandercross/platform/ccplatform"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A changed settings file is noticed without a signal. Formerly another seed in the place of one was not.
func TestReloadNeeded(t *testing.T) {
	tests := map[string]struct {
		change func(s *ccplatform.Settings)
		want   bool
	}{
		"Unchanged":   {func(*ccplatform.Settings) {}, false},
		"OtherSeed":   {func(s *ccplatform.Settings) { s.Seeds = []string{"10.0.0.1:1", "10.0.0.9:1"} }, true},
		"FewerSeeds":  {func(s *ccplatform.Settings) { s.Seeds = s.Seeds[:1] }, true},
		"OtherLimit":  {func(s *ccplatform.Settings) { s.Limits.MemoryMB++ }, true},
		"OtherBound":  {func(s *ccplatform.Settings) { s.Bounds.GraceS++ }, true},
		"OtherRegion": {func(s *ccplatform.Settings) { s.Region = "x" }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old := ccplatform.Settings{Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}}
			changed := old
			test.change(&changed)
			assert.Equal(t, reloadNeeded(&old, &changed), test.want)
		})
	}
}

// TestIntakeLimits checks what clients may occupy, by the settings of the platform and the options of the command.
func TestIntakeLimits(t *testing.T) {
	const mb = 1 << 20
	tests := map[string]struct {
		command                entryCommand
		memoryMB               int64
		maxFiles               int
		callers                int
		requestBytes, jobBytes int64
	}{
		"Usual":          {entryCommand{}, 284, 4100, 568, 71 * mb, 71 * mb},
		"Small":          {entryCommand{}, 160, 4100, 320, 40 * mb, 40 * mb},
		"FewDescriptors": {entryCommand{}, 284, 600, 100, 71 * mb, 71 * mb},
		"NoDescriptors":  {entryCommand{}, 284, 0, 206, 71 * mb, 71 * mb},
		"Options":        {entryCommand{RequestMemoryMB: 20, MaxConnections: 50, JobMemoryMB: 10}, 284, 4100, 50, 20 * mb, 10 * mb},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &ccplatform.Settings{}
			s.Limits.MemoryMB, s.Limits.MaxFiles = test.memoryMB, test.maxFiles
			assert.NilError(t, test.command.check())
			l := test.command.intakeLimits(s)
			assert.Equal(t, l.CallerConns, test.callers)
			assert.Equal(t, l.BodyBytes+int64(l.CallerConns+l.OperatorConns+l.ReadinessConns)*ccintake.ConnBytes, test.requestBytes)
			assert.Equal(t, test.command.jobMemory(s), test.jobBytes)
		})
	}
	for name, c := range map[string]entryCommand{"Memory": {RequestMemoryMB: -1}, "Connections": {MaxConnections: -1}, "Jobs": {JobMemoryMB: -1}} {
		t.Run("Negative"+name, func(t *testing.T) {
			assert.Assert(t, errors.Is(c.check(), ccplatform.ErrBadSettings))
		})
	}
}
