// Package ccharness runs complete systems on loopback, for the demo, the measurements and the system tests: stand-in
// servers for the platform and the workers, and real entry processes. It checks the results by the workers' records and
// the responses that the callers received, never by the metrics of the processes under test.
package ccharness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccnode"
	"coriandercross/io/ccoperator"
	"coriandercross/io/ccsettings"
	"coriandercross/io/ccstandin"
	"coriandercross/io/ccvmlist"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// ErrTimeout is returned if a condition did not become true in time.
var ErrTimeout = errors.New("timed out")

// Config configures a Cluster.
type Config struct {
	// Dir is the folder for settings, logs and records.
	Dir string
	// Program and Standin are the paths of the coriandercross and standin binaries.
	Program string
	Standin string
	// Entries and Workers are the numbers of entry processes and of workers. They are spread over Domains in turn.
	Entries int
	Workers int
	// WorkersPerRack is the number of workers of one failure domain that have the same rack name.
	WorkersPerRack int
	Domains        []Domain
	// Capacity is that of each worker.
	Capacity ccwork.Size
	// Settings modifies the default settings of each entry process; it may be nil.
	Settings func(*ccsettings.Settings)
	// RejectStale makes the workers reject calls of an older epoch and starts that arrive too late.
	RejectStale bool
	// VMListLagMs is the delay until a change of the VM list becomes visible.
	VMListLagMs int64
	// WorkersInOneProcess runs all workers in one process. They write no records, so CheckRecords can't be used.
	WorkersInOneProcess bool
	// Document is the configuration that Ready applies.
	Document ccteam.Document
}

// Domain is a failure domain of a region.
type Domain struct {
	Region string
	Name   string
}

// Entry is an entry process. Its addresses are in Settings.
type Entry struct {
	*Process
	Settings     ccsettings.Settings
	settingsFile string
}

// Worker is a worker process.
type Worker struct {
	*Process
	VM ccvmlist.VM
	// Record is the path of the file to which the worker appends the starts and ends of its tasks.
	Record string
}

// Cluster is a running system.
type Cluster struct {
	cfg     Config
	Store   *Process
	VMList  *Process
	Entries []*Entry
	Workers []*Worker
	// allWorkers is the process of all workers if Config.WorkersInOneProcess is set, else nil.
	allWorkers *Process

	storeAddress  string
	vmListAddress string
}

// Start starts all processes. The caller must call Stop, also if Start returns an error.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, storeAddress: FreeAddress(), vmListAddress: FreeAddress()}
	c.plan()
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	if err := c.startWorkers(); err != nil {
		return c, err
	}
	for _, e := range c.Entries {
		if err := c.StartEntry(e); err != nil {
			return c, err
		}
	}
	return c, nil
}

const (
	// listenPort is outside the range from which the kernel takes ports for outgoing connections.
	listenPort = 7_900
	// blocks is the number of values used for the second byte of a loopback IP, and hosts that for the third and fourth
	// byte.
	blocks = 200
	hosts  = 250
)

// plan creates the entry processes and workers, spread over the failure domains, without starting them.
func (c *Cluster) plan() {
	for i := range c.cfg.Entries {
		c.Entries = append(c.Entries, c.NewEntry(fmt.Sprintf("entry-%d", i+1), c.cfg.Domains[i%len(c.cfg.Domains)]))
	}
	for i := range c.cfg.Workers {
		d := c.cfg.Domains[i%len(c.cfg.Domains)]
		id := fmt.Sprintf("worker-%02d", i+1)
		rack := fmt.Sprintf("rack-%d", i/len(c.cfg.Domains)/c.cfg.WorkersPerRack+1)
		c.Workers = append(c.Workers, &Worker{
			Process: &Process{Name: id},
			VM: ccvmlist.VM{
				ID: id, Role: ccvmlist.Worker, Address: FreeAddress(), Region: d.Region,
				FailureDomain: d.Name, Rack: rack, Capacity: c.cfg.Capacity,
			},
			Record: filepath.Join(c.cfg.Dir, id+".record"),
		})
	}
}

