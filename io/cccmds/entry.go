package cccmds

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/io/cccontrol"
	"coriandercross/io/cchttp"
	"coriandercross/io/cclog"
	"coriandercross/io/ccpeer"
	"coriandercross/platform/ccplatform"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// entryCommand runs the process of an entry VM on the users' platform.
type entryCommand struct {
	Settings string `long:"settings" description:"file of the platform's settings; the environment names it when left out"`
	Metrics  string `long:"metrics" description:"address for metrics and the state dump; the settings' IP and port 9464 when left out"`
}

const (
	// entryDialTimeout bounds the opening of a connection to a fellow: the longest round trip is 40 ms.
	entryDialTimeout = 300 * time.Millisecond
	// entryCallTimeout bounds a call to a fellow.
	entryCallTimeout = time.Second
	// memoryLimitShare is the share of the VM's memory that the runtime may use before it collects garbage harder.
	memoryLimitShare = 0.7
	// gcPercent lets the heap grow before it is collected: processor time is dearer than memory.
	gcPercent = 400
	// lameDuckShare is the share of the grace period in which a process that stops goes on answering.
	lameDuckShare = 0.6
	// loopExitTimeout bounds the wait for the process's loops after that: what they still do lasts nowhere.
	loopExitTimeout = 300 * time.Millisecond
	// settingsPollInterval is the time between two looks at the settings file, which may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// run implements runner.
func (c *entryCommand) run(e *output) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(ccplatform.SettingsEnv)
	}
	s, err := ccplatform.LoadSettings(path)
	if err != nil {
		return err
	}
	limitRuntime(s)
	out := cclog.NewAsyncWriter(e.out)
	defer out.Close()
	logger, err := cclog.New(cclog.Config{Out: out, Level: "info", Format: "logfmt", VM: s.VM}, "entry")
	if err != nil {
		return err
	}
	p := newEntry(s, path, logger)
	p.logWriter = out
	p.metrics = c.Metrics
	if p.metrics == "" {
		p.metrics = s.MetricsAddress()
	}
	return p.serve()
}

// limitRuntime keeps the runtime within the VM's limits.
func limitRuntime(s *ccplatform.Settings) {
	runtime.GOMAXPROCS(max(s.Limits.Cores, 1))
	debug.SetGCPercent(gcPercent)
	const bytesPerMB = 1 << 20
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB*bytesPerMB) * memoryLimitShare))
}

// entryProcess is everything that the entryProcess command runs.
type entryProcess struct {
	settings  *ccplatform.Settings
	path      string
	metrics   string
	logWriter *cclog.AsyncWriter
	log       *log.Logger
	process   *cccontrol.Process
	ingress   *ccplatform.Ingress
	registry  *prometheus.Registry
}

// newEntry builds the process without opening a socket.
func newEntry(s *ccplatform.Settings, path string, logger *log.Logger) *entryProcess {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	storeCalls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coriandercross_store_calls_total", Help: "Calls to the store; status 0 is no answer.",
	}, []string{"call", "status"})
	reg.MustRegister(storeCalls)
	clock := ccclock.NewSystem()
	store := cccontrol.NewMonitoredStore(ccplatform.NewStoreClient(s.Store.Address, func(kind string, status int) {
		storeCalls.WithLabelValues(kind, strconv.Itoa(status)).Inc()
	}), clock, func(reached bool, silentMs int64) {
		if reached {
			logger.Info("store reached again", "SilentMs", silentMs)
		} else {
			logger.Warn("store lost", "SilentMs", silentMs)
		}
	})
	directory := ccplatform.NewDirectory(store, func(id string, err error) {
		logger.Debug("worker registration is invalid", "Worker", id, "Error", err)
	})
	const msPerSecond = 1000
	p := cccontrol.New(cccontrol.Config{
		VM: s.VM, Region: s.Region, Address: s.Listen.Peers, Seeds: s.Seeds, Cores: s.Limits.CPUShare * float64(max(s.Limits.Cores, 1)),
		StartMs: time.Now().UnixMilli(), Clock: clock, Log: logger, Sampler: cclog.NewSampler(clock), Metrics: cccontrol.NewMetrics(reg), Store: store, Directory: directory,
		ConfigSource: ccplatform.NewConfigReader(store), Workers: ccplatform.NewWorkerClient(clock, s.Limits.MaxFiles), PolicyService: ccplatform.NewPolicyClient(s.PolicyService),
		Peers:   ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: entryDialTimeout, ControlTimeout: entryCallTimeout, Connections: 4}),
		LeaseMs: min(leaseMs, s.Bounds.MaxLeaseMs), RemoteFactor: max(s.Bounds.RemoteFactor, 1),
		FinalRetentionMs: ccclock.Millis(s.Bounds.FinalRetentionS * msPerSecond),
	})
	return &entryProcess{settings: s, path: path, log: logger, process: p, ingress: ccplatform.NewIngress(p), registry: reg}
}

