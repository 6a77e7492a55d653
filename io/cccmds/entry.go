package cccmds

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccintake"
	"coriandercross/io/cccontrol"
	"coriandercross/io/cchttp"
	"coriandercross/io/cclog"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccserver"
	"coriandercross/platform/ccplatform"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// entryCommand runs the process of an entry VM on the users' platform, with the settings and interfaces of
// platform/ccplatform.
type entryCommand struct {
	Settings string `long:"settings" description:"path of the platform's settings file; that in the environment variable CORIANDERCROSS_CONFIG if left out"`
	Metrics  string `long:"metrics" description:"address for metrics and the state dump; port 9464 of the IP in the settings if left out"`

	LearnRunTimes bool `long:"learn-run-times" description:"learn from finished runs how long tasks take, and use that in place of the callers' estimates; the same at all processes"`
	// RequestMemoryMB and MaxConnections bound what callers occupy.
	RequestMemoryMB int64 `long:"request-memory-mb" description:"memory in MB that connections and requests in progress may occupy; a quarter of memory_mb in the settings if left out"`
	MaxConnections  int   `long:"max-connections" description:"connections of callers that may be open; a quarter of the descriptors for sockets, or less if half of the memory for requests is less, if left out"`
	JobMemoryMB     int64 `long:"job-memory-mb" description:"memory in MB that accepted jobs may occupy beyond 16 KB each, and the runs of scheduled jobs beyond the first of each; a quarter of memory_mb in the settings if left out"`
	// StoreBeforeStart gives up the work that is done while the store is away, for operators who want none of it.
	StoreBeforeStart bool `long:"store-before-start" description:"start no task before its job is in the store, also while the store is slow or silent; the same at all processes"`
}

const (
	// entryDialTimeout bounds connecting to a peer. The longest round trip is 40 ms.
	entryDialTimeout = 300 * time.Millisecond
	// entryCallTimeout bounds a call to a peer.
	entryCallTimeout = time.Second
	// memoryLimitShare is the share of the VM's memory at which the soft memory limit of the Go runtime is set.
	memoryLimitShare = 0.7
	// gcPercent is the GC target percentage. It is far above the default of 100 since CPU time is scarcer than memory.
	gcPercent = 400
	// lameDuckShare is the share of the grace period for which a stopping process still accepts and serves requests.
	lameDuckShare = 0.6
	// loopExitTimeout bounds the wait for the process's loops after the servers have stopped. The loops persist nothing
	// any more, so they may be cut off.
	loopExitTimeout = 300 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings file, which may change without a signal.
	settingsPollInterval = 2 * time.Second
	bytesPerMB           = 1 << 20
)

// run implements runner.
func (c *entryCommand) run(o *output) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(ccplatform.SettingsEnv)
	}
	s, err := ccplatform.LoadSettings(path)
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	limitRuntime(s)
	out := cclog.NewAsyncWriter(o.out)
	defer out.Close()
	logger, err := cclog.New(cclog.Config{Out: out, Level: "info", Format: "logfmt", VM: s.VM}, "entry")
	if err != nil {
		return err
	}
	p := newEntryProcess(s, path, logger, c)
	p.logWriter = out
	p.metrics = c.Metrics
	if p.metrics == "" {
		p.metrics = s.MetricsAddress()
	}
	return p.serve()
}

// check returns ErrBadSettings for options that are out of range.
func (c *entryCommand) check() error {
	if c.RequestMemoryMB < 0 || c.MaxConnections < 0 || c.JobMemoryMB < 0 {
		return errors.Wrapf(ccplatform.ErrBadSettings, "--request-memory-mb %d, --max-connections %d and --job-memory-mb %d must not be negative", c.RequestMemoryMB, c.MaxConnections, c.JobMemoryMB)
	}
	return nil
}

