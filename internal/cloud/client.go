// Package cloud calls the cloud's API: machine types, scale out, termination and
// the list of machines.
package cloud

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Outcomes of a call to the cloud.
var (
	// ErrNoCapacity: no machine of this type, zone and kind.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable: refused, in trouble, or no answer.
	ErrUnavailable = errors.New("cloud does not answer")
)

// Provider is what the leader needs of the cloud.
type Provider interface {
	MachineTypes() ([]wire.MachineType, error)
	ScaleOut(h wire.ScaleOutRequest) ([]string, error)
	Terminate(hosts []string) error
	ListMachines() ([]wire.Machine, error)
}

// Client is the HTTP client of the cloud.
type Client struct {
	addr           string
	http           *fasthttp.HostClient
	callsPerSecond float64
	now            func() time.Time

	mu         sync.Mutex
	budget     float64
	refilledAt time.Time
}

// NewClient returns a client that keeps to its share of the cloud's rate.
func NewClient(addr string, rps float64, now func() time.Time) *Client {
	return &Client{addr: addr, callsPerSecond: rps, now: now, budget: rps, refilledAt: now(), http: httpclient.Host(addr, tuning.CloudConns)}
}

// takeCall takes one call from the budget, or refuses at once.
func (c *Client) takeCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.budget = min(c.budget+now.Sub(c.refilledAt).Seconds()*c.callsPerSecond, c.callsPerSecond)
	c.refilledAt = now
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}

func (c *Client) call(method, path string, in, out any) error {
	if !c.takeCall() {
		return fmt.Errorf("%w: call budget is spent", ErrUnavailable)
	}
	var body []byte
	if in != nil {
		body = wire.MustMarshal(in)
	}
	status, answer, err := httpclient.Do(c.http, method, c.addr, path, body, tuning.CloudCallTimeout)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if status != 200 {
		var f wire.ErrorResponse
		if wire.Unmarshal(answer, &f) == nil && f.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d %s", ErrUnavailable, status, f.Error)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}

// MachineTypes reads the machine types.
func (c *Client) MachineTypes() ([]wire.MachineType, error) {
	var out wire.MachineTypes
	err := c.call("GET", "/machine_types", nil, &out)
	return out.Types, err
}

// ScaleOut rents machines.
func (c *Client) ScaleOut(h wire.ScaleOutRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.call("POST", "/hosts", h, &out)
	return out.Machines, err
}

// Terminate gives machines back; when it succeeds they are gone.
func (c *Client) Terminate(hosts []string) error {
	return c.call("POST", "/hosts/return", wire.MachineNames{Machines: hosts}, nil)
}

// ListPageSize is the number of machines on a page of the list, the most allowed.
const ListPageSize = 500

// ListMachines reads the whole machine list.
func (c *Client) ListMachines() ([]wire.Machine, error) {
	var all []wire.Machine
	after := ""
	for {
		path := "/hosts?page=" + strconv.Itoa(ListPageSize)
		if after != "" {
			path += "&after=" + url.QueryEscape(after)
		}
		var page wire.MachinePage
		if err := c.call("GET", path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
