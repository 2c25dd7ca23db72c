// Package httpclient is how this program calls others over HTTP: IPv4 only, a
// deadline on every call, bounded connections, and no retries by the library: a
// retry must be a decision of the caller, who knows what a lost answer means.
//
// It knows no protocol but HTTP: the callers encode requests, read statuses and
// decode answers.
package httpclient

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Doer sends a request and waits for its answer for at most a time.
type Doer interface {
	// DoTimeout sends req and reads its answer into resp.
	DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

func dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp4", addr, tuning.DialTimeout)
}

// noRetry refuses every retry, whatever the bound on attempts allows.
func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// maxAttempts is the library's bound on attempts; unset, it is five for
// idempotent methods.
const maxAttempts = 1

// NewHostClient returns a client of one address with at most so many connections.
func NewHostClient(addr string, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      dial,
		MaxConns:                  conns,
		MaxIdleConnDuration:       tuning.IdleTimeout,
		RetryIfErr:                noRetry,
		MaxIdemponentCallAttempts: maxAttempts,
		MaxResponseBodySize:       tuning.MaxResponse,
		NoDefaultUserAgentHeader:  true,
	}
}

// NewClient returns a client of many addresses with at most so many connections to each.
func NewClient(conns int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      dial,
		MaxConnsPerHost:           conns,
		MaxIdleConnDuration:       tuning.WorkerIdle,
		RetryIfErr:                noRetry,
		MaxIdemponentCallAttempts: maxAttempts,
		MaxResponseBodySize:       tuning.MaxResponse,
		NoDefaultUserAgentHeader:  true,
	}
}

// Do sends one request, with a body unless that is nil, and returns the
// answer's status and a copy of its body. The error is the library's, as it is.
func Do(client Doer, method, addr, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	if body != nil {
		req.Header.SetContentType(wire.ContentType)
		req.SetBody(body)
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
