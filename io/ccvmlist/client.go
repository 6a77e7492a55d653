// Package ccvmlist reads the platform's list of VMs, which may lag behind the platform. The wire format of the list is
// defined in this package only.
package ccvmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccount"

	"github.com/cockroachdb/errors"
)

// Errors of the VM list.
var (
	// ErrUnavailable reports that the list could not be read.
	ErrUnavailable = errors.New("VM list is unavailable")
	// ErrBadList reports a list that violates the format.
	ErrBadList = errors.New("VM list is malformed")
)

// Path is the URL path of the list.
const Path = "/v1/vms"

// Role is the purpose of a VM.
type Role string

const (
	// Entry VMs run a process of this system.
	Entry Role = "Entry"
	// Worker VMs run tasks.
	Worker Role = "Worker"
)

// VM is one VM of the list.
type VM struct {
	ID            string
	Role          Role
	Address       string
	Region        string
	FailureDomain string
	Rack          string
	// Leaving is true once the platform has planned the stop of the VM.
	Leaving  bool        `json:",omitempty"`
	Capacity ccwork.Size `json:",omitzero"`
}

// List is the complete VM list.
type List struct {
	VMs []VM
}

// Check returns ErrBadList if a VM lacks an identifying field, or has an unknown role or an invalid capacity.
func (l *List) Check() error {
	for i := range l.VMs {
		vm := &l.VMs[i]
		if vm.ID == "" || vm.Address == "" || vm.Region == "" || vm.FailureDomain == "" {
			return errors.Wrapf(ErrBadList, "VM %d lacks ID, Address, Region or FailureDomain", i)
		}
		if vm.Role != Entry && vm.Role != Worker {
			return errors.Wrapf(ErrBadList, "VM %q has unknown role %q", vm.ID, vm.Role)
		}
		if vm.Capacity.Check() != nil {
			return errors.Wrapf(ErrBadList, "VM %q has an invalid capacity", vm.ID)
		}
	}
	return nil
}

// LedgerWorker converts a worker VM to the type of the ledger.
func (v *VM) LedgerWorker() ccledger.Worker {
	return ccledger.Worker{
		ID: v.ID, Address: v.Address, Region: v.Region, FailureDomain: v.FailureDomain,
		Rack: v.Rack, Capacity: v.Capacity, Leaving: v.Leaving,
	}
}

// Config configures a Client.
type Config struct {
	// Address is the IP address and port of the server of the list.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// OnBytes is called after each read and write on a connection, with the number of bytes. It may be nil.
	OnBytes func(n int)
}

// Client reads the VM list. It must be used by one goroutine only.
type Client struct {
	cfg  Config
	http *http.Client
	// last is the list read last, and etag its entity tag.
	last List
	etag string
}

// NewClient returns a client. It opens no connection.
func NewClient(cfg Config) *Client {
	t := &http.Transport{DialContext: cccount.Dialer(cfg.Timeout, cfg.OnBytes)}
	return &Client{cfg: cfg, http: &http.Client{Timeout: cfg.Timeout, Transport: t}}
}

// Read returns the VM list. It blocks until the reply, the timeout or the end of ctx, and fails with ErrUnavailable or
// ErrBadList.
func (c *Client) Read(ctx context.Context) (List, error) {
	var l List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+Path, nil)
	if err != nil {
		return l, errors.Wrap(err, "building a request for the VM list")
	}
	if c.etag != "" {
		// While the list is unchanged, the server replies with status 304 and does not send the list again.
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return l, errors.Mark(errors.Wrap(err, "reading the VM list"), ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return l, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return l, errors.Mark(errors.Wrap(err, "decoding the VM list"), ErrBadList)
	}
	if err := l.Check(); err != nil {
		return l, err
	}
	c.last, c.etag = l, resp.Header.Get("ETag")
	return l, nil
}
