package controller

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheatspur/internal/tuning"
)

// boundedListener takes so many connections at once, and answers each beyond
// them at once with a 503 that says when to come back. Guards against a node
// that faces the workers and users of all the others and runs out of sockets
// for its own calls.
type boundedListener struct {
	net.Listener
	max         int64
	open        atomic.Int64
	retryAfterS int // seconds after which who is refused should come back
}

// Accept returns the next connection that there is room for.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, count: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

// refuse answers without reading: the answer fits any socket's buffer, so that
// it does not hold up the next connection.
func (l *boundedListener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(tuning.RefuseTimeout))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", l.retryAfterS)
	_ = c.Close()
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	count *atomic.Int64
	once  sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.Conn.Close()
}
