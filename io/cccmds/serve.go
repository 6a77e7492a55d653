package cccmds

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccintake"
	"coriandercross/io/cccaller"
	"coriandercross/io/cclog"
	"coriandercross/io/ccnode"
	"coriandercross/io/ccoperator"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccserver"
	"coriandercross/io/ccsettings"
	"coriandercross/io/ccstore"
	"coriandercross/io/ccvmlist"
	"coriandercross/io/ccworker"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sys/unix"
)

// serveCommand runs the process of an entry VM.
type serveCommand struct {
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file"`
	} `positional-args:"yes" required:"yes"`
}

const (
	dialTimeout       = 500 * time.Millisecond
	controlTimeout    = 2 * time.Second
	startTimeout      = 2 * time.Second
	syncTimeout       = 2 * time.Second
	closeTimeout      = 2 * time.Second
	peerConnections   = 32
	workerConnections = 64
	bytesPerKB        = 1024
	// editBodyFactor is what a byte of an edit of the configuration occupies: a team takes a few bytes as text, and many times
	// that decoded, checked and compared.
	editBodyFactor = 64
	// defaultRequestMemoryMB is the memory for requests on a machine whose memory is not known.
	defaultRequestMemoryMB = 32
	settingsTimeUnit       = time.Millisecond
)

// run implements runner.
func (c *serveCommand) run(o *output) error {
	s, diagnostics, err := ccsettings.Load(c.Args.Settings)
	if err != nil {
		return err
	}
	if len(diagnostics) > 0 {
		return printDiagnostics(o, diagnostics)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := newNodeProcess(&s, o)
	if err != nil {
		return err
	}
	return p.serve(ctx)
}

// nodeProcess is the process that the command serve runs.
type nodeProcess struct {
	settings *ccsettings.Settings
	log      *log.Logger
	node     *ccnode.Node
	peers    *ccpeer.Client
	callers  *http.Server
	operator *http.Server
	intake   *ccserver.Intake
	drain    chan struct{}
}

// newNodeProcess builds the process. It opens no socket.
func newNodeProcess(s *ccsettings.Settings, o *output) (*nodeProcess, error) {
	logs := cclog.Config{Out: o.err, Level: s.Log.Level, Format: s.Log.Format, Layers: s.Log.Layers, VM: s.VM}
	nodeLog, err := cclog.New(logs, "node")
	if err != nil {
		return nil, err
	}
	callerLog, err := cclog.New(logs, "caller")
	if err != nil {
		return nil, err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	metrics := ccnode.NewMetrics(reg)
	p := &nodeProcess{settings: s, log: nodeLog, drain: make(chan struct{}, 1)}
	p.peers = ccpeer.NewClient(ccpeer.ClientConfig{
		DialTimeout: dialTimeout, ControlTimeout: controlTimeout, Connections: peerConnections, OnBytes: metrics.ControlBytes("fellow"),
	})
	p.node = ccnode.New(nodeConfig(s, p.peers, metrics, nodeLog))
	clock := ccclock.NewSystem()
	p.intake = ccserver.NewIntake(ccserver.Config{
		Limits: ccintake.NewLimits(requestMemory(&s.Limits), s.Limits.MaxConnections),
		Clock:  clock, Log: nodeLog, Sampler: cclog.NewSampler(clock), Metrics: ccserver.NewMetrics(reg),
	})
	p.callers = p.intake.NewServer(ccserver.ServerConfig{Kind: ccserver.Callers, Handler: cccaller.Handler(cccaller.Config{
		Backend: p.node, MaxBody: s.Limits.MaxBodyKB * bytesPerKB, Log: callerLog,
	})})
	p.operator = p.intake.NewServer(ccserver.ServerConfig{Kind: ccserver.Operators, BodyFactor: editBodyFactor, Handler: ccoperator.Handler(ccoperator.Config{
		Backend: p.node, Metrics: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), Drain: p.beginDrain,
	})})
	return p, nil
}

// requestMemory returns the memory that connections and requests may occupy, in bytes.
func requestMemory(l *ccnode.Limits) int64 {
	if l.RequestMemoryMB > 0 {
		return l.RequestMemoryMB * bytesPerMB
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultRequestMemoryMB * bytesPerMB // The machine does not tell its memory.
	}
	return int64(float64(info.Totalram) * float64(info.Unit) * ccintake.RequestMemoryShare)
}

// nodeConfig builds the configuration of the node from the settings, with clients of the store, the workers and the VM
// list.
func nodeConfig(s *ccsettings.Settings, peers *ccpeer.Client, m *ccnode.Metrics, l *log.Logger) ccnode.Config {
	clock := ccclock.NewSystem()
	store := ccstore.NewClient(ccstore.Config{
		Address: s.Store, Timeout: time.Duration(s.Timing.StoreMs) * settingsTimeUnit,
		WatchTimeout: time.Duration(s.Timing.WatchMs) * settingsTimeUnit, OnCall: m.StoreCall, OnBytes: m.ControlBytes("store"),
	})
	workers := ccworker.NewClient(ccworker.Config{
		Clock: clock, Connections: workerConnections, StartTimeout: startTimeout, SyncTimeout: syncTimeout,
		MaxAnswer: s.Limits.MaxAnswerKB * bytesPerKB, OnControlBytes: m.ControlBytes("worker"),
	})
	vms := ccvmlist.NewClient(ccvmlist.Config{
		Address: s.VMList, Timeout: time.Duration(s.Timing.StoreMs) * settingsTimeUnit, OnBytes: m.ControlBytes("vmlist"),
	})
	return ccnode.Config{
		VM: s.VM, Incarnation: time.Now().UnixMilli(), Region: s.Region, FailureDomain: s.FailureDomain,
		PeerAddress: s.Listen.Peers, Seeds: s.Seeds, Timing: s.Timing, Limits: s.Limits, Routing: s.Routing,
		Clock: clock, Log: l, Metrics: m, Store: store, Workers: workers,
		VMs: vms, Peers: peers,
	}
}

// beginDrain begins a planned stop. Calls after the first have no effect.
func (p *nodeProcess) beginDrain() {
	select {
	case p.drain <- struct{}{}:
	default:
	}
}

// serve opens the sockets and runs until ctx is cancelled or beginDrain is called. Then it performs a planned stop, and
// fails if requests were still in progress at its end.
func (p *nodeProcess) serve(ctx context.Context) error {
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	p.log.Info("serving", "ID", p.node.ID(), "Callers", p.settings.Listen.Callers, "Fellows", p.settings.Listen.Peers, "Operators", p.settings.Listen.Operators)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, len(listeners))
	go func() { failed <- ccpeer.Serve(work, listeners[0], p.node) }()
	go func() { failed <- p.callers.Serve(listeners[1]) }()
	go func() { failed <- p.operator.Serve(listeners[2]) }()
	done := make(chan struct{})
	go func() { p.node.Serve(work); close(done) }()
	select {
	case <-ctx.Done():
	case <-p.drain:
	case err := <-failed:
		return errors.Wrap(err, "serving")
	}
	left := p.node.Drain(context.Background())
	p.close()
	cancel()
	<-done
	if left > 0 {
		return errors.Newf("stopped with %d requests in progress", left)
	}
	return nil
}

