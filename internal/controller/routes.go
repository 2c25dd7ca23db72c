package controller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/peer"
	"wheatspur/internal/response"
)

func (n *Controller) serveUser(c *fasthttp.RequestCtx) {
	n.Metrics.CountAnswer(n.routeUser(c), c.Response.StatusCode())
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
		response.Error(c, 404, "no such path")
		return "other"
	}
	if method != want {
		c.Response.Header.Set("Allow", want)
		response.Error(c, 405, "method not allowed")
		return "other"
	}
	if n.Draining() && method == "POST" && path != "/checkin" {
		n.api.RefuseForNow(c, 503, "this node is stopping")
		return "stopping"
	}
	switch path {
	case "/up":
		if n.healthy() {
			response.Write(c, 200, nil)
		} else {
			n.api.RefuseForNow(c, 503, "not ready")
		}
	case "/status":
		n.observer.ServeStatus(c)
	case "/metrics":
		n.observer.ServeMetrics(c)
	case "/checkin":
		n.Workers.HandleHeartbeat(c)
		return "report"
	case "/work":
		n.api.ServeWork(c, path)
		return "submission"
	default:
		n.api.ServeWork(c, path)
		if want == "POST" {
			return "cancellation"
		}
		return "poll"
	}
	return "operator"
}

func (n *Controller) servePeer(c *fasthttp.RequestCtx) {
	if c.IsPost() && string(c.Path()) == peer.ForwardPath {
		n.api.ServeForwarded(c)
		return
	}
	if string(c.Path()) != peer.StatusPath || !c.IsPost() {
		response.Error(c, 404, "no such path")
		return
	}
	n.Peers.ServeStatus(c)
}

// healthy decides GET /up: a node without the state service passes users on
// while a sibling has it; if none has, there is nobody better. A node that
// hears no sibling either can't tell, and holds that it alone is cut off.
// Guards against a cut-off node, which refuses every request and closes its
// connections, drawing all users as the one with the fewest.
func (n *Controller) healthy() bool {
	if n.Draining() {
		return false
	}
	n.Lock()
	defer n.Unlock()
	if n.HasStore() {
		return n.Cache.Consistent()
	}
	alone := len(n.Peers.Siblings) > 0
	for _, s := range n.Peers.Siblings {
		if n.Peers.IsFresh(s) {
			if s.Status.HasStore {
				return false
			}
			alone = false
		}
	}
	return !alone && n.Cache.Consistent()
}
