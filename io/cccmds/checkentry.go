package cccmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/cclint"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccsettings"
	"coriandercross/platform/ccplatform"

	"github.com/cockroachdb/errors"
)

// checkEntryCommand checks a configuration for the command entry before the operators write it to the store.
type checkEntryCommand struct {
	InForce string `long:"in-force" description:"file with the version in force, to compare with"`
	Workers string `long:"workers" description:"file with a JSON object that holds the registration of each worker under its ID"`
	Store   string `long:"store" description:"IP:PORT of the platform's store, to read the version in force and the workers from where no file is given"`
	Dump    string `long:"dump" description:"file with the state dump of the leader, to compare caps with what runs"`
	JSON    bool   `long:"json" description:"print the findings as a JSON array"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration"`
	} `positional-args:"yes" required:"yes"`
}

// storeReadTimeout bounds the reads from the store.
const storeReadTimeout = 5 * time.Second

// errNotLeader reports a state dump of a process that does not lead, which does not know what runs.
var errNotLeader = errors.New("state dump is not that of the leader")

// run implements runner. It fails with ccsettings.ErrInvalid if the processes would refuse the configuration.
func (c *checkEntryCommand) run(o *output) error {
	in, err := c.input(o)
	if err != nil {
		return err
	}
	if c.Store != "" {
		ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout)
		defer cancel()
		store := ccplatform.NewStoreClient(c.Store, func(string, int) {})
		if err := readStore(ctx, store, in, o); err != nil {
			return errors.Wrapf(err, "store %s", c.Store)
		}
	}
	findings := cclint.Check(in)
	if c.JSON {
		return printFindingsJSON(o, findings)
	}
	return printFindings(o, c.Args.File, findings)
}

// input reads the files. It prints the workers whose registrations can't be used.
func (c *checkEntryCommand) input(o *output) (*cclint.Input, error) {
	in := &cclint.Input{}
	raw, err := os.ReadFile(c.Args.File)
	if err != nil {
		return nil, errors.Wrap(err, "reading the configuration")
	}
	in.Config, in.Problems = ccplatform.DecodeConfiguration(raw)
	if c.InForce != "" {
		if raw, err = os.ReadFile(c.InForce); err != nil {
			return nil, errors.Wrap(err, "reading the version in force")
		}
		if in.InForce, err = ccplatform.NewConfigReader(nil).Decode(raw); err != nil {
			return nil, errors.Wrapf(err, "version in force, %s", c.InForce)
		}
	}
	if c.Workers != "" {
		if raw, err = os.ReadFile(c.Workers); err != nil {
			return nil, errors.Wrap(err, "reading the workers")
		}
		if in.Workers, err = ccplatform.DecodeWorkers(raw, o.workerLeftOut); err != nil {
			return nil, errors.Wrap(err, c.Workers)
		}
	}
	if c.Dump != "" {
		in.Teams, err = readTeams(c.Dump)
	}
	return in, err
}

// readTeams reads what each team has running from a file with the state dump of the leader. It fails with errNotLeader.
func readTeams(file string) ([]cccell.TeamSummary, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the state dump")
	}
	var dump cccontrol.Dump
	if err := json.Unmarshal(raw, &dump); err != nil {
		return nil, errors.Wrapf(err, "decoding the state dump %s", file)
	}
	if dump.Cell == nil {
		return nil, errors.Wrapf(errNotLeader, "%s: process %q, leader %q", file, dump.VM, dump.Leader)
	}
	return dump.Cell.Teams, nil
}

// readStore adds the version in force and the workers to in, where they are missing. It prints the workers whose
// registrations can't be used, and that there is no version in force.
func readStore(ctx context.Context, store cccontrol.Store, in *cclint.Input, o *output) error {
	if in.InForce == nil {
		reader := ccplatform.NewConfigReader(store)
		raw, _, err := reader.Read(ctx)
		switch {
		case errors.Is(err, cccontrol.ErrNoKey):
			_, _ = fmt.Fprintln(o.err, "coriandercross: the store has no configuration yet")
		case err != nil:
			return errors.Wrap(err, "reading the version in force")
		default:
			if in.InForce, err = reader.Decode(raw); err != nil {
				return errors.Wrap(err, "version in force")
			}
		}
	}
	if in.Workers != nil {
		return nil
	}
	var err error
	in.Workers, _, _, err = ccplatform.NewDirectory(store, o.workerLeftOut).List(ctx)
	return errors.Wrap(err, "reading the workers")
}

// workerLeftOut prints that the registration of a worker can't be used.
func (o *output) workerLeftOut(id string, err error) {
	_, _ = fmt.Fprintf(o.err, "coriandercross: worker %s left out: %v\n", id, err)
}

// printFindings prints the warnings and changes, then the errors as those of the command check. It fails with
// ccsettings.ErrInvalid if there are errors.
func printFindings(o *output, file string, findings []cclint.Finding) error {
	var failed []ccsettings.Diagnostic
	ok := true
	for i := range findings {
		f := &findings[i]
		d := ccsettings.Diagnostic{File: file, Path: f.Place, Problem: string(f.Severity) + ": " + f.Text}
		if f.Name != "" {
			d.Problem = fmt.Sprintf("%s: %q: %s", f.Severity, f.Name, f.Text)
		}
		if f.Severity == cclint.Error {
			failed = append(failed, d)
			continue
		}
		ok = ok && f.Severity == cclint.Change
		_, _ = fmt.Fprintln(o.out, d.String())
	}
	if len(failed) > 0 {
		return printDiagnostics(o, failed)
	}
	if ok {
		_, _ = fmt.Fprintf(o.out, "%s: ok\n", file)
	}
	return nil
}

// printFindingsJSON prints all findings as a JSON array. It fails with ccsettings.ErrInvalid if there are errors.
func printFindingsJSON(o *output, findings []cclint.Finding) error {
	n := 0
	for i := range findings {
		if findings[i].Severity == cclint.Error {
			n++
		}
	}
	enc := json.NewEncoder(o.out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(findings); err != nil {
		return errors.Wrap(err, "printing the findings")
	}
	if n > 0 {
		return errors.Wrapf(ccsettings.ErrInvalid, "%d problems", n)
	}
	return nil
}
