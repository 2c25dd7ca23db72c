package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Client is the HTTP client of the state service.
type Client struct {
	addr    string
	http    *fasthttp.HostClient
	limiter *Limiter
}

// NewClient returns a client of the service at addr.
func NewClient(addr string, lim *Limiter) *Client {
	return &Client{addr: addr, limiter: lim, http: httpclient.Host(addr, tuning.StoreConns)}
}

// call sends one request; out may be nil.
func (c *Client) call(method, path string, in, out any, timeout time.Duration) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = wire.Marshal(in); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrMalformed, err)
		}
	}
	status, answer, err := httpclient.Do(c.http, method, c.addr, path, body, timeout)
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return 0, ErrRejected
	} else if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	switch status {
	case 429:
		c.limiter.EmptyBucket()
		return status, ErrRejected
	case 503:
		return status, ErrRejected
	}
	if out != nil && (status == 200 || status == 409 || status == 400) {
		if err := wire.Unmarshal(answer, out); err != nil && status != 400 {
			return status, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
		}
	}
	return status, nil
}

// List reads one page of keys.
func (c *Client) List(ctx context.Context, prefix, after string) (wire.ListResponse, error) {
	var out wire.ListResponse
	if err := c.limiter.Acquire(ctx, ClassRead, 0); err != nil {
		return out, err
	}
	path := "/keys?starts=" + url.QueryEscape(prefix) + "&page=" + strconv.Itoa(tuning.ListPage)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	status, err := c.call("GET", path, nil, &out, 2*tuning.StoreCallTimeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: list: status %d", ErrMalformed, status)
	}
	return out, err
}

// CompareAndSwap runs a transaction and returns the revision of its changes.
func (c *Client) CompareAndSwap(ctx context.Context, cl Class, guards []wire.Compare, changes []wire.Operation) (uint64, error) {
	if err := c.limiter.Acquire(ctx, cl, len(changes)); err != nil {
		return 0, err
	}
	if guards == nil {
		guards = []wire.Compare{}
	}
	if changes == nil {
		changes = []wire.Operation{}
	}
	var out wire.TransactionResult
	status, err := c.call("POST", "/multi", wire.Transaction{Compares: guards, Operations: changes}, &out, tuning.StoreCallTimeout)
	switch {
	case err != nil:
		return 0, err
	case status == 200:
		return out.Revision, nil
	case status == 409:
		return out.Revision, fmt.Errorf("%w: %v", ErrConflict, out.FailedCompares)
	case status == 400 && out.Error == "no such lease":
		return 0, ErrLeaseExpired
	}
	return 0, fmt.Errorf("%w: transaction: status %d %s", ErrMalformed, status, out.Error)
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.limiter.Acquire(ctx, ClassLease, 0); err != nil {
		return 0, err
	}
	var out wire.LeaseResponse
	status, err := c.call("POST", "/leases", wire.LeaseRequest{TTLMs: uint64(ttl.Milliseconds())}, &out, tuning.StoreCallTimeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: lease: status %d", ErrMalformed, status)
	}
	return out.ID, err
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	return c.leaseRequest(ctx, "POST", fmt.Sprintf("/leases/%d/touch", leaseID))
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	return c.leaseRequest(ctx, "DELETE", fmt.Sprintf("/leases/%d", leaseID))
}

// leaseRequest sends a request about a lease that has no answer but its status.
func (c *Client) leaseRequest(ctx context.Context, method, path string) error {
	if err := c.limiter.Acquire(ctx, ClassLease, 0); err != nil {
		return err
	}
	status, err := c.call(method, path, nil, nil, tuning.StoreCallTimeout)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrLeaseExpired
	case status != 200:
		return fmt.Errorf("%w: %s %s: status %d", ErrMalformed, method, path, status)
	}
	return nil
}

// Watch waits for changes after the given revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error) {
	var out wire.WatchResponse
	if err := c.limiter.Acquire(ctx, ClassRead, 0); err != nil {
		return out, err
	}
	path := fmt.Sprintf("/watch?starts=%s&after=%d&hold_ms=%d", url.QueryEscape(prefix), after, hold.Milliseconds())
	status, err := c.call("GET", path, nil, &out, hold+tuning.StoreCallTimeout)
	switch {
	case err != nil:
	case status == 410:
		err = ErrCompacted
	case status != 200:
		err = fmt.Errorf("%w: watch: status %d", ErrMalformed, status)
	}
	return out, err
}
