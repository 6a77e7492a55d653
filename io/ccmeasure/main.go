package ccmeasure

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// options are the options of the command.
type options struct {
	Program  string   `long:"program" description:"built coriandercross" default:"bin/coriandercross"`
	Standin  string   `long:"standin" description:"built standin" default:"bin/standin"`
	Only     []string `long:"only" description:"name of a part to measure; all when left out"`
	Capacity bool     `long:"capacity" description:"print the table of capacity at the target instead"`
	Report   string   `long:"report" description:"folder that receives MEASUREMENTS.md and plots"`
}

// part is one group of figures.
type part struct {
	name    string
	measure func(o *options) ([]Row, error)
}

// simulated makes a part of a measurement that needs no processes.
func simulated(name string, f func() []Row) part {
	return part{name, func(*options) ([]Row, error) { return f(), nil }}
}

// parts are measured in this order.
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

// Main measures and prints.
func Main(args []string, out io.Writer) error {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		return errors.Wrap(err, "reading options")
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
