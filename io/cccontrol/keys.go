package cccontrol

import (
	"context"
	"strings"

	"coriandercross/core/cccell"
	"coriandercross/core/cckey"

	"github.com/cockroachdb/errors"
)

// Errors of requests that the caller's key does not permit.
var (
	// ErrUnknownKey reports a request without a key of any team, on a route that needs one.
	ErrUnknownKey = errors.New("API key is missing or unknown")
	// ErrOtherTeam reports a submission whose ID another team has used.
	ErrOtherTeam = errors.New("ID is that of a job of another team")
)

// Caller is who makes a request, by the configuration that was in force when the request came: a change of the keys
// while it waits does not affect it.
type Caller struct {
	// Team is the name of the team, or empty if the configuration has no teams or the request has no known key.
	Team string
	// Key is the key of the request, or 0.
	Key cckey.ID
	// Queue is the name of the queue of the request's route.
	Queue string
	// UsedMs is the part of its time that the caller has used before this request, 0 for none. If it has used some, another
	// process may have got the same submission.
	UsedMs ms
	// keys are the keys of all teams, nil if the configuration has no teams.
	keys *cckey.Table
}

// Admit returns the route of a request and its caller. authorization is the header of that name. It fails with
// ErrNoConfig, ErrNoRoute or ErrUnknownKey.
func (p *Process) Admit(host, path, authorization string) (*cccell.Route, Caller, error) {
	c := p.config.Load()
	if c == nil {
		return nil, Caller{}, ErrNoConfig
	}
	r := c.config.Find(host, path)
	if r == nil {
		return nil, Caller{}, ErrNoRoute
	}
	caller := Caller{Queue: r.Queue.Name, keys: c.keys}
	if c.keys == nil {
		return r, caller, nil
	}
	shown := "none"
	if key := headerKey(authorization); key != "" {
		digest := cckey.Of(key)
		if caller.Team = c.keys.Team(&digest); caller.Team != "" {
			caller.Key = digest.ID()
			return r, caller, nil
		}
		shown = digest.String()
	}
	if r.Public {
		return r, caller, nil
	}
	p.cfg.Metrics.unknownKeys.WithLabelValues(r.Queue.Name).Inc()
	p.decision("key unknown", "Queue", r.Queue.Name, "Digest", shown, "Version", c.config.Version)
	return nil, Caller{}, ErrUnknownKey
}

// keyScheme is the scheme of the Authorization header.
const keyScheme = "Token"

// headerKey returns the key in an Authorization header, or "" if there is none.
func headerKey(authorization string) string {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, keyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// isTeam reports whether the caller may access a job of the named team, whatever else its owner is. A job without a
// team, or read from a process of a release without teams, belongs to nobody.
func (c *Caller) isTeam(team string) bool {
	return c.keys == nil || team == "" || team == c.Team
}

// mayAccess reports whether the caller may read, cancel or repeat a job.
func (c *Caller) mayAccess(o *cccell.Owner) bool {
	switch {
	case c.isTeam(o.Team):
		return true
	case c.Team == "":
		return o.Queue == c.Queue // Without a key on a public route, which may have needed one before.
	}
	// The team may have been renamed since.
	return !c.keys.Has(o.Team) && o.Key != 0 && c.keys.TeamByID(o.Key) == c.Team
}

// authorize reports whether the caller may access a job of which only the team is known. Unless the team settles it, it
// reads the owner from the store. It fails with ErrStateUnknown or ErrBadRecord.
func (p *Process) authorize(ctx context.Context, caller *Caller, id, team string) (bool, error) {
	if caller.isTeam(team) {
		return true, nil
	}
	job, err := p.readState(ctx, id, true)
	if errors.Is(err, ErrNoJob) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return p.checkOwner(caller, id, &job.owner), nil
}

// checkOwner reports whether the caller may access a job, and records a refusal.
func (p *Process) checkOwner(caller *Caller, id string, o *cccell.Owner) bool {
	if caller.mayAccess(o) {
		return true
	}
	p.decision("job of another team", "Job", id, "Team", caller.Team, "Owner", o.Team, "Queue", caller.Queue)
	return false
}
