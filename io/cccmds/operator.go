package cccmds

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"coriandercross/core/ccteam"
	"coriandercross/io/ccoperator"
	"coriandercross/io/ccsettings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// operatorOptions are the options that all commands on the operators' interface share, except for dump, which takes the
// address as an argument.
type operatorOptions struct {
	Server string `long:"server" description:"operators' IP:PORT of any process" default:"127.0.0.1:7300"`
}

// client returns a client of the process.
func (o *operatorOptions) client() *ccoperator.Client {
	return ccoperator.NewClient(o.Server)
}

// checkCommand checks files of settings or configuration.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"settings or configuration" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// run implements runner.
func (c *checkCommand) run(o *output) error {
	var all []ccsettings.Diagnostic
	for _, file := range c.Args.Files {
		diagnostics, err := diagnoseFile(file)
		if err != nil {
			return err
		}
		if len(diagnostics) == 0 {
			_, _ = fmt.Fprintf(o.out, "%s: ok\n", file)
		}
		all = append(all, diagnostics...)
	}
	if len(all) > 0 {
		return printDiagnostics(o, all)
	}
	return nil
}

// diagnoseFile returns the diagnostics of one file, either settings or a configuration.
func diagnoseFile(file string) ([]ccsettings.Diagnostic, error) {
	if ccsettings.IsDocument(file) {
		_, diagnostics, err := ccsettings.LoadDocument(file)
		return diagnostics, err
	}
	_, diagnostics, err := ccsettings.Load(file)
	return diagnostics, err
}

// applyCommand applies a configuration.
type applyCommand struct {
	operatorOptions
	Base   int64  `long:"base" description:"revision that the edit is based on; -1 for the revision in force" default:"-1"`
	By     string `long:"by" description:"name of the operator; the login name if left out"`
	Wait   bool   `long:"wait" description:"wait until all live processes have the new revision in force"`
	WaitMs int64  `long:"wait-ms" description:"longest wait, in milliseconds" default:"10000"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"configuration"`
	} `positional-args:"yes" required:"yes"`
}

// run implements runner.
func (c *applyCommand) run(o *output) error {
	doc, diagnostics, err := ccsettings.LoadDocument(c.Args.File)
	if err != nil {
		return err
	}
	if len(diagnostics) > 0 {
		return printDiagnostics(o, diagnostics)
	}
	client := c.client()
	base := uint64(max(c.Base, 0))
	if c.Base < 0 {
		current, err := client.Config()
		if err != nil {
			return err
		}
		base = current.Revision
	}
	by := c.By
	if by == "" {
		by = currentUser()
	}
	reply, err := client.Apply(&ccoperator.ApplyRequest{Base: base, By: by, Document: doc})
	if errors.Is(err, ccteam.ErrConflict) {
		printDifference(o, client, doc)
	}
	if errors.Is(err, ccoperator.ErrInDoubt) {
		return errors.Mark(err, ErrUnknownEffect)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.out, "revision %d accepted\n", reply.Revision)
	if c.Wait {
		return c.waitFor(o, client, reply.Revision)
	}
	return nil
}

// printDifference prints the lines in which doc differs from the configuration in force. It prints nothing if the
// latter can't be read.
func printDifference(o *output, client *ccoperator.Client, doc ccteam.Document) {
	current, err := client.Config()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(o.out, "revision %d is in force; your file differs by:\n", current.Revision)
	_ = writeDifference(o.out, current.Document, doc)
}

// revisionPollInterval is the time between two queries of the revisions that the processes have in force.
const revisionPollInterval = 100 * time.Millisecond

// waitFor waits until all live processes have a revision in force. It fails after WaitMs.
func (c *applyCommand) waitFor(o *output, client *ccoperator.Client, revision uint64) error {
	deadline := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for {
		reply, err := client.Revisions()
		if err != nil {
			return err
		}
		var behind []string
		for _, m := range reply.Members {
			if m.Revision < revision {
				behind = append(behind, fmt.Sprintf("%s has revision %d", m.ID, m.Revision))
			}
		}
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(o.out, "revision %d is in force at all %d live processes\n", revision, len(reply.Members))
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("revision %d is accepted but not yet in force everywhere: %s", revision, strings.Join(behind, ", "))
		}
		time.Sleep(revisionPollInterval)
	}
}

// getCommand prints the configuration in force.
type getCommand struct {
	operatorOptions
}

// run implements runner.
func (c *getCommand) run(o *output) error {
	current, err := c.client().Config()
	if err != nil {
		return err
	}
	data, err := yaml.Marshal(current.Document)
	if err != nil {
		return errors.Wrap(err, "encoding the configuration")
	}
	_, err = fmt.Fprintf(o.out, "# revision %d\n%s", current.Revision, data)
	return errors.Wrap(err, "printing the configuration")
}

