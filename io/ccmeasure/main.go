package ccmeasure

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Program  string   `long:"program" description:"path of the coriandercross binary" default:"bin/coriandercross"`
	Standin  string   `long:"standin" description:"path of the standin binary" default:"bin/standin"`
	Only     []string `long:"only" description:"part to measure; can be repeated (default: all parts)"`
	Capacity bool     `long:"capacity" description:"print the capacity tables for the target size instead"`
	Report   string   `long:"report" description:"folder to write MEASUREMENTS.md and the plots to"`
}

// part is a group of figures that are measured together. The option --only selects it by name.
type part struct {
	name    string
	measure func(o *options) ([]Row, error)
}

// simulated returns a part whose measurement starts no processes.
func simulated(name string, f func() []Row) part {
	return part{name, func(*options) ([]Row, error) { return f(), nil }}
}

// parts lists the parts in the order in which they are measured.
var parts = []part{
	simulated("crest", Burst),
	simulated("routing", Routing),
	simulated("urgent", Urgent),
	simulated("slowdown", Slowdown),
	simulated("packing", Packing),
	simulated("goodput", Goodput),
	simulated("decision", Decision),
	simulated("cancellation", Cancellation),
	{"idle", Idle},
	{"proxy", Proxy},
	{"store", Store},
	{"takeover", Takeover},
}

// Main measures the parts that args select, prints their rows to out, and writes the report if args ask for it.
func Main(args []string, out io.Writer) error {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		return errors.Wrap(err, "parsing options")
	}
	if o.Capacity {
		return Capacity(&o, out)
	}
	var all []Row
	for _, p := range parts {
		if len(o.Only) > 0 && !slices.Contains(o.Only, p.name) {
			continue
		}
		rows, err := p.measure(&o)
		if err != nil {
			return errors.Wrapf(err, "measuring %s", p.name)
		}
		Print(out, rows)
		all = append(all, rows...)
	}
	if o.Report == "" {
		return nil
	}
	return writeReport(o.Report, all)
}
