// Package cccmds implements the commands of the program. The table commands drives parsing, the help text and the
// generated page docs/CLI.md.
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
	// ExitOK means that the command has succeeded.
	ExitOK = 0
	// ExitFailed means that the command has failed.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid means that a file of settings or configuration is invalid.
	ExitInvalid = 3
	// ExitConflict means that the configuration was edited since the revision that the edit is based on.
	ExitConflict = 4
	// ExitUnknown means that the command may or may not have taken effect.
	ExitUnknown = 5
)

// exitCodeMeanings describe the exit codes. The index is the code.
var exitCodeMeanings = []string{
	"success",
	"failure",
	"invalid command line",
	"a file is invalid; each problem is printed with its line or its place",
	"the configuration was edited in the meantime; the difference is printed",
	"the command may or may not have taken effect; check before you repeat it",
}

// ErrUnknownEffect reports a command that may or may not have taken effect, such as a submission without a response.
var ErrUnknownEffect = errors.New("the command may or may not have taken effect")

// output holds the streams that a command writes to.
type output struct {
	out io.Writer
	err io.Writer
}

// runner holds the parsed options of a command and runs it.
type runner interface {
	run(o *output) error
}

// command is one row of the table of commands.
type command struct {
	name      string
	summary   string
	detail    string
	newRunner func() runner
}

// commands are all commands, in the order of the help text.
var commands = []command{
	{"serve", "Run the process of an entry VM.", "Reads the settings, joins its peers and serves until SIGTERM or SIGINT, which begin a planned stop. An invalid setting ends the process before any socket opens; an unreachable store does not.", func() runner { return &serveCommand{} }},
	{"entry", "Run the process of an entry VM on the users' platform.", "Reads the platform's settings and serves until SIGTERM or SIGINT, which begin a planned stop. SIGHUP reloads the settings.", func() runner { return &entryCommand{} }},
	{"explain", "Merge the log lines about a job.", "Reads the logs of several processes and prints, in order of time, the lines that name the job and the lines between them that concern all jobs.", func() runner { return &explainCommand{} }},
	{"check", "Check files of settings or configuration.", "Prints all problems at once, each with its file, its line and what is accepted.", func() runner { return &checkCommand{} }},
	{"check-entry", "Check a configuration for the command entry before it is sent.", "Prints what the processes would refuse, what is very likely a mistake, and the changes from the version in force, each with its place. Only the first makes the command fail, with exit code 3. API keys are shown as the first 4 bytes of their digests. Example: coriandercross check-entry --store 10.0.0.9:4001 --dump leader.json next.json", func() runner { return &checkEntryCommand{} }},
	{"apply", "Apply a configuration.", "Sends the configuration as an edit of the revision given by --base, or of the revision in force if --base is left out. With --wait it returns once all live processes have the new revision in force, or fails and lists those that do not.", func() runner { return &applyCommand{} }},
	{"get", "Print the configuration in force.", "Prints YAML that apply accepts.", func() runner { return &getCommand{} }},
	{"diff", "Compare a file with the configuration in force.", "Prints the lines that applying the file would change.", func() runner { return &diffCommand{} }},
	{"history", "List the last edits of the configuration.", "Prints the revision, time and operator of each edit, the newest last.", func() runner { return &historyCommand{} }},
	{"submit", "Submit a job.", "Each payload is a task. Submitting an ID again does not create a second job.", func() runner { return &submitCommand{} }},
	{"status", "Print the state of a job.", "With --wait it returns when the job has ended or the given time has passed.", func() runner { return &statusCommand{} }},
	{"cancel", "Cancel a job.", "No more tasks of the job are started, and running ones are stopped.", func() runner { return &cancelCommand{} }},
	{"drain", "Begin the planned stop of a process.", "The process at the address given by --server hands over its workers, finishes the requests in progress and exits.", func() runner { return &drainCommand{} }},
	{"dump", "Print the state of a process.", "Prints a summary, or with --json everything as JSON.", func() runner { return &dumpCommand{} }},
	{"docs", "Print the reference page of the command line.", "Prints the content of docs/CLI.md.", func() runner { return &docsCommand{} }},
	{"version", "Print the version.", "Prints the version of the program and of Go.", func() runner { return &versionCommand{} }},
}

// newParser returns a parser for all commands, and the runner of each command by name.
func newParser() (*flags.Parser, map[string]runner, error) {
	p := flags.NewNamedParser("coriandercross", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "a scheduler for heterogeneous workloads"
	runners := map[string]runner{}
	for _, c := range commands {
		r := c.newRunner()
		if _, err := p.AddCommand(c.name, c.summary, c.detail, r); err != nil {
			return nil, nil, errors.Wrapf(err, "command %s", c.name)
		}
		runners[c.name] = r
	}
	return p, runners, nil
}

// Main parses and runs a command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	p, runners, err := newParser()
	if err != nil {
		return reportError(errs, err)
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
	return reportError(errs, runners[p.Active.Name].run(&output{out: out, err: errs}))
}

// reportError prints err, unless it is nil, and returns its exit code.
func reportError(errs io.Writer, err error) int {
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

// docsCommand prints the reference page of the command line.
type docsCommand struct{}

// run implements runner.
func (c *docsCommand) run(o *output) error {
	p, _, err := newParser()
	if err != nil {
		return err
	}
	return writeDocs(o.out, p)
}

// writeDocs writes the content of docs/CLI.md.
func writeDocs(out io.Writer, p *flags.Parser) error {
	var b strings.Builder
	b.WriteString("# Command line\n\nThis page is the output of `coriandercross docs`; a test compares it with the program.\n")
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
	return errors.Wrap(err, "writing the reference page")
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