// leaseMs is the lease at a worker: it outlives the loss of a leader and of all power for a second or two, and is shorter than
// the three heartbeats after which the store drops a worker that is silent.
const leaseMs = 4400

// serve opens the sockets and works until SIGTERM; then it hands over, answers on, and leaves within the grace period.
func (p *entryProcess) serve() error {
	s := p.settings
	handlers := map[string]http.Handler{s.Listen.Callers: p.ingress.Callers(), s.Listen.Ready: p.ingress.ReadyHandler(), p.metrics: p.operators()}
	fellows, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", s.Listen.Peers)
	}
	var servers []*http.Server
	failed := make(chan error, len(handlers)+1)
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listening on %s", address)
		}
		server := newServer(h)
		servers = append(servers, server)
		go func() { failed <- server.Serve(l) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { failed <- ccpeer.ServeCell(ctx, fellows, p.process) }()
	done := make(chan struct{})
	go func() { p.process.Serve(ctx); close(done) }()
	p.log.Info("serving", "Callers", s.Listen.Callers, "Fellows", s.Listen.Peers, "Region", s.Region, "FailureDomain", s.FailureDomain)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case err := <-failed:
			return errors.Wrap(err, "serving")
		case <-poll.C:
			if n := p.logWriter.Dropped(); n > 0 {
				p.log.Warn("lines were left out: the log is not read fast enough", "Lines", n)
			}
			p.reload("poll")
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				p.reload("SIGHUP")
				continue
			}
			p.drain(servers)
			cancel()
			select {
			case <-done:
			case <-time.After(loopExitTimeout):
			}
			return nil
		}
	}
}

// drain hands over and answers on until the grace period is nearly over.
func (p *entryProcess) drain(servers []*http.Server) {
	grace := time.Duration(p.settings.Bounds.GraceS * float64(time.Second))
	p.log.Info("stopping", "Grace", grace, "Requests", p.ingress.Active())
	p.ingress.CloseConnections()
	p.process.Drain()
	time.Sleep(time.Duration(float64(grace) * lameDuckShare))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*(1-lameDuckShare)/2))
	defer cancel()
	for _, s := range servers {
		// What is still in progress when the time is over is cut by the platform in any case.
		_ = s.Shutdown(ctx)
	}
	p.log.Info("stopped", "Requests", p.ingress.Active())
}

// reload reads the settings again. Addresses stay those of the start; limits take effect.
func (p *entryProcess) reload(why string) {
	s, err := ccplatform.LoadSettings(p.path)
	if err != nil {
		p.log.Warn("settings not taken", "Why", why, "Error", err)
		return
	}
	if s.Limits == p.settings.Limits && s.Bounds == p.settings.Bounds && len(s.Seeds) == len(p.settings.Seeds) && why == "poll" {
		return
	}
	p.settings.Limits, p.settings.Bounds = s.Limits, s.Bounds
	p.process.SetSeeds(s.Seeds)
	limitRuntime(s)
	p.log.Info("settings taken", "Why", why, "Seeds", len(s.Seeds), "MemoryMB", s.Limits.MemoryMB)
}

// operators returns the handler of metrics and the state dump.
func (p *entryProcess) operators() http.Handler {
	r := mux.NewRouter()
	r.Methods(http.MethodGet).Path("/metrics").Handler(promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	r.Methods(http.MethodGet).Path("/dump").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cchttp.WriteJSON(w, http.StatusOK, p.process.Dump())
	})
	return r
}
