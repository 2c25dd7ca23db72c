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

// listTimeout bounds the read of one page, which is far larger than other responses.
const listTimeout = 2 * tuning.StoreCallTimeout

// noSuchLeaseMessage is the error text with which the store rejects a transaction that
// attaches a key to an expired lease.
const noSuchLeaseMessage = "no such lease"

// Client is the HTTP client of the key-value store. It implements KeyValueStore.
type Client struct {
	addr    string
	http    *fasthttp.HostClient
	limiter *Limiter
}

// NewClient returns a client of the store at addr. Every call first acquires its budget
// from the limiter.
func NewClient(addr string, limiter *Limiter) *Client {
	return &Client{addr: addr, limiter: limiter, http: httpclient.NewHostClient(addr, tuning.StoreConns)}
}

// call sends one request and returns the status of its response. It encodes request as
// the body and decodes the response body into response; either may be nil.
func (c *Client) call(method, path string, request, response any, timeout time.Duration) (int, error) {
	var body []byte
	if request != nil {
		var err error
		if body, err = wire.Marshal(request); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	status, responseBody, err := httpclient.Do(c.http, method, c.addr, path, body, timeout)
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return 0, ErrRejected // nothing was sent
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case status == fasthttp.StatusTooManyRequests:
		c.limiter.EmptyBucket()
		return status, ErrRejected
	case status == fasthttp.StatusServiceUnavailable:
		return status, ErrRejected
	case response == nil:
		return status, nil
	}
	return status, decodeResponse(status, responseBody, response)
}

// decodeResponse decodes body into response if responses with this status have a body
// that is used.
func decodeResponse(status int, body []byte, response any) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusConflict:
		if err := wire.Unmarshal(body, response); err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	case fasthttp.StatusBadRequest:
		// The body only explains the status: the request counts as malformed even if
		// its body cannot be decoded.
		_ = wire.Unmarshal(body, response)
	}
	return nil
}

// List implements KeyValueStore.
func (c *Client) List(ctx context.Context, prefix, after string) (wire.ListResponse, error) {
	var response wire.ListResponse
	if err := c.limiter.Acquire(ctx, ClassRead, 0); err != nil {
		return response, err
	}
	path := "/keys?starts=" + url.QueryEscape(prefix) + "&page=" + strconv.Itoa(tuning.ListPage)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	status, err := c.call(fasthttp.MethodGet, path, nil, &response, listTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = &StatusError{Call: "list", Status: status}
	}
	return response, err
}

// CompareAndSwap implements KeyValueStore. It also returns the store's revision together
// with an ErrConflict.
func (c *Client) CompareAndSwap(ctx context.Context, class Class, compares []wire.Compare, operations []wire.Operation) (uint64, error) {
	if err := c.limiter.Acquire(ctx, class, len(operations)); err != nil {
		return 0, err
	}
	// An empty list must be encoded as an empty list, not as null.
	if compares == nil {
		compares = []wire.Compare{}
	}
	if operations == nil {
		operations = []wire.Operation{}
	}
	var response wire.TransactionResult
	status, err := c.call(fasthttp.MethodPost, "/multi", wire.Transaction{Compares: compares, Operations: operations}, &response, tuning.StoreCallTimeout)
	switch {
	case err != nil:
		return 0, err
	case status == fasthttp.StatusOK:
		return response.Revision, nil
	case status == fasthttp.StatusConflict:
		return response.Revision, &ConflictError{FailedCompares: response.FailedCompares}
	case status == fasthttp.StatusBadRequest && response.Error == noSuchLeaseMessage:
		return 0, ErrLeaseExpired
	}
	return 0, fmt.Errorf("%w %s", &StatusError{Call: "transaction", Status: status}, response.Error)
}

// GrantLease implements KeyValueStore.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.limiter.Acquire(ctx, ClassLease, 0); err != nil {
		return 0, err
	}
	var response wire.LeaseResponse
	status, err := c.call(fasthttp.MethodPost, "/leases", wire.LeaseRequest{TTLMs: uint64(ttl.Milliseconds())}, &response, tuning.StoreCallTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = &StatusError{Call: "grant lease", Status: status}
	}
	return response.ID, err
}

// RenewLease implements KeyValueStore.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	return c.leaseRequest(ctx, fasthttp.MethodPost, fmt.Sprintf("/leases/%d/touch", leaseID))
}

// RevokeLease implements KeyValueStore.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	return c.leaseRequest(ctx, fasthttp.MethodDelete, fmt.Sprintf("/leases/%d", leaseID))
}

// leaseRequest sends a request about an existing lease; only the status of the response
// matters.
func (c *Client) leaseRequest(ctx context.Context, method, path string) error {
	if err := c.limiter.Acquire(ctx, ClassLease, 0); err != nil {
		return err
	}
	status, err := c.call(method, path, nil, nil, tuning.StoreCallTimeout)
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusNotFound:
		return ErrLeaseExpired
	case status != fasthttp.StatusOK:
		return &StatusError{Call: method + " " + path, Status: status}
	}
	return nil
}

// Watch implements KeyValueStore.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error) {
	var response wire.WatchResponse
	if err := c.limiter.Acquire(ctx, ClassRead, 0); err != nil {
		return response, err
	}
	path := fmt.Sprintf("/watch?starts=%s&after=%d&hold_ms=%d", url.QueryEscape(prefix), after, hold.Milliseconds())
	status, err := c.call(fasthttp.MethodGet, path, nil, &response, hold+tuning.StoreCallTimeout)
	switch {
	case err != nil:
	case status == fasthttp.StatusGone:
		err = ErrCompacted
	case status != fasthttp.StatusOK:
		err = &StatusError{Call: "watch", Status: status}
	}
	return response, err
}
