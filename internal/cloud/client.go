// Package cloud is the HTTP client of the cloud: it reads the machine types and
// the list of machines, adds machines and terminates them. It keeps to this
// controller's share of the cloud's rate limit and never retries a call.
//
// It keeps no list of machines and makes no decisions: package inventory holds the
// stored machine records, and package autoscale plans what to request from the
// cloud.
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

// Errors of a call to the cloud, for errors.Is.
var (
	// ErrNoCapacity is returned when the cloud has no machine of the requested type and
	// zone, spot or on-demand as requested.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable is returned when the cloud rejected the call or sent no valid
	// response, or when the client's rate limit did not allow the call.
	ErrUnavailable = errors.New("cloud call failed")
)

// noCapacityMessage is the cloud's error text that maps to ErrNoCapacity.
const noCapacityMessage = "no capacity"

// Provider is the cloud API that the leader uses.
type Provider interface {
	// MachineTypes reads the machine types.
	MachineTypes() ([]wire.MachineType, error)
	// ScaleOut adds machines and returns their names, which may be fewer than
	// requested.
	ScaleOut(request wire.ScaleOutRequest) ([]string, error)
	// Terminate terminates machines; once it succeeds, they no longer exist.
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
	tokens     float64 // calls that may be made now, at most one second's worth
	refilledAt time.Time
}

// NewClient returns a client of the cloud at addr, limited to callsPerSecond by a
// token bucket that holds one second's worth of calls.
func NewClient(addr string, callsPerSecond float64, now func() time.Time) *Client {
	return &Client{
		addr:           addr,
		http:           httpclient.NewHostClient(addr, tuning.CloudConns),
		callsPerSecond: callsPerSecond,
		now:            now,
		tokens:         callsPerSecond,
		refilledAt:     now(),
	}
}

// takeToken takes one call from the token bucket and reports whether there was one.
// It does not wait.
func (c *Client) takeToken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.tokens = min(c.tokens+now.Sub(c.refilledAt).Seconds()*c.callsPerSecond, c.callsPerSecond)
	c.refilledAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// call makes one call with request as its body, or without a body if request is
// nil, and decodes the response body into response unless response is nil.
func (c *Client) call(method, path string, request, response any) error {
	if !c.takeToken() {
		return fmt.Errorf("%w: client-side rate limit exceeded", ErrUnavailable)
	}
	var body []byte
	if request != nil {
		body = wire.MustMarshal(request)
	}
	status, responseBody, err := httpclient.Do(c.http, method, c.addr, path, body, tuning.CloudCallTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if status != http.StatusOK {
		var failure wire.ErrorResponse
		if wire.Unmarshal(responseBody, &failure) == nil && failure.Error == noCapacityMessage {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d %s", ErrUnavailable, status, failure.Error)
	}
	if response == nil {
		return nil
	}
	if err := wire.Unmarshal(responseBody, response); err != nil {
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

// ScaleOut adds machines and returns their names, which may be fewer than
// requested.
func (c *Client) ScaleOut(request wire.ScaleOutRequest) ([]string, error) {
	var response wire.MachineNames
	err := c.call(http.MethodPost, "/hosts", request, &response)
	return response.Machines, err
}

// Terminate terminates machines; once it succeeds, they no longer exist.
func (c *Client) Terminate(machines []string) error {
	return c.call(http.MethodPost, "/hosts/return", wire.MachineNames{Machines: machines}, nil)
}

// ListPageSize is the number of machines per page of the list, the maximum that
// the cloud allows.
const ListPageSize = 500

// ListMachines reads the whole list of machines, with one call per page.
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
