// Package cclint checks a configuration before the operators send it: what the processes would refuse, what can never
// take effect, what contradicts itself, and what differs from the version in force.
package cclint

import (
	"fmt"

	"coriandercross/core/cccell"
)

// Severity says what a finding means for the one who is about to send the configuration.
type Severity string

const (
	// Error is a reason for which no process puts the configuration in force.
	Error Severity = "error"
	// Warning is what is very likely a mistake. The processes put the configuration in force all the same.
	Warning Severity = "warning"
	// Change is a difference from the version in force.
	Change Severity = "change"
)

// Finding is one result of the check. It contains no API key.
type Finding struct {
	Severity Severity
	// Place is the path of the value from the root of the configuration, as in Teams[3].Limits.Cap.MilliCores. That of a
	// removed entry is the list that it was in.
	Place string
	// Name is the name of the team or queue, or empty.
	Name string `json:",omitempty"`
	Text string
}

// Input is what a configuration is checked against. All but Config and Problems may be missing; what needs them is then
// not checked.
type Input struct {
	// Config is nil if the document could not be decoded.
	Config *cccell.Configuration
	// Problems are those that the processes find when they decode the document.
	Problems []cccell.Problem
	// InForce is the version in force.
	InForce *cccell.Configuration
	// Workers are the registered workers.
	Workers []cccell.WorkerInfo
	// Teams says what each team has running.
	Teams []cccell.TeamSummary
}

// findings collects findings.
type findings []Finding

// add adds a finding with a formatted text.
func (f *findings) add(severity Severity, place, name, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Place: place, Name: name, Text: fmt.Sprintf(format, args...)})
}

// Check returns the findings: the errors, then the warnings, then the changes, each in the order of the configuration.
func Check(in *Input) []Finding {
	out := findings{}
	for i := range in.Problems {
		p := &in.Problems[i]
		out.add(Error, p.Place, p.Name, "%v", p.Err)
	}
	if in.Config == nil {
		return out
	}
	if in.InForce != nil && in.Config.Version <= in.InForce.Version {
		out.add(Error, "Version", "", "version %d is not above version %d, which is in force", in.Config.Version, in.InForce.Version)
	}
	out.checkRoutes(in)
	out.checkTeams(in)
	if in.InForce != nil {
		out.compare(in.InForce, in.Config)
	}
	return out
}
