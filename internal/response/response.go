// Package response writes the HTTP answers of the controller's servers: status,
// CBOR body, error texts and Retry-After. What to answer is decided by the callers.
package response

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatspur/wire"
)

// Write answers with a status and a body encoded as CBOR; nil is no body.
func Write(c *fasthttp.RequestCtx, status int, body any) {
	c.SetStatusCode(status)
	c.SetContentType(wire.ContentType)
	if body != nil {
		c.SetBody(wire.MustMarshal(body))
	}
}

// Error answers with an error status and the reason.
func Error(c *fasthttp.RequestCtx, status int, reason string) {
	Write(c, status, wire.ErrorResponse{Error: reason})
}

// Retry answers with an error status, the reason and the number of seconds after
// which the client should try again.
func Retry(c *fasthttp.RequestCtx, status, retryAfterS int, reason string) {
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterS))
	Error(c, status, reason)
}

// Malformed answers a request that fasthttp could not read; it is an ErrorHandler
// of fasthttp.Server.
func Malformed(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		Error(c, fasthttp.StatusBadRequest, "body too large")
		return
	}
	Error(c, fasthttp.StatusBadRequest, "malformed request")
}