// NewEntry returns an entry process on a new VM. It is neither started nor added to Entries.
func (c *Cluster) NewEntry(vm string, d Domain) *Entry {
	s := ccsettings.Default()
	s.VM = vm
	s.Region = d.Region
	s.FailureDomain = d.Name
	s.Listen = ccsettings.Listen{Callers: FreeAddress(), Peers: FreeAddress(), Operators: FreeAddress()}
	s.Store = c.storeAddress
	s.VMList = c.vmListAddress
	if c.cfg.Settings != nil {
		c.cfg.Settings(&s)
	}
	return &Entry{Process: &Process{Name: vm}, Settings: s, settingsFile: filepath.Join(c.cfg.Dir, vm+".yaml")}
}

// AllVMs returns the VMs of all entry processes and workers, whether they run or not.
func (c *Cluster) AllVMs() []ccvmlist.VM {
	var out []ccvmlist.VM
	for _, e := range c.Entries {
		out = append(out, ccvmlist.VM{
			ID: e.Settings.VM, Role: ccvmlist.Entry, Address: e.Settings.Listen.Peers,
			Region: e.Settings.Region, FailureDomain: e.Settings.FailureDomain,
		})
	}
	for _, w := range c.Workers {
		out = append(out, w.VM)
	}
	return out
}

// LiveVMs returns the VMs without those of processes that have exited: the list that the platform would show once it
// has detected the failures.
func (c *Cluster) LiveVMs() []ccvmlist.VM {
	dead := map[string]bool{}
	for _, e := range c.Entries {
		dead[e.Settings.VM] = e.cmd != nil && e.Exited()
	}
	for _, w := range c.Workers {
		dead[w.VM.ID] = w.Exited()
	}
	return slices.DeleteFunc(c.AllVMs(), func(vm ccvmlist.VM) bool { return dead[vm.ID] })
}

// startPlatform starts the stand-in servers for the store and the VM list.
func (c *Cluster) startPlatform() error {
	data, err := json.Marshal(ccvmlist.List{VMs: c.AllVMs()})
	if err != nil {
		return errors.Wrap(err, "encoding the VM list")
	}
	file := filepath.Join(c.cfg.Dir, "vms.json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "writing the VM list")
	}
	c.Store = &Process{Name: "store"}
	if err := c.startProcess(c.Store, c.cfg.Standin, "store", "--listen", c.storeAddress); err != nil {
		return err
	}
	c.VMList = &Process{Name: "vms"}
	return c.startProcess(c.VMList, c.cfg.Standin, "vms", "--listen", c.vmListAddress, "--file", file, "--lag-ms", fmt.Sprint(c.cfg.VMListLagMs))
}

