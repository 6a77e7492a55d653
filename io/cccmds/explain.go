package cccmds

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// explainCommand merges the log lines of several processes that concern one job.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"ID of the job"`
		Files []string `positional-arg-name:"FILE" description:"log files of processes" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a log.
type logLine struct {
	time string
	text string
	// namesJob is true for a line that contains the job's ID, false for a line that concerns all jobs.
	namesJob bool
}

// linePattern matches a logfmt line and captures the time and the rest. A log collector may have put a prefix before
// the time.
var linePattern = regexp.MustCompile(`time=(\S+) (.*)$`)

// contextMessages are the messages of lines that concern all jobs: changes of leadership, of the store's availability
// and of the process's state.
var contextMessages = []string{
	`msg="taking the lead"`, `msg=leading`, `msg="lead ended"`, `msg=resigning`, `msg=deposed`, `msg="store lost"`, `msg="store reached again"`,
	`msg="process was suspended"`, `msg=stopping`, `msg=stopped`, `msg=serving`, `msg="leader before has ended"`,
}

// run implements runner.
func (c *explainCommand) run(o *output) error {
	var lines []logLine
	for _, path := range c.Args.Files {
		found, err := readLog(path, c.Args.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].time < lines[b].time })
	first, last := -1, -1
	for i := range lines {
		if lines[i].namesJob {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return errors.Newf("no line of %d log files names job %s", len(c.Args.Files), c.Args.ID)
	}
	for _, l := range lines[first : last+1] {
		mark := "  "
		if l.namesJob {
			mark = "* "
		}
		_, _ = fmt.Fprintf(o.out, "%s%s %s\n", mark, l.time, l.text)
	}
	_, _ = fmt.Fprintln(o.out, "times are from the clock of each VM, and the clocks may differ; lines with * name the job, the others concern all jobs")
	return nil
}

// readLog returns the lines of a file that name a job or concern all jobs. Lines in another format are skipped.
func readLog(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log file")
	}
	defer func() { _ = f.Close() }()
	var out []logLine
	s := bufio.NewScanner(f)
	const maxLine = 1 << 20
	s.Buffer(nil, maxLine)
	for s.Scan() {
		m := linePattern.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		l := logLine{time: m[1], text: m[2], namesJob: strings.Contains(m[2], id)}
		for _, text := range contextMessages {
			if l.namesJob || strings.Contains(l.text, text) {
				out = append(out, l)
				break
			}
		}
	}
	return out, errors.Wrapf(s.Err(), "reading %s", path)
}
