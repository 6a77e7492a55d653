package cccmds

import (
	"testing"

	"coriandercross/platform/ccplatform"

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
