package cclint

import (
	"fmt"
	"reflect"
	"strings"

	"coriandercross/core/cccell"
)

// checkRoutes adds warnings about the routes and their queues.
func (f *findings) checkRoutes(in *Input) {
	routes := in.Config.Routes
	staffed := map[string]bool{}
	for i := range in.Workers {
		staffed[in.Workers[i].Service] = true
	}
	if in.Config.MaxBodyBytes < 0 {
		f.add(Warning, "MaxBodyBytes", "", "%d is negative; the default applies", in.Config.MaxBodyBytes)
	}
	for i := range routes {
		r, place := &routes[i], fmt.Sprintf("Routes[%d]", i)
		f.checkMatch(routes, i)
		f.checkQueue(place+".Queue", &r.Queue)
		if r.TimeoutMs < 0 {
			f.add(Warning, place+".TimeoutMs", r.Queue.Name, "%d is negative; the default applies", r.TimeoutMs)
		}
		if len(in.Workers) > 0 && r.Queue.Service != "" && !staffed[r.Queue.Service] {
			f.add(Warning, place+".Queue.Service", r.Queue.Name, "service %q has no worker", r.Queue.Service)
		}
		for j := range i {
			if q := &routes[j].Queue; q.Name != "" && q.Name == r.Queue.Name && !reflect.DeepEqual(q, &r.Queue) {
				f.add(Warning, place+".Queue", q.Name, "Routes[%d] has a queue of the same name with other settings; those of the last route count for both", j)
				break
			}
		}
	}
}

// checkMatch adds a warning if no request can match route i, or if each that does is sent to a route before it.
func (f *findings) checkMatch(routes []cccell.Route, i int) {
	r, place := &routes[i], fmt.Sprintf("Routes[%d]", i)
	if r.Prefix == "" {
		return // This is an error.
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?#%") {
		f.add(Warning, place+".Prefix", r.Queue.Name, "%q matches no request: a path begins with a slash, and it is compared decoded and without the query", r.Prefix)
	}
	// The port of a request's host is cut off. Only an IPv6 address has several colons.
	if strings.ContainsAny(r.Host, "/?#@* ") || strings.Count(r.Host, ":") == 1 {
		f.add(Warning, place+".Host", r.Queue.Name, "%q matches no request: a host is compared without scheme, port and wildcards", r.Host)
	}
	for j := range i {
		if h := &routes[j]; h.Prefix == r.Prefix && (h.Host == "" || strings.EqualFold(h.Host, r.Host)) {
			f.add(Warning, place, r.Queue.Name, "matches no request: Routes[%d], queue %q, comes before it with the same prefix and the same or any host", j, h.Queue.Name)
			return
		}
	}
}

// checkQueue adds warnings about the settings of a queue.
func (f *findings) checkQueue(place string, q *cccell.Queue) {
	if q.MaxAttempts <= 0 {
		f.add(Warning, place+".MaxAttempts", q.Name, "%d counts as 1: a job fails with the first failed attempt of a task", q.MaxAttempts)
	}
	if q.Priority < 0 {
		f.add(Warning, place+".Priority", q.Name, "%d is negative; 0 is the highest priority", q.Priority)
	}
	if q.TargetMs < 0 {
		f.add(Warning, place+".TargetMs", q.Name, "%d is negative", q.TargetMs)
	}
	if q.SlackFactor < 1 && q.TargetMs <= 0 {
		f.add(Warning, place+".SlackFactor", q.Name, "no job can meet its target: it is %g times the critical path and nothing more", q.SlackFactor)
	}
	if a := q.Advice; a != nil {
		if a.DecideMs < 0 || a.PerWorkerMs < 0 {
			f.add(Warning, place+".Advice", q.Name, "the duration of a call is negative")
		} else if a.ValidMs <= a.CallMs(1) {
			f.add(Warning, place+".Advice.ValidMs", q.Name, "a ticket lives %d ms, and a call that names one worker takes %d ms", a.ValidMs, a.CallMs(1))
		}
	}
}
