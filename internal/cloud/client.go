// Package cloud is the HTTP client of the cloud: it reads the machine types and
// the list of machines, adds machines and terminates them. It keeps to this
// controller's share of the cloud's call rate, and repeats nothing.
//
// It keeps no list of machines, and decides nothing: stored records are in
// package inventory, and what to ask the cloud for is planned in package
// autoscale.
package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Errors of a call to the cloud that callers tell apart.
var (
	// ErrNoCapacity is returned when the cloud has no machine of this type, zone
	// and kind.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable is returned when the call was refused, failed or was not
	// answered, or was not made because the call budget is spent.
	ErrUnavailable = errors.New("cloud does not answer")
)

// noCapacityMessage is the cloud's error text that means ErrNoCapacity.
const noCapacityMessage = "no capacity"

// Provider is what the leader needs of the cloud.
type Provider interface {
	// MachineTypes reads the machine types.
	MachineTypes() ([]wire.MachineType, error)
	// ScaleOut adds machines and returns their names, which may be fewer than
	// were asked for.
	ScaleOut(request wire.ScaleOutRequest) ([]string, error)
	// Terminate terminates machines; when it succeeds they are gone.
	Terminate(machines []string) error
	// ListMachines reads the whole list of machines.
	ListMachines() ([]wire.Machine, error)
}

// Client is the HTTP client of the cloud. It is safe for concurrent use.
type Client struct {
	addr           string
	http           *fasthttp.HostClient
	callsPerSecond float64
	now            func() time.Time

	mu         sync.Mutex
	budget     float64 // calls that may be made now, at most a second's
	refilledAt time.Time
}

// NewClient returns a client that makes at most so many calls a second.
func NewClient(addr string, callsPerSecond float64, now func() time.Time) *Client {
	return &Client{
		addr:           addr,
		http:           httpclient.NewHostClient(addr, tuning.CloudConns),
		callsPerSecond: callsPerSecond,
		now:            now,
		budget:         callsPerSecond,
		refilledAt:     now(),
	}
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

// call makes one call with request as its body, none if it is nil, and decodes
// the answer into response unless that is nil.
func (c *Client) call(method, path string, request, response any) error {
	if !c.takeCall() {
		return fmt.Errorf("%w: call budget is spent", ErrUnavailable)
	}
	var body []byte
	if request != nil {
		body = wire.MustMarshal(request)
	}
	status, answer, err := httpclient.Do(c.http, method, c.addr, path, body, tuning.CloudCallTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if status != http.StatusOK {
		var failure wire.ErrorResponse
		if wire.Unmarshal(answer, &failure) == nil && failure.Error == noCapacityMessage {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d %s", ErrUnavailable, status, failure.Error)
	}
	if response == nil {
		return nil
	}
	if err := wire.Unmarshal(answer, response); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// MachineTypes reads the machine types.
func (c *Client) MachineTypes() ([]wire.MachineType, error) {
	var response wire.MachineTypes
	err := c.call(http.MethodGet, "/machine_types", nil, &response)
	return response.Types, err
}

// ScaleOut adds machines and returns their names, which may be fewer than were
// asked for.
func (c *Client) ScaleOut(request wire.ScaleOutRequest) ([]string, error) {
	var response wire.MachineNames
	err := c.call(http.MethodPost, "/hosts", request, &response)
	return response.Machines, err
}

// Terminate terminates machines; when it succeeds they are gone.
func (c *Client) Terminate(machines []string) error {
	return c.call(http.MethodPost, "/hosts/return", wire.MachineNames{Machines: machines}, nil)
}

// ListPageSize is the number of machines on a page of the list, the most that
// the cloud allows.
const ListPageSize = 500

// ListMachines reads the whole list of machines, each page a call.
func (c *Client) ListMachines() ([]wire.Machine, error) {
	var all []wire.Machine
	after := ""
	for {
		path := "/hosts?page=" + strconv.Itoa(ListPageSize)
		if after != "" {
			path += "&after=" + url.QueryEscape(after)
		}
		var page wire.MachinePage
		if err := c.call(http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
