package cccmds

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"slices"
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
	// team is the team that a line of teamMessages is about, or else empty.
	team string
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

// teamMessages are the messages of lines that concern all jobs of one team.
var teamMessages = []string{`msg="team at its cap"`, `msg="team below its cap"`, `msg="cap of the team changed"`}

// teamPattern captures the team that a line names.
var teamPattern = regexp.MustCompile(` Team=("(?:[^"\\]|\\.)*"|\S+)`)

// teamOf returns the team that a line names, quoted as in the log, or "".
func teamOf(text string) string {
	if m := teamPattern.FindStringSubmatch(text); m != nil && m[1] != `""` {
		return m[1]
	}
	return ""
}

// dropOtherTeams returns the lines without those of other teams than the job's, which the lines that name the job tell.
func dropOtherTeams(lines []logLine) []logLine {
	team := ""
	for i := range lines {
		if lines[i].namesJob && team == "" {
			team = teamOf(lines[i].text)
		}
	}
	return slices.DeleteFunc(lines, func(l logLine) bool { return !l.namesJob && l.team != "" && l.team != team })
}

// withCapBefore returns the lines from index first to last. If the job's team was at its cap before the first, they begin
// with the line that says so.
func withCapBefore(lines []logLine, first, last int) []logLine {
	out := lines[first : last+1]
	for i := first - 1; i >= 0; i-- {
		switch {
		case strings.Contains(lines[i].text, `msg="team at its cap"`):
			return append([]logLine{lines[i]}, out...)
		case strings.Contains(lines[i].text, `msg="team below its cap"`):
			return out
		}
	}
	return out
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
	lines = dropOtherTeams(lines)
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
	for _, l := range withCapBefore(lines, first, last) {
		mark := "  "
		if l.namesJob {
			mark = "* "
		}
		_, _ = fmt.Fprintf(o.out, "%s%s %s\n", mark, l.time, l.text)
	}
	_, _ = fmt.Fprintln(o.out, "times are from the clock of each VM, and the clocks may differ; lines with * name the job, the others concern all jobs or all of its team")
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
		names := func(message string) bool { return strings.Contains(l.text, message) }
		if slices.ContainsFunc(teamMessages, names) {
			l.team = teamOf(l.text)
		}
		if l.namesJob || l.team != "" || slices.ContainsFunc(contextMessages, names) {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(s.Err(), "reading %s", path)
}