// listen opens the sockets for peers, callers and operators, in this order.
func (p *nodeProcess) listen() ([]net.Listener, error) {
	l := p.settings.Listen
	var out []net.Listener
	for _, s := range []struct {
		kind    ccserver.Kind
		address string
	}{{ccserver.Peers, l.Peers}, {ccserver.Callers, l.Callers}, {ccserver.Operators, l.Operators}} {
		listener, err := p.intake.Listen(s.kind, s.address)
		if err != nil {
			return nil, err
		}
		out = append(out, listener)
	}
	return out, nil
}

// close closes the sockets for callers and operators, waits up to closeTimeout for their responses in progress, and
// closes the connections to peers.
func (p *nodeProcess) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.callers.Shutdown(ctx)
	_ = p.operator.Shutdown(ctx)
	p.peers.Close()
}

// versionText is the version of the program.
const versionText = "0.1.0"

// printDiagnostics prints diagnostics on standard error and returns ErrInvalid with their number.
func printDiagnostics(o *output, diagnostics []ccsettings.Diagnostic) error {
	for _, d := range diagnostics {
		_, _ = o.err.Write([]byte(d.String() + "\n"))
	}
	return errors.Wrapf(ccsettings.ErrInvalid, "%d problems", len(diagnostics))
}

// currentUser returns the login name of the user, or "operator" if it is not known.
func currentUser() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}
