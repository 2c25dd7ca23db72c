package controller

import (
	"github.com/valyala/fasthttp"

	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// httpServer returns a server for one port that allows the given number of connections.
func (c *Controller) httpServer(handler fasthttp.RequestHandler, connections int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler,
		Name:    "wheatspur",
		// The limit is doubled because fasthttp counts a connection until shortly after it closes.
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

// discardLogger discards fasthttp's log lines; the handlers log what operators need.
type discardLogger struct{}

// Printf discards a log line.
func (discardLogger) Printf(string, ...any) {}