// limitRuntime sets the limits of the Go runtime according to the settings.
func limitRuntime(s *ccplatform.Settings) {
	runtime.GOMAXPROCS(max(s.Limits.Cores, 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB*bytesPerMB) * memoryLimitShare))
}

// entryProcess is the process that the command entry runs.
type entryProcess struct {
	settings  *ccplatform.Settings
	path      string
	metrics   string
	logWriter *cclog.AsyncWriter
	log       *log.Logger
	process   *cccontrol.Process
	ingress   *ccplatform.Ingress
	registry  *prometheus.Registry
	intake    *ccserver.Intake
	command   *entryCommand
}

// newEntryProcess builds the process. It opens no socket.
func newEntryProcess(s *ccplatform.Settings, path string, logger *log.Logger, c *entryCommand) *entryProcess {
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
	badRegistrations := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "coriandercross_bad_registrations_total", Help: "Registrations of workers that were read and can't be used.",
	})
	reg.MustRegister(badRegistrations)
	sampler := cclog.NewSampler(clock)
	directory := ccplatform.NewDirectory(store, func(id string, err error) {
		badRegistrations.Inc()
		const line = "worker registration is invalid"
		if ok, leftOut := sampler.Allow(line); ok {
			logger.Warn(line, "Worker", id, "Error", err, "LeftOut", leftOut)
		}
	})
	const msPerSecond, bytesPerMsOfMbps = 1000, 125
	p := cccontrol.New(cccontrol.Config{
		VM: s.VM, Region: s.Region, Address: s.Listen.Peers, Seeds: s.Seeds, Cores: s.Limits.CPUShare * float64(max(s.Limits.Cores, 1)), LinkBytesPerMs: s.Limits.LinkMbps * bytesPerMsOfMbps,
		StartMs: time.Now().UnixMilli(), Clock: clock, Log: logger, Sampler: sampler, Metrics: cccontrol.NewMetrics(reg), Store: store, Directory: directory,
		ConfigSource: ccplatform.NewConfigReader(store), Workers: ccplatform.NewWorkerClient(clock, s.Limits.MaxFiles), PolicyService: ccplatform.NewPolicyClient(s.PolicyService),
		Peers:   ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: entryDialTimeout, ControlTimeout: entryCallTimeout, Connections: 4}),
		LeaseMs: min(leaseMs, s.Bounds.MaxLeaseMs), MaxLeaseMs: s.Bounds.MaxLeaseMs, RemoteFactor: max(s.Bounds.RemoteFactor, 1),
		FinalRetentionMs: ccclock.Millis(s.Bounds.FinalRetentionS * msPerSecond), LearnRunTimes: c.LearnRunTimes, StoreBeforeStart: c.StoreBeforeStart, JobMemory: c.jobMemory(s),
	})
	intake := ccserver.NewIntake(ccserver.Config{Limits: c.intakeLimits(s), Clock: clock, Log: logger, Sampler: sampler, Metrics: ccserver.NewMetrics(reg)})
	return &entryProcess{settings: s, path: path, log: logger, process: p, ingress: ccplatform.NewIngress(p), registry: reg, intake: intake, command: c}
}

// jobMemory returns the memory for accepted jobs, in bytes.
func (c *entryCommand) jobMemory(s *ccplatform.Settings) int64 {
	if c.JobMemoryMB != 0 {
		return c.JobMemoryMB * bytesPerMB
	}
	return int64(float64(s.Limits.MemoryMB*bytesPerMB) * ccintake.JobMemoryShare)
}

// intakeLimits returns what the clients of the process may occupy.
func (c *entryCommand) intakeLimits(s *ccplatform.Settings) ccintake.Limits {
	memory := c.RequestMemoryMB * bytesPerMB
	if memory == 0 {
		memory = int64(float64(s.Limits.MemoryMB*bytesPerMB) * ccintake.RequestMemoryShare)
	}
	return ccintake.NewLimits(memory, cmp.Or(c.MaxConnections, ccintake.CallerConns(s.MaxSockets())))
}

