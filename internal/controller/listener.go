package controller

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheatspur/internal/tuning"
)

// boundedListener limits the number of open connections and immediately refuses each further one
// with status 503 and a Retry-After header. This keeps a controller that takes over the workers and
// users of all other controllers from running out of sockets for its own calls.
type boundedListener struct {
	net.Listener
	limit       int64
	open        atomic.Int64
	retryAfterS int // Retry-After for refused clients, in seconds
}

// Accept returns the next connection within the limit and refuses those beyond it.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: connection, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(connection)
	}
}

// refuse responds without reading the request. The response fits into any socket send buffer, so
// writing it does not delay the next connection. Errors are ignored: a client that does not receive
// the response sees a closed connection, and nothing more could be done for it.
func (l *boundedListener) refuse(connection net.Conn) {
	_ = connection.SetWriteDeadline(time.Now().Add(tuning.RefuseTimeout))
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", l.retryAfterS)
	_ = connection.Close()
}

// countedConn is a connection that counts toward its listener's limit until it is closed.
type countedConn struct {
	net.Conn
	open        *atomic.Int64 // the listener's number of open connections
	releaseOnce sync.Once     // Close may be called more than once
}

// Close closes the connection and removes it from the listener's count.
func (c *countedConn) Close() error {
	c.releaseOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
