package controller

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatspur/wire"
)

// respond answers with a status and a CBOR body, if there is one.
func respond(c *fasthttp.RequestCtx, status int, body any) {
	c.SetStatusCode(status)
	c.SetContentType(wire.ContentType)
	if body != nil {
		c.SetBody(wire.MustMarshal(body))
	}
}

// respondError refuses a request and says why.
func respondError(c *fasthttp.RequestCtx, status int, reason string) {
	respond(c, status, wire.ErrorResponse{Error: reason})
}

// respondRetry refuses at once what can't be taken now, and says after how many
// seconds to come back.
func respondRetry(c *fasthttp.RequestCtx, status, retryAfterS int, reason string) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterS))
	respondError(c, status, reason)
}

// badRequest answers what fasthttp could not read.
func badRequest(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		respondError(c, 400, "body too large")
		return
	}
	respondError(c, 400, "malformed request")
}
