package cccell

import (
	"fmt"
	"strings"

	"coriandercross/core/cckey"
	"coriandercross/core/ccquota"

	"github.com/cockroachdb/errors"
)

// ErrBadConfig reports a configuration that can't be activated.
var ErrBadConfig = errors.New("configuration is malformed")

// Route maps requests by host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  Queue
	// TimeoutMs is the time limit for the response to a caller.
	TimeoutMs int64
	// Public is true when requests need no API key.
	Public bool
}

// Team is a customer whose jobs are told apart by API keys.
type Team struct {
	Name   string
	Keys   []cckey.Digest
	Limits ccquota.Limits
}

// Configuration is the configuration that the operators have activated.
type Configuration struct {
	// Version increases with each edit.
	Version int64
	Routes  []Route
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64
	// Teams is empty when requests need no API keys.
	Teams []Team
}

// Problem is a reason for which a configuration can't be put in force.
type Problem struct {
	// Place is the path of the value from the root of the configuration, as in Teams[2].Keys.
	Place string
	// Name is the name of the team or queue, or empty.
	Name string
	// Err is an ErrBadConfig. It contains no key.
	Err error
}

// Check returns the first of Problems, an ErrBadConfig, or nil.
func (c *Configuration) Check() error {
	if problems := c.Problems(); len(problems) > 0 {
		return problems[0].Err
	}
	return nil
}

// Problems returns a problem for a version that is not positive, and for each route that lacks its prefix, name or
// service, each team whose limits are malformed, and each team that has the name or a key of a team before it.
func (c *Configuration) Problems() []Problem {
	var out []Problem
	if c.Version <= 0 {
		out = append(out, Problem{Place: "Version", Err: errors.Wrapf(ErrBadConfig, "version %d is not positive", c.Version)})
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Prefix == "" || r.Queue.Name == "" || r.Queue.Service == "" {
			out = append(out, Problem{fmt.Sprintf("Routes[%d]", i), r.Queue.Name, errors.Wrapf(ErrBadConfig, "route %q lacks a name, a prefix or a service", r.Queue.Name)})
		}
	}
	for i := range c.Teams {
		if err := c.Teams[i].Limits.Check(); err != nil {
			out = append(out, Problem{fmt.Sprintf("Teams[%d].Limits", i), c.Teams[i].Name, errors.Mark(errors.Wrapf(err, "team %q", c.Teams[i].Name), ErrBadConfig)})
		}
	}
	_, keyProblems := c.keyTable()
	return append(out, keyProblems...)
}

// KeyTable returns the table of the teams' keys, nil if the configuration has no teams. It fails with ErrBadConfig.
func (c *Configuration) KeyTable() (*cckey.Table, error) {
	t, problems := c.keyTable()
	if len(problems) > 0 {
		return nil, problems[0].Err
	}
	return t, nil
}

// keyTable is KeyTable with a problem for each team that can't be added to the table.
func (c *Configuration) keyTable() (*cckey.Table, []Problem) {
	if len(c.Teams) == 0 {
		return nil, nil
	}
	t := cckey.NewTable()
	var problems []Problem
	for i := range c.Teams {
		if err := t.Add(c.Teams[i].Name, c.Teams[i].Keys); err != nil {
			problems = append(problems, Problem{fmt.Sprintf("Teams[%d]", i), c.Teams[i].Name, errors.Mark(err, ErrBadConfig)})
		}
	}
	return t, problems
}

// Find returns the route with the longest prefix that matches a host and path, or nil.
func (c *Configuration) Find(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if (r.Host == "" || strings.EqualFold(r.Host, host)) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Queues returns the queues of all routes.
func (c *Configuration) Queues() []Queue {
	out := make([]Queue, 0, len(c.Routes))
	for i := range c.Routes {
		out = append(out, c.Routes[i].Queue)
	}
	return out
}
