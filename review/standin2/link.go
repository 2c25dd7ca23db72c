package standin2

import (
	"io"
	"net"
	"sync"
)

// Link is a proxy for connections from one process to a service. While it is cut, it resets all
// connections.
type Link struct {
	Address string
	target  string

	mu    sync.Mutex // guards the two below
	cut   bool
	conns map[net.Conn]bool
}

// NewLink starts a link to target on a free port.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", loopback)
	if err != nil {
		return nil, err
	}
	l := &Link{Address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go l.accept(listener)
	return l, nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

// SetCut begins or ends a cut. Its beginning resets the open connections.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.conns {
			reset(conn)
		}
	}
}

// add registers a connection, and reports whether the link is open.
func (l *Link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Link) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

func (l *Link) forward(client net.Conn) {
	if !l.add(client) {
		reset(client)
		return
	}
	defer l.remove(client)
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	if !l.add(server) {
		reset(server)
		return
	}
	defer l.remove(server)
	var copies sync.WaitGroup
	copies.Go(func() { pipe(server, client) })
	copies.Go(func() { pipe(client, server) })
	copies.Wait()
}

// pipe copies one direction of a connection and then closes both sides.
func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
