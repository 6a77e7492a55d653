// Package ccserver serves clients that the system does not control: it bounds what all their connections and requests
// occupy together, as core/ccintake decides.
package ccserver

import (
	"net"
	"sync"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccintake"
	"coriandercross/io/cclog"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Config configures an Intake.
type Config struct {
	Limits  ccintake.Limits
	Clock   ccclock.Clock
	Log     *log.Logger
	Sampler *cclog.Sampler
	Metrics *Metrics
}

// Intake bounds what the clients of a process occupy at all its listeners. Its methods may be called from any goroutine.
type Intake struct {
	cfg Config
	mu  sync.Mutex
	// released is signalled when a body has let go of its memory, or a connection was closed.
	released  *sync.Cond
	account   *ccintake.Account
	listeners map[Kind]*ccintake.Listener
	gauges    map[Kind]prometheus.Gauge
	// freed receives a value when a connection of a listener was closed.
	freed map[Kind]chan struct{}
	// open has the sockets of the connections.
	open map[*ccintake.Conn]*conn
}

// Kind is what a listener is for. It appears in logs and metrics.
type Kind string

// Kinds of listeners.
const (
	Callers   Kind = "Callers"
	Operators Kind = "Operators"
	Readiness Kind = "Readiness"
	Peers     Kind = "Peers"
)

// kinds are all kinds.
var kinds = []Kind{Callers, Operators, Readiness, Peers}

// NewIntake returns an intake without connections.
func NewIntake(cfg Config) *Intake {
	in := &Intake{cfg: cfg, account: ccintake.NewAccount(cfg.Limits.BodyBytes), listeners: map[Kind]*ccintake.Listener{}, gauges: map[Kind]prometheus.Gauge{}, freed: map[Kind]chan struct{}{}, open: map[*ccintake.Conn]*conn{}}
	in.released = sync.NewCond(&in.mu)
	for _, k := range kinds {
		in.listeners[k] = ccintake.NewListener(maxConns(&cfg.Limits, k))
		in.freed[k] = make(chan struct{}, 1)
		in.gauges[k] = cfg.Metrics.connections.WithLabelValues(string(k))
	}
	return in
}

// maxConns returns the bound of the connections of a kind.
func maxConns(l *ccintake.Limits, k Kind) int {
	return map[Kind]int{Callers: l.CallerConns, Operators: l.OperatorConns, Readiness: l.ReadinessConns, Peers: l.PeerConns}[k]
}

// SetLimits changes the limits. Connections and bodies above them stay until they end, or others need their room.
func (in *Intake) SetLimits(l ccintake.Limits) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.account.SetBodyBytes(l.BodyBytes)
	for k, listener := range in.listeners {
		listener.SetMaxConns(maxConns(&l, k))
	}
}

// admit counts a new connection. It blocks while there may soon be room for it, and returns nil if not; the caller closes
// nc then.
func (in *Intake) admit(k Kind, nc net.Conn) *conn {
	for {
		in.mu.Lock()
		c, victim, wait := in.listeners[k].Open(in.cfg.Clock.Now())
		closing := in.open[victim]
		var out *conn
		if c != nil {
			out = &conn{Conn: nc, intake: in, kind: k, account: c}
			in.open[c] = out
		}
		in.observe(k)
		in.mu.Unlock()
		in.evict(closing, connectionClosed)
		if out != nil {
			return out
		}
		if wait == 0 {
			in.report(k, noConnection)
			return nil
		}
		select {
		case <-in.freed[k]:
		case <-time.After(wait.Duration()):
		}
	}
}

// evict closes a connection to make room, unless it is nil.
func (in *Intake) evict(c *conn, why event) {
	if c != nil {
		in.report(c.kind, why)
		_ = c.Close() // The client has disconnected if this fails.
	}
}

// forget ends the account of a connection that was closed.
func (in *Intake) forget(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.listeners[c.kind].Close(c.account)
	delete(in.open, c.account)
	in.released.Broadcast()
	select {
	case in.freed[c.kind] <- struct{}{}:
	default:
	}
	in.observe(c.kind)
}

// await records that the client of a connection owes a whole request from now on.
func (in *Intake) await(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.account.Await(in.cfg.Clock.Now())
}

// begin records that the header of a request was received, and whether that is all of it. It reports whether there is no
// room for another connection at the listener.
func (in *Intake) begin(c *conn, whole bool) (full bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if whole {
		in.account.Serve(c.account)
	} else {
		in.account.Read(c.account, in.cfg.Clock.Now())
	}
	return in.listeners[c.kind].Full()
}

// serve records that a whole request was received on a connection.
func (in *Intake) serve(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.account.Serve(c.account)
}

// reserve takes n more bytes for the body of a request. It blocks while connections that it has closed let go of theirs,
// and fails with ccintake.ErrNoRoom.
func (in *Intake) reserve(c *conn, n int64) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	for {
		v, victim := in.account.Reserve(c.account, n)
		if closing := in.open[victim]; closing != nil {
			in.mu.Unlock()
			in.evict(closing, bodyClosed)
			in.mu.Lock()
			continue
		}
		switch v {
		case ccintake.Granted:
			in.observe(c.kind)
			return nil
		case ccintake.Refused:
			return ccintake.ErrNoRoom
		case ccintake.Waiting:
			in.released.Wait()
		}
	}
}

// release gives back what the body of a request occupies.
func (in *Intake) release(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.account.Release(c.account)
	in.released.Broadcast()
	in.observe(c.kind)
}

// event is something that a client outside the limits has met. It is a label of a metric.
type event string

const (
	connectionClosed event = "ConnectionClosed"
	noConnection     event = "ConnectionRefused"
	bodyClosed       event = "BodyClosed"
	bodyRefused      event = "BodyRefused"
	bodyLate         event = "BodyLate"
)

// eventLines are the log lines of the events.
var eventLines = map[event]string{
	connectionClosed: "connection closed: too many are open, and its client has owed a request for the longest",
	noConnection:     "connection refused: too many are open, and all are being served",
	bodyClosed:       "connection closed: no room for request bodies, and its body is the oldest that is not complete",
	bodyRefused:      "request refused: no room for its body",
	bodyLate:         "request refused: its body was not complete in the caller's time",
}

// report counts an event and logs it, at a limited rate.
func (in *Intake) report(k Kind, e event) {
	in.cfg.Metrics.limited.WithLabelValues(string(k), string(e)).Inc()
	if ok, leftOut := in.cfg.Sampler.Allow(string(e)); ok {
		in.cfg.Log.Warn(eventLines[e], "Listener", k, "LeftOut", leftOut)
	}
}

// observe updates the gauges. The caller holds mu.
func (in *Intake) observe(k Kind) {
	in.gauges[k].Set(float64(in.listeners[k].Len()))
	in.cfg.Metrics.bodyBytes.Set(float64(in.account.Held()))
}

// Metrics are the metrics of an Intake.
type Metrics struct {
	connections *prometheus.GaugeVec
	bodyBytes   prometheus.Gauge
	limited     *prometheus.CounterVec
}

// NewMetrics returns new metrics, registered at reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coriandercross_connections", Help: "Open connections, by listener.",
		}, []string{"listener"}),
		bodyBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coriandercross_body_bytes", Help: "Memory that counts for request bodies in progress, in all their forms.",
		}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coriandercross_limited_total", Help: "Connections and requests that have met a limit, by listener and event.",
		}, []string{"listener", "event"}),
	}
	reg.MustRegister(m.connections, m.bodyBytes, m.limited)
	return m
}
