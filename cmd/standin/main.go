// Command standin runs a stand-in server for tests and the demo. It implements the protocol of one of the platform's
// services: the store, the VM list, or a worker.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"coriandercross/core/ccwork"
	"coriandercross/io/ccstandin"
	"coriandercross/io/ccvmlist"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// common holds the options of all stand-in servers.
type common struct {
	Listen string `long:"listen" description:"IP:PORT to listen on" required:"yes"`
}

// serve listens and serves requests. It returns only on an error.
func (c *common) serve(h http.Handler) error {
	server := &http.Server{Addr: c.Listen, Handler: h, ReadHeaderTimeout: time.Minute}
	return errors.Wrap(server.ListenAndServe(), "serving")
}

// storeCommand serves a store.
type storeCommand struct {
	common
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	return c.serve(ccstandin.NewStore().Handler())
}

// vmsCommand serves a VM list.
type vmsCommand struct {
	common
	File  string `long:"file" description:"JSON list of VMs" required:"yes"`
	LagMs int64  `long:"lag-ms" description:"delay until a change of the list becomes visible" default:"2000"`
}

// Execute implements flags.Commander.
func (c *vmsCommand) Execute([]string) error {
	list, err := readVMList(c.File)
	if err != nil {
		return err
	}
	return c.serve(ccstandin.NewVMList(list.VMs, time.Duration(c.LagMs)*time.Millisecond).Handler())
}

// workerCommand runs a worker.
type workerCommand struct {
	common
	ID           string `long:"id" description:"ID of the worker's VM" required:"yes"`
	MilliCores   int64  `long:"milli-cores" default:"16000"`
	MemoryMB     int64  `long:"memory-mb" default:"64000"`
	Accelerators int64  `long:"accelerators" default:"0"`
	Slots        int64  `long:"slots" default:"8"`
	Connections  int64  `long:"connections" default:"64"`
	Record       string `long:"record" description:"file that the starts and ends of tasks are appended to" required:"yes"`
	Check        bool   `long:"check" description:"reject calls of an older epoch, and starts that arrive too late"`
}

// Execute implements flags.Commander.
func (c *workerCommand) Execute([]string) error {
	f, err := os.OpenFile(c.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the record file")
	}
	w := ccstandin.NewWorker(ccstandin.WorkerConfig{
		ID: c.ID,
		Capacity: ccwork.Size{
			MilliCores: c.MilliCores, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators,
			Slots: c.Slots, Connections: c.Connections,
		},
		RejectStale: c.Check,
		OnEvent:     ccstandin.JSONRecorder(f),
	})
	return c.serve(w.Handler())
}

// fleetCommand runs all workers of a VM list in one process. They write no records.
type fleetCommand struct {
	File string `long:"file" description:"JSON list of VMs" required:"yes"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	list, err := readVMList(c.File)
	if err != nil {
		return err
	}
	failed := make(chan error)
	for _, vm := range list.VMs {
		if vm.Role != ccvmlist.Worker {
			continue
		}
		w := ccstandin.NewWorker(ccstandin.WorkerConfig{ID: vm.ID, Capacity: vm.Capacity})
		go func() { failed <- (&common{Listen: vm.Address}).serve(w.Handler()) }()
	}
	return <-failed
}

func readVMList(file string) (ccvmlist.List, error) {
	var list ccvmlist.List
	data, err := os.ReadFile(file)
	if err != nil {
		return list, errors.Wrap(err, "reading the VM list")
	}
	return list, errors.Wrap(json.Unmarshal(data, &list), "decoding the VM list")
}

func main() {
	p := flags.NewNamedParser("standin", flags.Default)
	for _, c := range []struct {
		name, summary string
		command       flags.Commander
	}{
		{"store", "Serve an empty store.", &storeCommand{}},
		{"vms", "Serve the VM list of a file.", &vmsCommand{}},
		{"worker", "Run a worker.", &workerCommand{}},
		{"fleet", "Run all workers of a VM list in one process.", &fleetCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.summary, c.summary, c.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(1)
	}
}
