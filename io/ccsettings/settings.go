// Package ccsettings reads the YAML files of operators: the settings of a process, and the configuration of the cell.
// Decoding is strict: unknown keys are rejected, and all problems of a file are reported at once, with their lines.
package ccsettings

import (
	"net"
	"os"
	"reflect"
	"slices"

	"coriandercross/core/ccroute"
	"coriandercross/core/ccteam"
	"coriandercross/io/ccnode"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// ErrInvalid reports a file with at least one diagnostic.
var ErrInvalid = errors.New("file is invalid")

// Settings are the settings of one process.
type Settings struct {
	// VM is the platform's name for the VM on which the process runs.
	VM            string `yaml:"VM"`
	Region        string `yaml:"Region"`
	FailureDomain string `yaml:"FailureDomain"`
	Listen        Listen `yaml:"Listen"`
	// Store and VMList are the IP:PORT of the store and of the VM list service.
	Store  string `yaml:"Store"`
	VMList string `yaml:"VMList"`
	// Seeds are the IP:PORT of some peers to contact first. The VM list gives the others.
	Seeds   []string       `yaml:"Seeds,omitempty"`
	Routing ccroute.Policy `yaml:"Routing,omitempty"`
	Timing  ccnode.Timing  `yaml:"Timing,omitempty"`
	Limits  ccnode.Limits  `yaml:"Limits,omitempty"`
	Log     Log            `yaml:"Log,omitempty"`
}

// Listen holds the IP:PORT on which the process listens, by kind of client.
type Listen struct {
	Callers   string `yaml:"Callers"`
	Peers     string `yaml:"Fellows"`
	Operators string `yaml:"Operators"`
}

// Log selects the level and format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"Level,omitempty"`
	// Format is text, json or logfmt.
	Format string `yaml:"Format,omitempty"`
	// Layers overrides the level of single layers: node, caller.
	Layers map[string]string `yaml:"Layers,omitempty"`
}

// Diagnostic is one problem of a file.
type Diagnostic struct {
	File string
	// Line counts from 1. It is 0 if the problem has no line, as with a missing key at the top level. A missing key
	// below another key has the line of the latter.
	Line int
	// Path holds the keys from the root of the file, separated by dots.
	Path    string
	Problem string
}

// Default returns the settings that apply where a file does not set a key.
func Default() Settings {
	return Settings{
		Routing: ccroute.TwoChoices,
		Timing:  ccnode.DefaultTiming(),
		Limits:  ccnode.DefaultLimits(),
		Log:     Log{Level: "info", Format: "logfmt"},
	}
}

// Load reads the settings of a process. It returns all diagnostics, ordered by line. The error is only for a file that
// can't be read.
func Load(file string) (Settings, []Diagnostic, error) {
	s := Default()
	diagnostics, err := load(file, &s, (&s).check)
	return s, diagnostics, err
}

// LoadDocument reads a configuration of the cell, which is a ccteam.Document. It returns all diagnostics, ordered by
// line. The error is only for a file that can't be read.
func LoadDocument(file string) (ccteam.Document, []Diagnostic, error) {
	var d ccteam.Document
	diagnostics, err := load(file, &d, (&d).Check)
	return d, diagnostics, err
}

// load strictly decodes a file into the struct that into points to, and then runs check. A file that is not YAML has
// one diagnostic.
func load(file string, into any, check func() []ccteam.Diagnostic) ([]Diagnostic, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the file")
	}
	t, err := parse(data)
	if err != nil {
		return []Diagnostic{{File: file, Line: errorLine(err), Problem: firstLine(err)}}, nil
	}
	diagnostics := t.unknownKeys(reflect.TypeOf(into).Elem())
	if err := yaml.Unmarshal(data, into); err != nil {
		diagnostics = append(diagnostics, Diagnostic{Line: errorLine(err), Problem: firstLine(err)})
	} else {
		for _, d := range check() {
			diagnostics = append(diagnostics, Diagnostic{Line: t.line(d.Path), Path: d.Path, Problem: d.Problem})
		}
	}
	for i := range diagnostics {
		diagnostics[i].File = file
	}
	slices.SortStableFunc(diagnostics, func(a, b Diagnostic) int { return a.Line - b.Line })
	return diagnostics, nil
}

// IsDocument reports whether a file looks like a configuration of the cell rather than settings. It is false for a file
// that can't be read.
func IsDocument(file string) bool {
	data, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	var keys map[string]any
	if yaml.Unmarshal(data, &keys) != nil {
		return false
	}
	_, templates := keys["Templates"]
	_, teams := keys["Teams"]
	return templates || teams
}

