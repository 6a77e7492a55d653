package cccmds

import (
	"bytes"
	"os"
	"path/filepath"
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
		"times are from the clock of each VM, and the clocks may differ; lines with * name the job, the others concern all jobs\n")
	assert.Equal(t, Main([]string{"explain", "j9", a}, &out, &errs), ExitFailed)
}
