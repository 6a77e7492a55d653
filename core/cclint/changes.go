package cclint

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"coriandercross/core/cccell"
	"coriandercross/core/cckey"
)

// compare adds the changes from the configuration old to c. Routes are told apart by host and prefix, as requests do,
// and teams by name. Of entries that share these, only the first counts.
func (f *findings) compare(old, c *cccell.Configuration) {
	f.compareValues("Version", "", reflect.ValueOf(old.Version), reflect.ValueOf(c.Version))
	f.compareValues("MaxBodyBytes", "", reflect.ValueOf(old.MaxBodyBytes), reflect.ValueOf(c.MaxBodyBytes))
	compareLists(f, "Routes", old.Routes, c.Routes, func(r *cccell.Route) (id, name, text string) {
		id = strings.ToLower(r.Host) + r.Prefix
		return id, r.Queue.Name, fmt.Sprintf("host %q, prefix %q, service %q", r.Host, r.Prefix, r.Queue.Service)
	})
	compareLists(f, "Teams", old.Teams, c.Teams, func(t *cccell.Team) (id, name, text string) {
		return t.Name, t.Name, fmt.Sprintf("keys %v", t.Keys)
	})
}

// compareLists adds the entries that were added, changed or removed from one list to another. describe returns what an
// entry is told apart by, its name, and a text for an entry that was added or removed.
func compareLists[T any](f *findings, place string, old, list []T, describe func(*T) (id, name, text string)) {
	before := map[string]*T{}
	for i := range old {
		if id, _, _ := describe(&old[i]); before[id] == nil {
			before[id] = &old[i]
		}
	}
	seen := map[string]bool{}
	for i := range list {
		id, name, text := describe(&list[i])
		if seen[id] {
			continue
		}
		seen[id] = true
		at := fmt.Sprintf("%s[%d]", place, i)
		if before[id] == nil {
			f.add(Change, at, name, "added: %s", text)
			continue
		}
		f.compareValues(at, name, reflect.ValueOf(*before[id]), reflect.ValueOf(list[i]))
	}
	for i := range old {
		if id, name, text := describe(&old[i]); !seen[id] {
			seen[id] = true
			f.add(Change, place, name, "removed: %s", text)
		}
	}
}

// compareValues adds a change for each field, at any depth, that differs between two values of one type.
func (f *findings) compareValues(place, name string, old, v reflect.Value) {
	if keys, ok := v.Interface().([]cckey.Digest); ok {
		before, _ := old.Interface().([]cckey.Digest)
		f.compareKeys(place, name, before, keys)
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			f.compareValues(place+"."+v.Type().Field(i).Name, name, old.Field(i), v.Field(i))
		}
	case v.Kind() == reflect.Pointer && v.IsNil() != old.IsNil():
		if v.IsNil() {
			f.add(Change, place, name, "removed: %+v", old.Elem())
		} else {
			f.add(Change, place, name, "added: %+v", v.Elem())
		}
	case v.Kind() == reflect.Pointer && !v.IsNil():
		f.compareValues(place, name, old.Elem(), v.Elem())
	case v.Kind() == reflect.String && old.String() != v.String():
		f.add(Change, place, name, "%q → %q", old, v)
	case !reflect.DeepEqual(old.Interface(), v.Interface()):
		f.add(Change, place, name, "%v → %v", old, v)
	}
}

// compareKeys adds the keys that a team gains and loses, as the numbers and the digests' prefixes.
func (f *findings) compareKeys(place, name string, old, keys []cckey.Digest) {
	added, removed := without(keys, old), without(old, keys)
	if len(added) > 0 {
		f.add(Change, place, name, "%d added: %v", len(added), added)
	}
	if len(removed) > 0 {
		f.add(Change, place, name, "%d revoked: %v", len(removed), removed)
	}
}

// without returns the keys that are not in other, without repetitions.
func without(keys, other []cckey.Digest) []cckey.Digest {
	var out []cckey.Digest
	for _, k := range keys {
		if !slices.Contains(other, k) && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}
