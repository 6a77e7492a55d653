package cccell

import (
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

// Check returns ErrBadConfig for a configuration without a version, with a route that lacks its prefix, name or
// service, with two teams that share a name or a key, or with a team whose limits are malformed.
func (c *Configuration) Check() error {
	if c.Version <= 0 {
		return errors.Wrapf(ErrBadConfig, "version %d is not positive", c.Version)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Prefix == "" || r.Queue.Name == "" || r.Queue.Service == "" {
			return errors.Wrapf(ErrBadConfig, "route %q lacks a name, a prefix or a service", r.Queue.Name)
		}
	}
	for i := range c.Teams {
		if err := c.Teams[i].Limits.Check(); err != nil {
			return errors.Mark(errors.Wrapf(err, "team %q", c.Teams[i].Name), ErrBadConfig)
		}
	}
	_, err := c.KeyTable()
	return err
}

// KeyTable returns the table of the teams' keys, nil if the configuration has no teams. It fails with ErrBadConfig.
func (c *Configuration) KeyTable() (*cckey.Table, error) {
	if len(c.Teams) == 0 {
		return nil, nil
	}
	t := cckey.NewTable()
	for i := range c.Teams {
		if err := t.Add(c.Teams[i].Name, c.Teams[i].Keys); err != nil {
			return nil, errors.Mark(err, ErrBadConfig)
		}
	}
	return t, nil
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
