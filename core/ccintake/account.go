// Package ccintake decides what a process takes in from its clients. An Account holds what all connections and request
// bodies of the process occupy together, and chooses who waits, who is refused and whose connection is closed when a limit
// is reached. It uses no sockets and no clock. An Account may be used by one goroutine at a time.
package ccintake

import (
	"coriandercross/core/ccclock"

	"github.com/cockroachdb/errors"
)

// ms is an alias that keeps signatures short.
type ms = ccclock.Millis

// Errors of requests that were not read to their end, and so were not carried out.
var (
	// ErrNoRoom reports that the requests in progress occupy all the memory that there is for them.
	ErrNoRoom = errors.New("too many requests are in progress")
	// ErrBodyLate reports a body that was not complete in time.
	ErrBodyLate = errors.New("request body was not complete in time")
)

// Account is what the connections and the requests of a process occupy.
type Account struct {
	bodyBytes int64
	held      int64
	// leaving is the part of held that belongs to connections which were closed to make room.
	leaving int64
	// reading are the connections whose bodies are not complete.
	reading map[*Conn]struct{}
}

// Listener is the connections of one listener. They are bounded apart from those of others, so that a crowd at one
// listener does not shut the others.
type Listener struct {
	maxConns int
	open     map[*Conn]struct{}
	// servedSince is when all connections were first found to serve whole requests, 0 if one does not.
	servedSince ms
}

// Conn is one open connection.
type Conn struct {
	// serving is true while a whole request is being served. Such a connection is never closed to make room.
	serving bool
	// since is the time from which on the client owes a whole request: that of the connection, of the last response, or of
	// the header of the request whose body is being read.
	since ms
	// held is what the body occupies, in bytes.
	held int64
	// evicted is true once the connection was chosen to be closed.
	evicted bool
}

// Verdict is what becomes of a request that needs room.
type Verdict int

const (
	// Granted means that the room is taken.
	Granted Verdict = iota
	// Waiting means that there is room once the connections that were chosen have let go of theirs.
	Waiting
	// Refused means that there is no room, and none that is about to be free.
	Refused
)

// NewAccount returns an account without connections. bodyBytes bounds what request bodies occupy.
func NewAccount(bodyBytes int64) *Account {
	return &Account{bodyBytes: bodyBytes, reading: map[*Conn]struct{}{}}
}

// SetBodyBytes changes the bound of what bodies occupy. What is occupied already stays.
func (a *Account) SetBodyBytes(n int64) {
	a.bodyBytes = n
}

// Held returns what bodies occupy, in bytes.
func (a *Account) Held() int64 {
	return a.held
}

// NewListener returns a listener with at most maxConns connections.
func NewListener(maxConns int) *Listener {
	return &Listener{maxConns: maxConns, open: map[*Conn]struct{}{}}
}

// SetMaxConns changes the bound of the connections. Those that are open stay.
func (l *Listener) SetMaxConns(n int) {
	l.maxConns = n
}

// GraceMs is the time that a client has for its request before its connection makes room for others. Without it, clients
// that come again and again would close the connections of all others before their requests are read.
const GraceMs ms = 250

// Open counts a new connection. If the listener has as many as it may, victim is the connection to be closed for it: the
// one whose client has owed a whole request for the longest, and for GraceMs at least. If there is none, Open returns no
// connection: it is called again when one was closed, or after wait. The new connection is refused if wait is 0, since
// all have served whole requests for GraceMs.
func (l *Listener) Open(now ms) (c, victim *Conn, wait ms) {
	if l.Full() {
		victim = oldest(l.open, func(c *Conn) bool { return !c.serving })
		if victim == nil {
			if l.servedSince == 0 {
				l.servedSince = now
			}
			return nil, nil, max(l.servedSince+GraceMs-now, 0)
		}
		l.servedSince = 0
		if wait = victim.since + GraceMs - now; wait > 0 {
			return nil, nil, wait
		}
		delete(l.open, victim)
	}
	l.servedSince = 0
	c = &Conn{since: now}
	l.open[c] = struct{}{}
	return c, victim, 0
}

// Full reports whether there is no room for another connection. Connections are closed after their responses then, so that
// other clients get a turn.
func (l *Listener) Full() bool {
	return len(l.open) >= l.maxConns
}

// Len returns the number of connections.
func (l *Listener) Len() int {
	return len(l.open)
}

// oldest returns, of the connections that may be closed, the one that has owed a whole request for the longest, nil if
// there is none.
func oldest(conns map[*Conn]struct{}, mayClose func(c *Conn) bool) *Conn {
	var found *Conn
	for c := range conns {
		if mayClose(c) && (found == nil || c.since < found.since) {
			found = c
		}
	}
	return found
}

// Close ends a connection. What its body occupies stays counted until Release.
func (l *Listener) Close(c *Conn) {
	delete(l.open, c)
}

// Await records that the client owes a whole request from now on: it was sent a response, or has given a sign of life.
func (c *Conn) Await(now ms) {
	c.serving, c.since = false, now
}

// Serve records that a whole request was received. What its body occupies can't be taken back any more.
func (a *Account) Serve(c *Conn) {
	c.serving = true
	delete(a.reading, c)
}

// Read records that the header of a request with a body was received.
func (a *Account) Read(c *Conn, now ms) {
	c.Await(now)
	a.reading[c] = struct{}{}
}

// Reserve takes n more bytes for the body of c. With Waiting, the caller closes victim, unless it is nil, and calls Reserve
// again after the next Release. A body may hold as much as remains free for others, so that large bodies leave room for
// small ones; a body that is alone may hold everything. If there is no room, the body that was begun first is given up: an
// ordinary one is complete as soon as its header is, so one that takes long belongs to a client that is slow or has
// stopped.
func (a *Account) Reserve(c *Conn, n int64) (v Verdict, victim *Conn) {
	switch {
	case c.evicted:
		return Refused, nil
	case fits(c.held, n, a.held, a.bodyBytes):
		a.held += n
		c.held += n
		return Granted, nil
	case fits(c.held, n, a.held-a.leaving, a.bodyBytes):
		return Waiting, nil
	}
	if victim = oldest(a.reading, func(c *Conn) bool { return c.held > 0 && !c.evicted }); victim == nil || victim == c {
		return Refused, nil
	}
	victim.evicted = true
	a.leaving += victim.held
	return Waiting, victim
}

// fits reports whether something that holds own bytes may take n more, given what all hold and a limit.
func fits(own, n, held, limit int64) bool {
	return held == own || own+n <= limit-held-n
}

// Release gives back what the body of c occupies, when its request has ended.
func (a *Account) Release(c *Conn) {
	if c.evicted {
		a.leaving -= c.held
	}
	a.held -= c.held
	c.held = 0
	delete(a.reading, c)
}
