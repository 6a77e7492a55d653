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

// explainCommand gathers what the processes' logs say of one job.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"ID of the job"`
		Files []string `positional-arg-name:"FILE" description:"logs of processes" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a log.
type logLine struct {
	time string
	text string
	// namesJob is true when the line names the job, false when it tells of a leader or a lost dependency.
	namesJob bool
}

// linePattern takes the time out of a line; what stands before it is of who collected the log.
var linePattern = regexp.MustCompile(`time=(\S+) (.*)$`)

// contextMessages are the lines that explain what happened to all jobs at a time.
var contextMessages = []string{
	`msg="taking the lead"`, `msg=leading`, `msg="lead ended"`, `msg=resigning`, `msg=deposed`, `msg="store lost"`, `msg="store reached again"`,
	`msg="process was suspended"`, `msg=stopping`, `msg=stopped`, `msg=serving`, `msg="leader before has ended"`,
}

// run implements runner.
func (c *explainCommand) run(e *output) error {
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
		return errors.Newf("no line of %d files names %s", len(c.Args.Files), c.Args.ID)
	}
	for _, l := range lines[first : last+1] {
		mark := "  "
		if l.namesJob {
			mark = "* "
		}
		_, _ = fmt.Fprintf(e.out, "%s%s %s\n", mark, l.time, l.text)
	}
	_, _ = fmt.Fprintln(e.out, "times are those of each VM's own clock, which may differ; * names the job, the other lines concern all jobs")
	return nil
}

// readLog returns the lines of a file that name a job, and those that concern all jobs.
func readLog(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
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
