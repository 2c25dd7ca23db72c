// Package httpclient configures the HTTP clients of this program: IPv4 only, a
// timeout for every call, a bounded number of connections, and no retries by the
// library. Whether to retry is up to the caller, which knows what a lost response
// means for its request.
//
// It knows no protocol above HTTP: callers encode requests, interpret statuses and
// decode responses.
package httpclient

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Doer sends a request and waits for its response up to a timeout.
type Doer interface {
	// DoTimeout sends req and reads its response into resp.
	DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

func dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp4", addr, tuning.DialTimeout)
}

// noRetry prevents every retry by the library, whatever its limit on attempts.
func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// maxAttempts is the library's limit on attempts. If unset, it is five for
// idempotent methods.
const maxAttempts = 1

// NewHostClient returns a client of the server at addr with at most maxConns
// connections.
func NewHostClient(addr string, maxConns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       tuning.IdleTimeout,
		RetryIfErr:                noRetry,
		MaxIdemponentCallAttempts: maxAttempts,
		MaxResponseBodySize:       tuning.MaxResponse,
		NoDefaultUserAgentHeader:  true,
	}
}

// NewClient returns a client of any number of servers with at most maxConns
// connections to each.
func NewClient(maxConns int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      dial,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       tuning.WorkerIdle,
		RetryIfErr:                noRetry,
		MaxIdemponentCallAttempts: maxAttempts,
		MaxResponseBodySize:       tuning.MaxResponse,
		NoDefaultUserAgentHeader:  true,
	}
}

// Do sends one request, with a body unless body is nil, and returns the status and
// a copy of the body of the response. It returns the library's errors unwrapped.
func Do(client Doer, method, addr, path string, body []byte, timeout time.Duration) (status int, responseBody []byte, err error) {
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
