package ccstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coriandercross/io/ccvmlist"
)

// VMList is a list of VMs that shows each change only after a lag.
type VMList struct {
	mu  sync.Mutex
	lag time.Duration
	now []change
	// sets counts the changes.
	sets int
}

// change is a list and the time from which it is shown.
type change struct {
	at   time.Time
	list ccvmlist.List
	tag  string
}

// NewVMList returns a list that shows the first VMs at once, and every change after lag.
func NewVMList(first []ccvmlist.VM, lag time.Duration) *VMList {
	return &VMList{lag: lag, now: []change{{list: ccvmlist.List{VMs: first}, tag: `"0"`}}}
}

// Set replaces the list.
func (l *VMList) Set(vms []ccvmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sets++
	tag := strconv.Quote(strconv.Itoa(l.sets))
	l.now = append(l.now, change{at: time.Now().Add(l.lag), list: ccvmlist.List{VMs: vms}, tag: tag})
}

// Handler returns the list's HTTP interface.
func (l *VMList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+ccvmlist.Path, func(w http.ResponseWriter, r *http.Request) {
		list, tag := l.shown()
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_ = json.NewEncoder(w).Encode(list)
	})
	m.HandleFunc("PUT "+ccvmlist.Path, func(w http.ResponseWriter, r *http.Request) {
		decodeInto(w, r, func(list ccvmlist.List) { l.Set(list.VMs) })
	})
	return m
}

// shown returns the newest list whose lag has passed, and its tag.
func (l *VMList) shown() (ccvmlist.List, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.now) > 1 && !l.now[1].at.After(now) {
		l.now = l.now[1:]
	}
	return l.now[0].list, l.now[0].tag
}