// check returns the diagnostics of decoded settings.
func (s *Settings) check() []ccteam.Diagnostic {
	var c validator
	c.required("VM", s.VM)
	c.required("Region", s.Region)
	c.required("FailureDomain", s.FailureDomain)
	c.ipPort("Listen.Callers", s.Listen.Callers)
	c.ipPort("Listen.Fellows", s.Listen.Peers)
	c.ipPort("Listen.Operators", s.Listen.Operators)
	c.ipPort("Store", s.Store)
	c.ipPort("VMList", s.VMList)
	for _, seed := range s.Seeds {
		c.ipPort("Seeds", seed)
	}
	c.oneOf("Routing", string(s.Routing), string(ccroute.TwoChoices), string(ccroute.LeastWait), string(ccroute.Random))
	c.oneOf("Log.Level", s.Log.Level, logLevels...)
	c.oneOf("Log.Format", s.Log.Format, "text", "json", "logfmt")
	for layer, level := range s.Log.Layers {
		c.oneOf("Log.Layers", layer, "node", "caller")
		c.oneOf("Log.Layers."+layer, level, logLevels...)
	}
	c.numbersInRange("Timing", reflect.ValueOf(s.Timing))
	c.numbersInRange("Limits", reflect.ValueOf(s.Limits))
	c.checkTimingConstraints(&s.Timing, &s.Limits)
	return c.diagnostics
}

var logLevels = []string{"debug", "info", "warn", "error"}

// validator collects diagnostics.
type validator struct {
	diagnostics []ccteam.Diagnostic
}

// add adds a diagnostic.
func (c *validator) add(path, problem string) {
	c.diagnostics = append(c.diagnostics, ccteam.Diagnostic{Path: path, Problem: problem})
}

// required checks that a value is not empty.
func (c *validator) required(path, value string) {
	if value == "" {
		c.add(path, "must be set")
	}
}

// ipPort checks that a value is IP:PORT.
func (c *validator) ipPort(path, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.add(path, quote(value)+" is not accepted; use IP:PORT")
	}
}

// oneOf checks that a value is one of those accepted.
func (c *validator) oneOf(path, value string, accepted ...string) {
	for _, a := range accepted {
		if value == a {
			return
		}
	}
	c.add(path, quote(value)+" is not accepted; use one of "+join(accepted))
}

// numbersInRange checks that every field of a struct of integers is above 0, and that percentages are at most 100.
// ReservePercent, QuarantinePercent, PromiseMs and RequestMemoryMB may also be 0. Paths and exceptions use the Go names of the fields,
// which are also their YAML keys.
func (c *validator) numbersInRange(path string, v reflect.Value) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		n := v.Field(i).Int()
		if n < 0 || n == 0 && !slices.Contains([]string{"ReservePercent", "QuarantinePercent", "PromiseMs", "RequestMemoryMB"}, name) {
			c.add(path+"."+name, "must be above 0")
		}
		if n > 100 && (name == "ReservePercent" || name == "QuarantinePercent") {
			c.add(path+"."+name, "must be 0 to 100")
		}
	}
}

// checkTimingConstraints checks intervals, leases and numbers of buckets against each other and against fixed limits.
func (c *validator) checkTimingConstraints(t *ccnode.Timing, l *ccnode.Limits) {
	if t.WindowMs <= t.FlightMs+t.DriftMs {
		c.add("Timing.WindowMs", "must be above FlightMs + DriftMs, or no start is ever permitted")
	}
	if t.PromiseMs > 0 && t.PromiseMs <= t.GossipMs+t.FlightMs+t.DriftMs {
		c.add("Timing.PromiseMs", "must be above GossipMs + FlightMs + DriftMs, or successors' grants expire between gossip rounds")
	}
	if t.TaskLeaseMs <= 2*t.SyncMs {
		c.add("Timing.TaskLeaseMs", "must be above twice SyncMs, or leases expire between renewals")
	}
	if t.SuspectMs <= 2*t.GossipMs {
		c.add("Timing.SuspectMs", "must be above twice GossipMs, or every late gossip round makes a peer suspect")
	}
	if l.JobBuckets > maxBucketCount || l.IntentBuckets > maxBucketCount {
		c.add("Limits", "JobBuckets and IntentBuckets must be at most 1024")
	}
}

const maxBucketCount = 1024
