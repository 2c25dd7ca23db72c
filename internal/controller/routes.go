package controller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/peer"
)

func (n *Controller) serveUser(c *fasthttp.RequestCtx) {
	n.metrics.countAnswer(n.routeUser(c), c.Response.StatusCode())
}

// routeUser serves a request and returns its kind, for the metrics.
func (n *Controller) routeUser(c *fasthttp.RequestCtx) string {
	path, method := string(c.Path()), string(c.Method())
	want := ""
	switch {
	case path == "/up", path == "/status", path == "/metrics":
		want = "GET"
	case path == "/work", path == "/checkin":
		want = "POST"
	case strings.HasPrefix(path, "/work/"):
		want = "GET"
		if strings.HasSuffix(path, "/cancel") {
			want = "POST"
		}
	}
	if want == "" {
		respondError(c, 404, "no such path")
		return "other"
	}
	if method != want {
		c.Response.Header.Set("Allow", want)
		respondError(c, 405, "method not allowed")
		return "other"
	}
	if n.draining() && method == "POST" && path != "/checkin" {
		n.api.refuseForNow(c, 503, "this node is stopping")
		return "stopping"
	}
	switch path {
	case "/up":
		if n.healthy() {
			respond(c, 200, nil)
		} else {
			n.api.refuseForNow(c, 503, "not ready")
		}
	case "/status":
		n.observer.serveStatus(c)
	case "/metrics":
		n.observer.serveMetrics(c)
	case "/checkin":
		n.workers.handleHeartbeat(c)
		return "report"
	case "/work":
		n.api.serveWork(c, path)
		return "submission"
	default:
		n.api.serveWork(c, path)
		if want == "POST" {
			return "cancellation"
		}
		return "poll"
	}
	return "operator"
}

func (n *Controller) servePeer(c *fasthttp.RequestCtx) {
	if c.IsPost() && string(c.Path()) == peer.ForwardPath {
		n.api.serveForwarded(c)
		return
	}
	if string(c.Path()) != peer.StatusPath || !c.IsPost() {
		respondError(c, 404, "no such path")
		return
	}
	n.peers.serveStatus(c)
}

// healthy decides GET /up: a node without the state service passes users on
// while a sibling has it; if none has, there is nobody better. A node that
// hears no sibling either can't tell, and holds that it alone is cut off.
// Guards against a cut-off node, which refuses every request and closes its
// connections, drawing all users as the one with the fewest.
func (n *Controller) healthy() bool {
	if n.draining() {
		return false
	}
	n.Lock()
	defer n.Unlock()
	if n.hasStore() {
		return n.cache.Consistent()
	}
	alone := len(n.peers.siblings) > 0
	for _, s := range n.peers.siblings {
		if n.peers.isFresh(s) {
			if s.status.HasStore {
				return false
			}
			alone = false
		}
	}
	return !alone && n.cache.Consistent()
}
