// Package ccteam holds the operators' configuration: templates, teams and their checks.
package ccteam

import (
	"fmt"
	"maps"
	"slices"

	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Errors of a configuration.
var (
	// ErrInvalid reports a document with at least one fault.
	ErrInvalid = errors.New("configuration is invalid")
	// ErrConflict reports an edit made on a revision that is no longer in force.
	ErrConflict = errors.New("configuration was changed by another edit")
)

// Document is the whole configuration of a cell, as operators write it.
type Document struct {
	// Templates are the shapes that teams are created from, by name.
	Templates map[string]Template `yaml:"Templates"`
	// Teams are the trade customers, by name.
	Teams map[string]Team `yaml:"Teams"`
}

// Template is a shape of team.
type Template struct {
	// Kinds are the kinds of work that a team may send, by name.
	Kinds map[string]Kind `yaml:"Kinds"`
	// Limits are the limits of a team that sets none.
	Limits Limits `yaml:"Limits"`
}

// Kind is a kind of work and its policy.
type Kind struct {
	// Class selects the policy.
	Class ccwork.Class `yaml:"Class"`
	// Urgency orders work of one deadline, 0 to 9; 9 is the most urgent.
	Urgency int `yaml:"Urgency,omitempty"`
	// StartDeadlineMs is the longest time from arrival to start.
	StartDeadlineMs int64 `yaml:"StartDeadlineMs,omitempty"`
	// MaxRunMs is the longest run; 0 means no limit.
	MaxRunMs int64 `yaml:"MaxRunMs,omitempty"`
	// NonIdempotent work runs at most once.
	NonIdempotent bool `yaml:"NonIdempotent,omitempty"`
	// Long work is kept off the slots reserved for urgent work.
	Long bool `yaml:"Long,omitempty"`
	// CrossRegion allows the work to leave its caller's region.
	CrossRegion bool `yaml:"CrossRegion,omitempty"`
	// Size is what one task takes.
	Size ccwork.Size `yaml:"Size"`
	// MaxFailures is how often one task may fail before its job fails.
	MaxFailures int `yaml:"MaxFailures,omitempty"`
}

// Limits bound what a team may use.
type Limits struct {
	// Quota bounds the sum of running tasks; a zero part is unbounded.
	Quota ccwork.Size `yaml:"Quota,omitempty"`
	// MaxWaiting bounds the team's requests waiting in one process.
	MaxWaiting int `yaml:"MaxWaiting,omitempty"`
	// RetryPercent bounds retries as a share of first tries.
	RetryPercent int `yaml:"RetryPercent,omitempty"`
	// CrossRegionKBPerHour bounds bytes over the link between regions.
	CrossRegionKBPerHour int64 `yaml:"CrossRegionKBPerHour,omitempty"`
	// Weight is the team's share relative to others.
	Weight int `yaml:"Weight,omitempty"`
}

// Team is a trade customer.
type Team struct {
	// Template names the shape that the team was created from.
	Template string `yaml:"Template"`
	// Regions are where the team's callers and endpoints stand.
	Regions []string `yaml:"Regions,omitempty"`
	// Limits override those of the template where not zero.
	Limits Limits `yaml:"Limits,omitempty"`
	// Kinds override single kinds of the template.
	Kinds map[string]Kind `yaml:"Kinds,omitempty"`
}

// Kind returns the policy for work of a team, with defaults filled in.
// It fails with ccwork.ErrUnknownKind.
func (d *Document) Kind(team, kind string) (Kind, error) {
	t, ok := d.Teams[team]
	if !ok {
		return Kind{}, errors.Wrapf(ccwork.ErrUnknownKind, "team %q", team)
	}
	k, ok := t.Kinds[kind]
	if !ok {
		k, ok = d.Templates[t.Template].Kinds[kind]
	}
	if !ok {
		return Kind{}, errors.Wrapf(ccwork.ErrUnknownKind, "kind %q of team %q", kind, team)
	}
	return k.withDefaults(), nil
}

// LimitsOf returns a team's limits: its own, then its template's, then the defaults.
func (d *Document) LimitsOf(team string) Limits {
	t := d.Teams[team]
	base := d.Templates[t.Template].Limits
	own := t.Limits
	if own.Quota != (ccwork.Size{}) {
		base.Quota = own.Quota
	}
	base.MaxWaiting = firstNonZero(own.MaxWaiting, base.MaxWaiting, defaultMaxWaiting)
	base.RetryPercent = firstNonZero(own.RetryPercent, base.RetryPercent, defaultRetryPercent)
	base.Weight = firstNonZero(own.Weight, base.Weight, defaultWeight)
	base.CrossRegionKBPerHour = firstNonZero(own.CrossRegionKBPerHour, base.CrossRegionKBPerHour)
	return base
}

const (
	defaultStartDeadlineMs = 2_300
	batchStartDeadlineMs   = 3_600_000
	defaultMaxWaiting      = 1_000
	defaultRetryPercent    = 10
	defaultWeight          = 1
	defaultMaxFailures     = 3
	maxUrgency             = 9
)

// withDefaults returns the kind with every unset limit filled in.
func (k Kind) withDefaults() Kind {
	if k.StartDeadlineMs == 0 {
		k.StartDeadlineMs = batchStartDeadlineMs
		if k.Class == ccwork.Interactive {
			k.StartDeadlineMs = defaultStartDeadlineMs
		}
	}
	k.MaxFailures = firstNonZero(k.MaxFailures, defaultMaxFailures)
	k.Size.Slots = firstNonZero(k.Size.Slots, 1)
	k.Size.Connections = firstNonZero(k.Size.Connections, 1)
	return k
}

// firstNonZero returns the first value that is not zero.
func firstNonZero[N int | int64](values ...N) N {
	for _, v := range values {
		if v != 0 {
			return v
		}
	}
	return 0
}

// Diagnostic is one thing wrong with a document.
type Diagnostic struct {
	// Path is the place, as keys joined by dots.
	Path string
	// Problem says what is wrong and what is accepted.
	Problem string
}

// String returns the fault on one line.
func (d Diagnostic) String() string {
	return d.Path + ": " + d.Problem
}

// Check returns every fault of the document, ordered by place.
func (d *Document) Check() []Diagnostic {
	var c checker
	if len(d.Templates) == 0 {
		c.add("Templates", "must have at least one template")
	}
	for _, name := range slices.Sorted(maps.Keys(d.Templates)) {
		c.template("Templates."+name, d.Templates[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Teams)) {
		c.team("Teams."+name, d.Teams[name], d.Templates)
	}
	return c.diagnostics
}

// checker gathers faults.
type checker struct {
	diagnostics []Diagnostic
}

// add notes one fault.
func (c *checker) add(path, format string, args ...any) {
	c.diagnostics = append(c.diagnostics, Diagnostic{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// template checks one template.
func (c *checker) template(path string, t Template) {
	if len(t.Kinds) == 0 {
		c.add(path+".Kinds", "must have at least one kind")
	}
	c.kinds(path, t.Kinds)
	c.limits(path+".Limits", t.Limits)
}

// kinds checks kinds in the order of their names.
func (c *checker) kinds(path string, kinds map[string]Kind) {
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		c.kind(path+".Kinds."+name, kinds[name])
	}
}

// kind checks one kind.
func (c *checker) kind(path string, k Kind) {
	if k.Class.Check() != nil {
		c.add(path+".Class", "%q is not accepted; use Interactive, Batch, Gang or Service", string(k.Class))
	}
	if k.Urgency < 0 || k.Urgency > maxUrgency {
		c.add(path+".Urgency", "%d is not accepted; use 0 to %d", k.Urgency, maxUrgency)
	}
	if min(k.StartDeadlineMs, k.MaxRunMs, int64(k.MaxFailures)) < 0 {
		c.add(path, "StartDeadlineMs, MaxRunMs and MaxFailures must not be negative")
	}
	if k.Size.Check() != nil {
		c.add(path+".Size", "must not have a negative part")
	}
	if k.Size.MilliCores == 0 && k.Size.MemoryMB == 0 {
		c.add(path+".Size", "must set MilliCores or MemoryMB")
	}
	if k.Class == ccwork.Interactive && k.Long {
		c.add(path+".Long", "interactive work can't be long")
	}
}

// limits checks one set of limits.
func (c *checker) limits(path string, l Limits) {
	if l.Quota.Check() != nil {
		c.add(path+".Quota", "must not have a negative part")
	}
	if min(int64(l.MaxWaiting), int64(l.Weight), l.CrossRegionKBPerHour) < 0 {
		c.add(path, "MaxWaiting, Weight and CrossRegionKBPerHour must not be negative")
	}
	if l.RetryPercent < 0 || l.RetryPercent > 100 {
		c.add(path+".RetryPercent", "%d is not accepted; use 0 to 100", l.RetryPercent)
	}
}

// team checks one team against the templates.
func (c *checker) team(path string, t Team, templates map[string]Template) {
	if _, ok := templates[t.Template]; !ok {
		names := slices.Sorted(maps.Keys(templates))
		c.add(path+".Template", "%q is not a template; use one of %v", t.Template, names)
	}
	c.kinds(path, t.Kinds)
	c.limits(path+".Limits", t.Limits)
}
