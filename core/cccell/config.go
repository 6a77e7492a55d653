package cccell

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrBadConfig reports a configuration that can't be put in force.
var ErrBadConfig = errors.New("configuration is malformed")

// Route sends the callers of a host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  Queue
	// TimeoutMs bounds the answer to a caller.
	TimeoutMs int64
}

// Configuration is what the operators have put in force.
type Configuration struct {
	// Version rises with each edit.
	Version int64
	Routes  []Route
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Check returns ErrBadConfig for a configuration without a version, or with a route that can't be told from others.
func (c *Configuration) Check() error {
	if c.Version <= 0 {
		return errors.Wrapf(ErrBadConfig, "version %d", c.Version)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Prefix == "" || r.Queue.Name == "" || r.Queue.Service == "" {
			return errors.Wrapf(ErrBadConfig, "route %q lacks its name, prefix or service", r.Queue.Name)
		}
	}
	return nil
}

// Find returns the route of a host and path: the one with the longest prefix. It returns nil when there is none.
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
