package cccmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The lines of several processes about one job are merged in order of time, with the lines between them that concern
// all jobs. Lines of other jobs are left out.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o644))
		return path
	}
	a := write("a.log", "time=2026-01-01T00:00:03Z level=info msg=\"job shown\" VM=a Job=j1\n   1.5 vm time=2026-01-01T00:00:01Z level=info msg=\"job accepted\" VM=a Job=j1\nno line\n")
	b := write("b.log", "time=2026-01-01T00:00:02Z level=info msg=\"taking the lead\" VM=b\ntime=2026-01-01T00:00:02Z level=info msg=\"job shown\" VM=b Job=j2\ntime=2026-01-01T00:00:09Z level=info msg=stopping VM=b\n")
	var out, errs bytes.Buffer
	assert.Equal(t, Main([]string{"explain", "j1", a, b}, &out, &errs), ExitOK, errs.String())
	assert.Equal(t, out.String(), "* 2026-01-01T00:00:01Z level=info msg=\"job accepted\" VM=a Job=j1\n"+
		"  2026-01-01T00:00:02Z level=info msg=\"taking the lead\" VM=b\n"+
		"* 2026-01-01T00:00:03Z level=info msg=\"job shown\" VM=a Job=j1\n"+
		"times are from the clock of each VM, and the clocks may differ; lines with * name the job, the others concern all jobs or all of its team\n")
	assert.Equal(t, Main([]string{"explain", "j9", a}, &out, &errs), ExitFailed)
}

// The lines about the cap of the job's team are shown, from the one that was in force when the job came, and those of
// other teams are not.
func TestExplainShowsTheCapOfTheTeam(t *testing.T) {
	line := func(second, text string) string {
		return "time=2026-01-01T00:00:" + second + "Z level=info " + text + "\n"
	}
	atCap := func(team string) string { return `msg="team at its cap" VM=a Team=` + team + ` Tasks=3` }
	below := func(team string) string { return `msg="team below its cap" VM=a Team=` + team }
	accepted := func(team string) string { return `msg="job accepted" VM=a Job=j1 Queue=q Team=` + team }
	shown := line("20", `msg="job shown" VM=a Job=j1`)
	tests := map[string]struct {
		lines []string
		// want has the indexes of the lines that are shown.
		want []int
	}{
		"Within":           {[]string{line("05", accepted("red")), line("06", atCap("red")), line("09", below("red")), shown}, []int{0, 1, 2, 3}},
		"SinceBefore":      {[]string{line("01", atCap("red")), line("05", accepted("red")), shown}, []int{0, 1, 2}},
		"OverBefore":       {[]string{line("01", atCap("red")), line("02", below("red")), line("05", accepted("red")), shown}, []int{2, 3}},
		"OtherTeam":        {[]string{line("05", accepted("red")), line("06", atCap("reds")), shown}, []int{0, 2}},
		"QuotedName":       {[]string{line("05", accepted(`"red team"`)), line("06", atCap(`"red team"`)), line("07", atCap(`"red"`)), shown}, []int{0, 1, 3}},
		"NoTeam":           {[]string{line("05", accepted(`""`)), line("06", atCap("red")), shown}, []int{0, 2}},
		"NotAfterTheLast":  {[]string{line("05", accepted("red")), shown, line("25", below("red"))}, []int{0, 1}},
		"LineWithoutATeam": {[]string{line("05", `msg="job accepted" VM=a Job=j1`), line("06", atCap("red")), shown}, []int{0, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.log")
			assert.NilError(t, os.WriteFile(path, []byte(strings.Join(test.lines, "")), 0o644))
			var out, errs bytes.Buffer
			assert.Equal(t, Main([]string{"explain", "j1", path}, &out, &errs), ExitOK, errs.String())
			got := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
			assert.Equal(t, len(got)-1, len(test.want), out.String())
			for i, k := range test.want {
				assert.Equal(t, got[i][2:], strings.TrimSuffix(strings.TrimPrefix(test.lines[k], "time="), "\n"))
			}
		})
	}
}
