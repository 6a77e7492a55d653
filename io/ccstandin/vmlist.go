package ccstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coriandercross/io/ccvmlist"
)

// VMList serves a list of VMs. A change of the list becomes visible only after a lag.
type VMList struct {
	mu  sync.Mutex
	lag time.Duration
	// lists holds the visible list, and after it the changes that are not visible yet, oldest first.
	lists []delayedList
	// setCount is the number of calls of Set. The ETag is made of it.
	setCount int
}

// delayedList is a list and the time from which it is visible.
type delayedList struct {
	visibleAt time.Time
	list      ccvmlist.List
	etag      string
}

// NewVMList returns a VMList that shows the given VMs at once, and every change after lag.
func NewVMList(first []ccvmlist.VM, lag time.Duration) *VMList {
	return &VMList{lag: lag, lists: []delayedList{{list: ccvmlist.List{VMs: first}, etag: `"0"`}}}
}

// Set replaces the list.
func (l *VMList) Set(vms []ccvmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setCount++
	etag := strconv.Quote(strconv.Itoa(l.setCount))
	l.lists = append(l.lists, delayedList{visibleAt: time.Now().Add(l.lag), list: ccvmlist.List{VMs: vms}, etag: etag})
}

// Handler returns the HTTP handler of the list.
func (l *VMList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+ccvmlist.Path, func(w http.ResponseWriter, r *http.Request) {
		list, etag := l.visible()
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
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

// visible returns the newest list that is visible, and its ETag. It drops the older ones.
func (l *VMList) visible() (ccvmlist.List, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.lists) > 1 && !l.lists[1].visibleAt.After(now) {
		l.lists = l.lists[1:]
	}
	return l.lists[0].list, l.lists[0].etag
}
