// Package response writes the HTTP responses of the controller's servers: status, CBOR body, error
// texts and the Retry-After header. The callers decide what to answer.
package response

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatspur/wire"
)

// Write responds with a status and a CBOR-encoded body. A nil body is omitted.
func Write(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(wire.ContentType)
	if body != nil {
		ctx.SetBody(wire.MustMarshal(body))
	}
}

// Error responds with an error status and the reason.
func Error(ctx *fasthttp.RequestCtx, status int, reason string) {
	Write(ctx, status, wire.ErrorResponse{Error: reason})
}

// RetryLater responds with an error status, the reason and the number of seconds after which the
// client should retry.
func RetryLater(ctx *fasthttp.RequestCtx, status, retryAfterS int, reason string) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterS))
	Error(ctx, status, reason)
}

// HandleRequestError responds to a request that fasthttp could not read. It is the ErrorHandler
// of a fasthttp.Server.
func HandleRequestError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		Error(ctx, fasthttp.StatusBadRequest, "body too large")
		return
	}
	Error(ctx, fasthttp.StatusBadRequest, "malformed request")
}
