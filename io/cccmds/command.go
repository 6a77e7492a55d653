// Package cccmds holds the commands of the program. One table drives the parsing, the help text and
// the generated docs/CLI.md.
package cccmds

import (
	"fmt"
	"io"
	"strings"

	"coriandercross/core/ccteam"
	"coriandercross/io/ccsettings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that it could not be done.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid means that a file has faults.
	ExitInvalid = 3
	// ExitConflict means that another edit came first.
	ExitConflict = 4
	// ExitUnknown means that the effect is not known.
	ExitUnknown = 5
)

// exitCodeMeanings describe the exit codes, in order.
var exitCodeMeanings = []string{
	"done",
	"could not be done",
	"the command line is wrong",
	"a file has faults; each is printed with its line",
	"another edit came first; the difference is printed",
	"the effect is not known; look before you repeat",
}

// ErrUnknownEffect reports a command whose effect is not known.
var ErrUnknownEffect = errors.New("the effect is not known")

// output is where a command writes.
type output struct {
	out io.Writer
	err io.Writer
}

// runner is the options of a command and what it does.
type runner interface {
	run(e *output) error
}

// command is one line of the table.
type command struct {
	name    string
	summary string
	detail  string
	options func() runner
}

// commands is the table, in the order of the help text.
var commands = []command{
	{"serve", "Run the process of an entry VM.", "Reads the settings, joins its fellows and serves until SIGTERM or SIGINT, which begin a planned stop. A wrong setting ends the process before any socket opens; a missing store does not.", func() runner { return &serveCommand{} }},
	{"entry", "Run the process of an entry VM on the users' platform.", "Reads the platform's settings and serves until SIGTERM or SIGINT, which begin a planned stop. SIGHUP reads the settings again.", func() runner { return &entryCommand{} }},
	{"explain", "Gather what logs say of a job.", "Reads the logs of several processes and prints, in order of time, the lines that name the job and those that concerned all jobs meanwhile.", func() runner { return &explainCommand{} }},
	{"check", "Check a file of settings or configuration.", "Prints every fault at once with its file, line and what is accepted.", func() runner { return &checkCommand{} }},
	{"apply", "Put a configuration in force.", "Sends the configuration as an edit of the revision given by --base, or of the one in force when it is left out. With --wait it returns once all living processes have it in force, or lists those that do not.", func() runner { return &applyCommand{} }},
	{"get", "Print the configuration in force.", "Prints YAML that apply accepts.", func() runner { return &getCommand{} }},
	{"diff", "Compare a file with the configuration in force.", "Prints the lines that applying the file would change.", func() runner { return &diffCommand{} }},
	{"history", "List the last edits of the configuration.", "Prints revision, time and operator of each, the newest last.", func() runner { return &historyCommand{} }},
	{"submit", "Send a job.", "Each payload is a task. A repeat with the same ID is the same job.", func() runner { return &submitCommand{} }},
	{"status", "Print a job.", "With --wait it returns at the job's end or after the time given.", func() runner { return &statusCommand{} }},
	{"cancel", "Withdraw a job.", "Nothing more of the job will be started, and what runs is stopped.", func() runner { return &cancelCommand{} }},
	{"drain", "Begin the planned stop of a process.", "The process hands over its workers, finishes the requests in progress and ends.", func() runner { return &drainCommand{} }},
	{"dump", "Print the state of a process.", "Prints a summary for people, or with --json everything.", func() runner { return &dumpCommand{} }},
	{"docs", "Print the page of the command line.", "Prints what docs/CLI.md holds.", func() runner { return &docsCommand{} }},
	{"version", "Print the version.", "Prints the version of the program and of Go.", func() runner { return &versionCommand{} }},
}

// newParser builds the parser of the table.
func newParser() (*flags.Parser, map[string]runner, error) {
	p := flags.NewNamedParser("coriandercross", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "a scheduler for unlike workloads"
	runners := map[string]runner{}
	for _, c := range commands {
		r := c.options()
		if _, err := p.AddCommand(c.name, c.summary, c.detail, r); err != nil {
			return nil, nil, errors.Wrapf(err, "command %s", c.name)
		}
		runners[c.name] = r
	}
	return p, runners, nil
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	p, runners, err := newParser()
	if err != nil {
		return fail(errs, err)
	}
	rest, err := p.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagError.Message)
		return ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = errors.Newf("unexpected argument %q", rest[0])
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "coriandercross: %v\n", err)
		return ExitUsage
	}
	return fail(errs, runners[p.Active.Name].run(&output{out: out, err: errs}))
}

// fail prints an error and returns its exit code.
func fail(errs io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errs, "coriandercross: %v\n", err)
	switch {
	case errors.Is(err, ErrUnknownEffect):
		return ExitUnknown
	case errors.Is(err, ccteam.ErrConflict):
		return ExitConflict
	case errors.Is(err, ccsettings.ErrInvalid), errors.Is(err, ccteam.ErrInvalid):
		return ExitInvalid
	}
	return ExitFailed
}

// docsCommand prints the page of the command line.
type docsCommand struct{}

// run implements runner.
func (c *docsCommand) run(e *output) error {
	p, _, err := newParser()
	if err != nil {
		return err
	}
	return writeDocs(e.out, p)
}

// writeDocs writes docs/CLI.md.
func writeDocs(out io.Writer, p *flags.Parser) error {
	var b strings.Builder
	b.WriteString("# Command line\n\nThis page is printed by `coriandercross docs`; a test holds it against the program.\n")
	for _, c := range commands {
		fmt.Fprintf(&b, "\n## %s\n\n%s %s\n", c.name, c.summary, c.detail)
		cmd := p.Find(c.name)
		writeArgs(&b, c.name, cmd)
		writeOptions(&b, cmd)
	}
	b.WriteString("\n## Exit codes\n\n| code | meaning |\n| --- | --- |\n")
	for code, text := range exitCodeMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", code, text)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "writing the page")
}

// writeArgs writes the usage line of a command.
func writeArgs(b *strings.Builder, name string, cmd *flags.Command) {
	b.WriteString("\n    coriandercross " + name)
	if len(cmd.Options()) > 0 {
		b.WriteString(" [OPTIONS]")
	}
	for _, a := range cmd.Args() {
		b.WriteString(" " + a.Name)
	}
	b.WriteString("\n")
}

// writeOptions writes the options of a command as a table.
func writeOptions(b *strings.Builder, cmd *flags.Command) {
	if len(cmd.Options()) == 0 {
		return
	}
	b.WriteString("\n| option | meaning | default |\n| --- | --- | --- |\n")
	for _, o := range cmd.Options() {
		fmt.Fprintf(b, "| `--%s` | %s | %s |\n", o.LongName, o.Description, strings.Join(o.Default, ", "))
	}
}
