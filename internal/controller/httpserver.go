package controller

import (
	"github.com/valyala/fasthttp"

	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

const (
	// peerConnectionsEach is how many connections of each sibling there is room for:
	// twice as many as it opens at a time.
	peerConnectionsEach = 2 * tuning.PeerConns
	// maxPeerBody bounds a message of a sibling. Its status lists its machines.
	maxPeerBody = 1 << 20
	// minConnections is the least a server has room for, whatever the settings say.
	minConnections = 8
	// connectionBufferBytes is the size of each of a connection's two buffers. It bounds
	// the header of a request.
	connectionBufferBytes = 4096
)

// httpServer returns a server of one port, with room for so many connections.
func (c *Controller) httpServer(handler fasthttp.RequestHandler, connections int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler,
		Name:    "wheatspur",
		// fasthttp counts a connection until a little after its end.
		Concurrency:           2 * max(connections, minConnections),
		ReadTimeout:           tuning.ReadTimeout,
		WriteTimeout:          tuning.WriteTimeout,
		IdleTimeout:           tuning.IdleTimeout,
		MaxRequestBodySize:    wire.MaxBody,
		ReadBufferSize:        connectionBufferBytes,
		WriteBufferSize:       connectionBufferBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		ErrorHandler:          response.Malformed,
		Logger:                discardLogger{},
	}
}

// discardLogger drops fasthttp's own lines; what matters is logged by the handlers.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}
