// Package httpclient is how this program calls others over HTTP: IPv4 only, a
// deadline on every call, bounded connections, and no repeats by the library:
// a repeat must be a decision of the caller, who knows what a lost answer
// means.
package httpclient

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Doer sends a request within a time.
type Doer interface {
	DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

func dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp4", addr, tuning.DialTimeout)
}

func noRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Host returns a client of one address.
func Host(addr string, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: addr, Dial: dial, MaxConns: conns, MaxIdleConnDuration: tuning.IdleTimeout,
		RetryIfErr: noRetry, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: tuning.MaxResponse,
		NoDefaultUserAgentHeader: true}
}

// Many returns a client of many addresses, with few connections to each.
func Many(conns int) *fasthttp.Client {
	return &fasthttp.Client{Dial: dial, MaxConnsPerHost: conns, MaxIdleConnDuration: tuning.WorkerIdle,
		RetryIfErr: noRetry, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: tuning.MaxResponse,
		NoDefaultUserAgentHeader: true}
}

// Do sends one request and returns the answer's status and a copy of its body.
func Do(c Doer, method, addr, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	if body != nil {
		req.Header.SetContentType(wire.ContentType)
		req.SetBody(body)
	}
	if err := c.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
