// Package ccteam holds the configuration that operators write, made of templates and teams, and validates it.
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
	// ErrInvalid reports a document with at least one problem.
	ErrInvalid = errors.New("configuration is invalid")
	// ErrConflict reports an edit that is based on a revision that is no longer in force.
	ErrConflict = errors.New("configuration was changed by another edit")
)

// Document is the whole configuration of a cell, as operators write it.
type Document struct {
	// Templates are the templates for teams, by name.
	Templates map[string]Template `yaml:"Templates"`
	// Teams are the customers, by name.
	Teams map[string]Team `yaml:"Teams"`
}

// Template is the common configuration of the teams that name it.
type Template struct {
	// Kinds are the kinds of work that a team may send, by name.
	Kinds map[string]Kind `yaml:"Kinds"`
	// Limits are the limits of a team that sets none itself.
	Limits Limits `yaml:"Limits"`
}

// Kind is a kind of work and its policy.
type Kind struct {
	// Class selects the policy.
	Class ccwork.Class `yaml:"Class"`
	// Urgency orders work with the same deadline, from 0 to 9; 9 is the most urgent.
	Urgency int `yaml:"Urgency,omitempty"`
	// StartDeadlineMs is the maximum time from arrival to start.
	StartDeadlineMs int64 `yaml:"StartDeadlineMs,omitempty"`
	// MaxRunMs is the maximum run time; 0 means no limit.
	MaxRunMs int64 `yaml:"MaxRunMs,omitempty"`
	// NonIdempotent is true for work that must run at most once.
	NonIdempotent bool `yaml:"NonIdempotent,omitempty"`
	// Long is true for work that may not use the slots reserved for urgent work.
	Long bool `yaml:"Long,omitempty"`
	// CrossRegion is true for work that may leave the region of its caller.
	CrossRegion bool `yaml:"CrossRegion,omitempty"`
	// Size is the capacity that one task uses.
	Size ccwork.Size `yaml:"Size"`
	// MaxFailures is the number of failures of one task that makes its job fail.
	MaxFailures int `yaml:"MaxFailures,omitempty"`
}

// Limits are the limits of a team.
type Limits struct {
	// Quota limits the sum of the sizes of running tasks; a value of 0 means no limit.
	Quota ccwork.Size `yaml:"Quota,omitempty"`
	// MaxWaiting limits the team's waiting requests in each process.
	MaxWaiting int `yaml:"MaxWaiting,omitempty"`
	// RetryPercent limits retries, as a percentage of first attempts.
	RetryPercent int `yaml:"RetryPercent,omitempty"`
	// CrossRegionKBPerHour limits the kilobytes per hour over the link between regions; 0 means no limit.
	CrossRegionKBPerHour int64 `yaml:"CrossRegionKBPerHour,omitempty"`
	// Weight is the team's share relative to other teams. It is validated, but not used for scheduling.
	Weight int `yaml:"Weight,omitempty"`
}

// Team is the configuration of a customer.
type Team struct {
	// Template is the name of the team's template.
	Template string `yaml:"Template"`
	// Regions are the regions of the team's callers and endpoints.
	Regions []string `yaml:"Regions,omitempty"`
	// Limits override those of the template. A value of 0 does not override.
	Limits Limits `yaml:"Limits,omitempty"`
	// Kinds override whole kinds of the template, or add to them.
	Kinds map[string]Kind `yaml:"Kinds,omitempty"`
}

// Kind returns a kind of work of a team, with defaults for values that are not set. It fails with
// ccwork.ErrUnknownKind.
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

// LimitsOf returns a team's limits. Each is the team's own, or else its template's, or else the default.
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

// withDefaults returns the kind with defaults for the values that are not set.
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

// firstNonZero returns the first value that is not zero, or 0.
func firstNonZero[N int | int64](values ...N) N {
	for _, v := range values {
		if v != 0 {
			return v
		}
	}
	return 0
}

// Diagnostic is one problem of a document.
type Diagnostic struct {
	// Path is the place of the problem, as keys joined by dots.
	Path string
	// Problem says what is wrong and what is accepted.
	Problem string
}

// String returns the diagnostic on one line.
func (d Diagnostic) String() string {
	return d.Path + ": " + d.Problem
}

// Check returns all problems of the document, first those of templates, then those of teams, each ordered by name.
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

// checker collects diagnostics.
type checker struct {
	diagnostics []Diagnostic
}

// add adds a diagnostic.
func (c *checker) add(path, format string, args ...any) {
	c.diagnostics = append(c.diagnostics, Diagnostic{Path: path, Problem: fmt.Sprintf(format, args...)})
}

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
		c.add(path+".Size", "must not have a negative value")
	}
	if k.Size.MilliCores == 0 && k.Size.MemoryMB == 0 {
		c.add(path+".Size", "must set MilliCores or MemoryMB")
	}
	if k.Class == ccwork.Interactive && k.Long {
		c.add(path+".Long", "interactive work can't be long")
	}
}

func (c *checker) limits(path string, l Limits) {
	if l.Quota.Check() != nil {
		c.add(path+".Quota", "must not have a negative value")
	}
	if min(int64(l.MaxWaiting), int64(l.Weight), l.CrossRegionKBPerHour) < 0 {
		c.add(path, "MaxWaiting, Weight and CrossRegionKBPerHour must not be negative")
	}
	if l.RetryPercent < 0 || l.RetryPercent > 100 {
		c.add(path+".RetryPercent", "%d is not accepted; use 0 to 100", l.RetryPercent)
	}
}

// team checks a team, including that its template exists.
func (c *checker) team(path string, t Team, templates map[string]Template) {
	if _, ok := templates[t.Template]; !ok {
		names := slices.Sorted(maps.Keys(templates))
		c.add(path+".Template", "%q is not a template; use one of %v", t.Template, names)
	}
	c.kinds(path, t.Kinds)
	c.limits(path+".Limits", t.Limits)
}
