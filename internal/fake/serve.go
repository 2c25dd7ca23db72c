package fake

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/store"
	"wheatspur/wire"
)

// unansweredDelay is how long the server holds a request that gets no response: longer than
// the timeout of any client in a controller.
const unansweredDelay = 6 * time.Second

// lateDelay is how long the server delays a late request before carrying it out.
const lateDelay = 2500 * time.Millisecond

// serve serves requests that pass through a link with a handler, until the listener is closed.
func serve(l net.Listener, link *Link, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { link.handle(ctx, handler) },
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return server.Serve(l)
}

// handle injects the link's faults into a request. It calls the handler unless a fault
// prevents that; only POST requests are carried out late. A request without a response is
// held for unansweredDelay and then gets status 503, when its client has timed out.
func (l *Link) handle(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	fault := l.nextFault()
	time.Sleep(fault.delay)
	switch {
	case fault.refuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case fault.late && ctx.IsPost():
		time.Sleep(lateDelay)
		handler(ctx)
	case fault.cut, fault.late:
	default:
		handler(ctx)
		if !fault.lost {
			return
		}
	}
	time.Sleep(unansweredDelay)
	ctx.SetConnectionClose()
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// respond writes a result, or the status that the store's protocol has for an error.
func respond(ctx *fasthttp.RequestCtx, result any, err error) {
	switch {
	case err == nil:
		respondStatus(ctx, fasthttp.StatusOK, result)
	case errors.Is(err, store.ErrConflict):
		respondStatus(ctx, fasthttp.StatusConflict, result)
	case errors.Is(err, store.ErrLeaseExpired) && ctx.IsPost() && string(ctx.Path()) == transactionPath:
		respondStatus(ctx, fasthttp.StatusBadRequest, wire.TransactionResult{Error: "no such lease"})
	case errors.Is(err, store.ErrLeaseExpired):
		respondStatus(ctx, fasthttp.StatusNotFound, result)
	case errors.Is(err, store.ErrCompacted):
		respondStatus(ctx, fasthttp.StatusGone, result)
	case errors.Is(err, store.ErrMalformed):
		respondStatus(ctx, fasthttp.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	default:
		respondStatus(ctx, fasthttp.StatusServiceUnavailable, result)
	}
}

// respondStatus writes a status and a body.
func respondStatus(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(wire.ContentType)
	ctx.SetBody(wire.MustMarshal(body))
}
