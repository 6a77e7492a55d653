package cckey

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestTable checks that each key is that of its team alone, and that keys of which it is not clear whose they are are
// refused, by an error that contains none of them.
func TestTable(t *testing.T) {
	type team struct {
		name string
		keys []string
	}
	tests := map[string]struct {
		teams []team
		bad   bool
	}{
		"TwoKeys":     {[]team{{"a", []string{"ka", "kb"}}, {"b", []string{"kc"}}}, false},
		"NoKeys":      {[]team{{"a", nil}}, false},
		"KeyTwice":    {[]team{{"a", []string{"ka", "ka"}}}, false},
		"SharedKey":   {[]team{{"a", []string{"ka"}}, {"b", []string{"kb", "ka"}}}, true},
		"SameName":    {[]team{{"a", []string{"ka"}}, {"a", []string{"kb"}}}, true},
		"EmptyName":   {[]team{{"", []string{"ka"}}}, true},
		"SameNoKeys":  {[]team{{"a", nil}, {"a", nil}}, true},
		"EmptyNoKeys": {[]team{{"", nil}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			var err error
			for _, team := range test.teams {
				var keys []Digest
				for _, k := range team.keys {
					keys = append(keys, Of(k))
				}
				if err = table.Add(team.name, keys); err != nil {
					break
				}
			}
			assert.Equal(t, errors.Is(err, ErrBadKeys), test.bad, "%v", err)
			if test.bad {
				for _, k := range []string{"ka", "kb"} {
					digest := Of(k)
					assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", err), digest.String()))
				}
				return
			}
			for _, team := range test.teams {
				assert.Assert(t, table.Has(team.name))
				for _, k := range team.keys {
					digest := Of(k)
					assert.Equal(t, table.Team(&digest), team.name)
					assert.Equal(t, table.TeamByID(digest.ID()), team.name)
				}
			}
			unknown := Of("k")
			assert.Equal(t, table.Team(&unknown)+table.TeamByID(unknown.ID())+table.TeamByID(0), "")
		})
	}
}
