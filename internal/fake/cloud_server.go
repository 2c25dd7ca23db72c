package fake

import (
	"net"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/store"
	"wheatspur/wire"
)

// noCapacity is the protocol's error text for a scale-out when the cloud has no machine of the
// type, zone and kind (spot or ordinary).
const noCapacity = "no capacity"

// ServeCloud serves a cloud behind a link until the listener is closed.
func ServeCloud(l net.Listener, link *Link, cloud *Cloud) error { return serve(l, link, cloud.handle) }

// handle responds to one request of the cloud's protocol.
func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/machine_types":
		types, err := c.MachineTypes()
		respond(ctx, wire.MachineTypes{Types: types}, err)
	case path == "/hosts/return":
		var request wire.MachineNames
		if err := wire.Unmarshal(ctx.PostBody(), &request); err != nil {
			respond(ctx, nil, store.ErrMalformed)
			return
		}
		respond(ctx, struct{}{}, c.Terminate(request.Machines))
	case ctx.IsPost():
		var request wire.ScaleOutRequest
		if err := wire.Unmarshal(ctx.PostBody(), &request); err != nil {
			respond(ctx, nil, store.ErrMalformed)
			return
		}
		_, _ = c.ScaleOut(request) // the error is always ErrNoCapacity
		respondStatus(ctx, fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: noCapacity})
	default:
		machines, err := c.ListMachines()
		respond(ctx, wire.MachinePage{Machines: machines}, err)
	}
}
