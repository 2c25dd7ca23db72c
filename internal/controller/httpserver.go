package controller

import (
	"github.com/valyala/fasthttp"

	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// httpServer returns a server of one port, with room for so many connections.
func (c *Controller) httpServer(handler fasthttp.RequestHandler, connections int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler,
		Name:    "wheatspur",
		// fasthttp counts a connection until a little after its end.
		Concurrency:           2 * max(connections, tuning.MinConnections),
		ReadTimeout:           tuning.ReadTimeout,
		WriteTimeout:          tuning.WriteTimeout,
		IdleTimeout:           tuning.IdleTimeout,
		MaxRequestBodySize:    wire.MaxBody,
		ReadBufferSize:        tuning.ConnectionBufferBytes,
		WriteBufferSize:       tuning.ConnectionBufferBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		ErrorHandler:          response.HandleRequestError,
		Logger:                discardLogger{},
	}
}

// discardLogger drops fasthttp's own lines; what matters is logged by the handlers.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}
