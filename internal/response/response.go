// Package response writes the HTTP answers of the controller's servers.
package response

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatspur/wire"
)

// Write answers with a status and a CBOR body, if there is one.
func Write(c *fasthttp.RequestCtx, status int, body any) {
	c.SetStatusCode(status)
	c.SetContentType(wire.ContentType)
	if body != nil {
		c.SetBody(wire.MustMarshal(body))
	}
}

// Error refuses a request and says why.
func Error(c *fasthttp.RequestCtx, status int, reason string) {
	Write(c, status, wire.ErrorResponse{Error: reason})
}

// Retry refuses at once what can't be taken now, and says after how many
// seconds to come back.
func Retry(c *fasthttp.RequestCtx, status, retryAfterS int, reason string) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterS))
	Error(c, status, reason)
}

// Malformed answers what fasthttp could not read.
func Malformed(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		Error(c, 400, "body too large")
		return
	}
	Error(c, 400, "malformed request")
}
