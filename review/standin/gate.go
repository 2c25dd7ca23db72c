package standin

import (
	"net"
	"net/http"
	"sync"
)

// Gate is the way from one controller to the state service.
type Gate struct {
	service http.Handler
	node    string
	record  *Record

	mu   sync.Mutex
	lose bool
}

// LoseTransactions begins or ends a spell in which the connections of transactions are reset on
// their way: the transactions are neither carried out nor answered.
func (g *Gate) LoseTransactions(lose bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lose = lose
}

// loses reports whether a request gets lost.
func (g *Gate) loses(r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lose && r.URL.Path == "/multi"
}

// ServeHTTP passes a request on.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.loses(r) {
		g.service.ServeHTTP(w, r)
		return
	}
	g.record.Printf("state: a transaction of %s is lost, its connection is reset", g.node)
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection ends in order
	}
	_ = connection.Close() // the client sees a reset
}