// leaseMs is the length of a lease at a worker. It has to outlast the loss of a leader, or a power failure everywhere,
// for a second or two. It has to be shorter than three heartbeats of a worker, after which the store drops a silent
// worker.
const leaseMs = 4400

// serve opens the sockets and runs until SIGTERM or SIGINT, which begin a planned stop. SIGHUP reloads the settings.
func (p *entryProcess) serve() error {
	s := p.settings
	interfaces := map[string]ccserver.ServerConfig{
		s.Listen.Callers: {Kind: ccserver.Callers, Handler: p.ingress.CallerHandler()},
		s.Listen.Ready:   {Kind: ccserver.Readiness, Handler: p.ingress.ReadyHandler()},
		p.metrics:        {Kind: ccserver.Operators, Handler: p.operatorHandler()},
	}
	peerListener, err := p.intake.Listen(ccserver.Peers, s.Listen.Peers)
	if err != nil {
		return err
	}
	var servers []*http.Server
	failed := make(chan error, len(interfaces)+1)
	for address, cfg := range interfaces {
		l, err := p.intake.Listen(cfg.Kind, address)
		if err != nil {
			return err
		}
		server := p.intake.NewServer(cfg)
		servers = append(servers, server)
		go func() { failed <- server.Serve(l) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { failed <- ccpeer.ServeCell(ctx, peerListener, p.process) }()
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
				p.log.Warn("log lines dropped: the log is not read fast enough", "Lines", n)
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

// drain hands over leadership and serves requests for lameDuckShare of the grace period. Requests in progress then get
// half of the rest to end, so that the process exits before the grace period is over.
func (p *entryProcess) drain(servers []*http.Server) {
	grace := time.Duration(p.settings.Bounds.GraceS * float64(time.Second))
	p.log.Info("stopping", "Grace", grace, "Requests", p.ingress.Active())
	p.ingress.CloseConnections()
	p.process.Drain()
	time.Sleep(time.Duration(float64(grace) * lameDuckShare))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*(1-lameDuckShare)/2))
	defer cancel()
	for _, s := range servers {
		// The error is ignored: the platform cuts requests that outlive the grace period in any case.
		_ = s.Shutdown(ctx)
	}
	p.log.Info("stopped", "Requests", p.ingress.Active())
}

// reload reads the settings again. It changes GOMAXPROCS, the memory limit, the limits of what clients may occupy, the
// grace period and the seeds; all other settings stay as they were at the start of the process. If why is "poll", it does
// nothing unless a limit, a bound or a seed has changed.
func (p *entryProcess) reload(why string) {
	s, err := ccplatform.LoadSettings(p.path)
	if err != nil {
		p.log.Warn("settings not reloaded", "Why", why, "Error", err)
		return
	}
	if why == "poll" && !reloadNeeded(p.settings, s) {
		return
	}
	p.settings.Limits, p.settings.Bounds, p.settings.Seeds = s.Limits, s.Bounds, s.Seeds
	p.process.SetSeeds(s.Seeds)
	limitRuntime(s)
	p.intake.SetLimits(p.command.intakeLimits(s))
	p.process.SetJobMemory(p.command.jobMemory(s))
	p.log.Info("settings reloaded", "Why", why, "Seeds", len(s.Seeds), "MemoryMB", s.Limits.MemoryMB)
}

// reloadNeeded reports whether settings that can change while the process runs differ.
func reloadNeeded(old, changed *ccplatform.Settings) bool {
	return old.Limits != changed.Limits || old.Bounds != changed.Bounds || !slices.Equal(old.Seeds, changed.Seeds)
}

// operatorHandler returns the handler of the metrics and the state dump.
func (p *entryProcess) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.Methods(http.MethodGet).Path("/metrics").Handler(promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	r.Methods(http.MethodGet).Path("/dump").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cchttp.WriteJSON(w, http.StatusOK, p.process.Dump())
	})
	return r
}