// diffCommand compares a file with the configuration in force.
type diffCommand struct {
	operatorOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration"`
	} `positional-args:"yes" required:"yes"`
}

// run implements runner.
func (c *diffCommand) run(o *output) error {
	doc, diagnostics, err := ccsettings.LoadDocument(c.Args.File)
	if err != nil {
		return err
	}
	if len(diagnostics) > 0 {
		return printDiagnostics(o, diagnostics)
	}
	current, err := c.client().Config()
	if err != nil {
		return err
	}
	return writeDifference(o.out, current.Document, doc)
}

// writeDifference prints the lines that only one of two documents has, from's with "-" and to's with "+".
func writeDifference(out io.Writer, from, to ccteam.Document) error {
	a, err := yaml.Marshal(from)
	if err != nil {
		return errors.Wrap(err, "encoding the configuration")
	}
	b, err := yaml.Marshal(to)
	if err != nil {
		return errors.Wrap(err, "encoding the configuration")
	}
	var text bytes.Buffer
	for _, line := range diffLines(splitLines(a), splitLines(b)) {
		text.WriteString(line + "\n")
	}
	_, err = out.Write(text.Bytes())
	return errors.Wrap(err, "printing the difference")
}

// splitLines splits a text into lines.
func splitLines(data []byte) []string {
	return strings.Split(strings.TrimRight(string(data), "\n"), "\n")
}

// diffLines returns the lines only in a, prefixed with "- ", and those only in b, prefixed with "+ ". It uses a longest
// common subsequence.
func diffLines(a, b []string) []string {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			common[i][j] = max(common[i+1][j], common[i][j+1])
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// historyCommand lists the last edits of the configuration.
type historyCommand struct {
	operatorOptions
}

// run implements runner.
func (c *historyCommand) run(o *output) error {
	reply, err := c.client().History()
	if err != nil {
		return err
	}
	for _, edit := range reply.Edits {
		_, _ = fmt.Fprintf(o.out, "%d\t%s\t%s\n", edit.Revision, edit.At.Format(time.RFC3339), edit.By)
	}
	return nil
}

// drainCommand begins the planned stop of a process.
type drainCommand struct {
	operatorOptions
}

// run implements runner.
func (c *drainCommand) run(o *output) error {
	if err := c.client().Drain(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.out, "draining")
	return nil
}

// dumpCommand prints the state of a process.
type dumpCommand struct {
	JSON bool `long:"json" description:"print everything as JSON"`
	Args struct {
		Address string `positional-arg-name:"ADDR" description:"operators' IP:PORT of the process"`
	} `positional-args:"yes" required:"yes"`
}

// run implements runner.
func (c *dumpCommand) run(o *output) error {
	client := ccoperator.NewClient(c.Args.Address)
	if c.JSON {
		return client.DumpRaw(o.out)
	}
	d, err := client.Dump()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.out, "process %s in %s, %s; revision %d; draining %v\n", d.ID, d.Region, d.FailureDomain, d.Revision, d.Draining)
	_, _ = fmt.Fprintf(o.out, "requests: %d in flight, %d waiting, mean service time %d ms\n", d.InFlight, d.Waiting, d.ServiceMs)
	for _, m := range d.Members {
		_, _ = fmt.Fprintf(o.out, "member %s at %s in %s: revision %d, %d of %d slots free, %d waiting\n", m.ID, m.Address, m.FailureDomain, m.Digest.Revision, m.Digest.FreeSlots, m.Digest.Slots, m.Digest.Waiting)
	}
	for _, s := range d.Shards {
		_, _ = fmt.Fprintf(o.out, "shard %s: owner %s, successor %s, epoch %d: %s\n", s.Shard, s.Record.Owner, s.Record.Successor, s.Record.Epoch, s.State)
	}
	for _, w := range d.Workers {
		_, _ = fmt.Fprintf(o.out, "worker %s: %d tasks, free %+v, ready %v, unreachable %v, quarantined %v\n", w.ID, w.Tasks, w.Free, w.Ready, w.Unreachable, w.Quarantined)
	}
	for name, b := range d.Buckets {
		_, _ = fmt.Fprintf(o.out, "bucket %s: %+v\n", name, b)
	}
	return nil
}

// versionCommand prints the version.
type versionCommand struct{}

// run implements runner.
func (c *versionCommand) run(o *output) error {
	_, err := fmt.Fprintf(o.out, "coriandercross %s %s\n", versionText, runtime.Version())
	return errors.Wrap(err, "printing the version")
}

// isTerminal reports whether a writer is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