func (c *Cluster) startWorkers() error {
	if c.cfg.WorkersInOneProcess {
		c.allWorkers = &Process{Name: "fleet"}
		return c.startProcess(c.allWorkers, c.cfg.Standin, "fleet", "--file", filepath.Join(c.cfg.Dir, "vms.json"))
	}
	for _, w := range c.Workers {
		if err := c.startWorker(w); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startWorker(w *Worker) error {
	s := w.VM.Capacity
	args := []string{
		"worker", "--listen", w.VM.Address, "--id", w.VM.ID, "--record", w.Record,
		"--milli-cores", fmt.Sprint(s.MilliCores), "--memory-mb", fmt.Sprint(s.MemoryMB), "--slots", fmt.Sprint(s.Slots),
		"--connections", fmt.Sprint(s.Connections), "--accelerators", fmt.Sprint(s.Accelerators),
	}
	if c.cfg.RejectStale {
		args = append(args, "--check")
	}
	return c.startProcess(w.Process, c.cfg.Standin, args...)
}

// StartEntry writes the settings file of an entry process and starts it. It can be called again after the process has
// exited.
func (c *Cluster) StartEntry(e *Entry) error {
	data, err := yaml.Marshal(e.Settings)
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	if err := os.WriteFile(e.settingsFile, data, 0o644); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	return c.startProcess(e.Process, c.cfg.Program, "serve", e.settingsFile)
}

// Stop kills all processes.
func (c *Cluster) Stop() {
	for _, e := range c.Entries {
		e.Kill()
	}
	for _, w := range c.Workers {
		w.Kill()
	}
	for _, p := range []*Process{c.Store, c.VMList, c.allWorkers} {
		if p != nil {
			p.Kill()
		}
	}
}

// Ready applies the configuration, and waits until the membership is complete, the shards have successors (see
// converged), and every worker has an owner that may start tasks on it. The timeout applies to the configuration and to
// the wait separately.
func (c *Cluster) Ready(timeout time.Duration) error {
	if err := c.applyConfig(timeout); err != nil {
		return err
	}
	return Eventually(timeout, "not every worker has a ready owner", func() bool {
		return c.converged() && c.ReadyWorkers() == len(c.Workers)
	})
}

// converged reports whether every entry process knows all others, and every shard has a successor, if its region has
// more than one entry process.
func (c *Cluster) converged() bool {
	dumps := c.Dumps()
	for _, d := range dumps {
		if len(d.Members) != len(c.Entries) {
			return false
		}
		for _, s := range d.Shards {
			if s.Record.Successor == "" && c.hasSuccessorCandidates(d.Region) {
				return false
			}
		}
	}
	return len(dumps) == len(c.Entries)
}

// hasSuccessorCandidates reports whether a region has more than one entry process.
func (c *Cluster) hasSuccessorCandidates(region string) bool {
	n := 0
	for _, e := range c.Entries {
		if e.Settings.Region == region {
			n++
		}
	}
	return n > 1
}

// applyConfig applies Config.Document through the first entry process, and retries until a revision is in force.
func (c *Cluster) applyConfig(timeout time.Duration) error {
	body := &ccoperator.ApplyRequest{By: "harness", Document: c.cfg.Document}
	return Eventually(timeout, "configuration was not accepted", func() bool {
		_, err := c.Operator(0).Apply(body)
		return err == nil || c.revision() > 0
	})
}

// revision returns the configuration revision in force at the first entry process, or 0.
func (c *Cluster) revision() uint64 {
	reply, _ := c.Operator(0).Config()
	return reply.Revision
}

// Operator returns a client of the operator interface of entry process i.
func (c *Cluster) Operator(i int) *ccoperator.Client {
	return ccoperator.NewClient(c.Entries[i].Settings.Listen.Operators)
}

// Dumps returns the state dumps of the entry processes that run and respond. It leaves out the others, so that an index
// into the result may differ from that into Entries.
func (c *Cluster) Dumps() []ccnode.Dump {
	var out []ccnode.Dump
	for i, e := range c.Entries {
		if e.cmd == nil || e.Exited() {
			continue
		}
		if d, err := c.Operator(i).Dump(); err == nil {
			out = append(out, d)
		}
	}
	return out
}

// ReadyWorkers returns the number of workers on which their owner may start tasks, summed over the entry processes that
// respond. It returns 0 if one of them has no configuration yet.
func (c *Cluster) ReadyWorkers() int {
	n := 0
	for _, d := range c.Dumps() {
		if d.Revision == 0 {
			return 0
		}
		n += countReady(&d)
	}
	return n
}

// countReady returns the number of workers on which the dumped process may start tasks.
func countReady(d *ccnode.Dump) int {
	n := 0
	for _, w := range d.Workers {
		if w.Ready && !w.Unreachable {
			n++
		}
	}
	return n
}

// SetStoreFaults replaces the faults that the store injects.
func (c *Cluster) SetStoreFaults(f ccstandin.StoreFaults) error {
	return put("http://"+c.storeAddress+"/faults", f)
}

// SetWorkerFaults replaces the faults that a worker injects.
func (c *Cluster) SetWorkerFaults(w *Worker, f ccstandin.WorkerFaults) error {
	return put("http://"+w.VM.Address+"/faults", f)
}

// SetVMs replaces the VM list. The change becomes visible after Config.VMListLagMs.
func (c *Cluster) SetVMs(vms []ccvmlist.VM) error {
	return put("http://"+c.vmListAddress+ccvmlist.Path, ccvmlist.List{VMs: vms})
}

// StoreCounts returns the number of calls to the store so far, by kind.
func (c *Cluster) StoreCounts() (ccstandin.StoreCounts, error) {
	var out ccstandin.StoreCounts
	resp, err := http.Get("http://" + c.storeAddress + "/counts")
	if err != nil {
		return out, errors.Wrap(err, "getting the store's call counts")
	}
	defer func() { _ = resp.Body.Close() }()
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "decoding the store's call counts")
}

// put sends v as JSON in a PUT request.
func put(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding a request body")
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d from %s", resp.StatusCode, url)
	}
	return nil
}
