package controller

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheatspur/internal/tuning"
)

// boundedListener accepts so many connections at a time, and answers each beyond
// them at once with a 503 that says when to come back. Guards against a controller
// that serves the workers and users of all the others and runs out of sockets for its
// own calls.
type boundedListener struct {
	net.Listener
	max         int64
	open        atomic.Int64
	retryAfterS int // seconds after which a refused client should come back
}

// Accept returns the next connection that there is room for.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: connection, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(connection)
	}
}

// refuse answers without reading: the answer fits any socket's buffer, so that
// it does not hold up the next connection. A client that does not get it sees a
// closed connection, which is all that could be done about an error.
func (l *boundedListener) refuse(connection net.Conn) {
	_ = connection.SetWriteDeadline(time.Now().Add(tuning.RefuseTimeout))
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", l.retryAfterS)
	_ = connection.Close()
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	open    *atomic.Int64 // of the listener
	uncount sync.Once     // a connection may be closed more than once
}

// Close closes the connection and makes room for another.
func (c *countedConn) Close() error {
	c.uncount.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
