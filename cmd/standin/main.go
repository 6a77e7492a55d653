// Command standin runs one stand-in for the platform: the store, a worker, or the VM list.
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

// common are the options of every stand-in.
type common struct {
	Listen string `long:"listen" description:"IP:PORT to listen on" required:"yes"`
}

// serve answers until the process ends.
func (c *common) serve(h http.Handler) error {
	server := &http.Server{Addr: c.Listen, Handler: h, ReadHeaderTimeout: time.Minute}
	return errors.Wrap(server.ListenAndServe(), "serving")
}

// storeCommand runs the store.
type storeCommand struct {
	common
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	return c.serve(ccstandin.NewStore().Handler())
}

// vmsCommand runs the VM list.
type vmsCommand struct {
	common
	File  string `long:"file" description:"JSON list of VMs" required:"yes"`
	LagMs int64  `long:"lag-ms" description:"time until a change shows" default:"2000"`
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
	ID           string `long:"id" description:"name of the VM" required:"yes"`
	MilliCores   int64  `long:"milli-cores" default:"16000"`
	MemoryMB     int64  `long:"memory-mb" default:"64000"`
	Accelerators int64  `long:"accelerators" default:"0"`
	Slots        int64  `long:"slots" default:"8"`
	Connections  int64  `long:"connections" default:"64"`
	Record       string `long:"record" description:"file for the record of starts and ends" required:"yes"`
	Check        bool   `long:"check" description:"refuse stale starts"`
}

// Execute implements flags.Commander.
func (c *workerCommand) Execute([]string) error {
	f, err := os.OpenFile(c.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the record")
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

// fleetCommand runs a worker for each one on a list, in one process and without records.
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

// readVMList reads a list of VMs.
func readVMList(file string) (ccvmlist.List, error) {
	var list ccvmlist.List
	data, err := os.ReadFile(file)
	if err != nil {
		return list, errors.Wrap(err, "reading the list")
	}
	return list, errors.Wrap(json.Unmarshal(data, &list), "decoding the list")
}

func main() {
	p := flags.NewNamedParser("standin", flags.Default)
	for _, c := range []struct {
		name, summary string
		command       flags.Commander
	}{
		{"store", "Run the store.", &storeCommand{}},
		{"vms", "Run the VM list.", &vmsCommand{}},
		{"worker", "Run a worker.", &workerCommand{}},
		{"fleet", "Run many workers in one process.", &fleetCommand{}},
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
