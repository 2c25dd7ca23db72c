package controller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/api"
	"wheatspur/internal/peer"
	"wheatspur/internal/response"
)

// requestKind is the kind of a request, used as a label value of the wheatspur_answers_total
// metric.
type requestKind string

// Kinds of requests.
const (
	kindOperator     requestKind = "operator"
	kindHeartbeat    requestKind = "report"
	kindSubmission   requestKind = "submission"
	kindCancellation requestKind = "cancellation"
	kindPoll         requestKind = "poll"
	kindStopping     requestKind = "stopping" // refused because the controller is shutting down
	kindOther        requestKind = "other"    // no route matches
)

// handler serves the requests of a route.
type handler func(*Controller, *fasthttp.RequestCtx)

// route describes the requests that a handler serves.
type route struct {
	method string
	path   string
	// prefix and suffix match paths if path is empty. They may overlap within a path.
	prefix, suffix       string
	kind                 requestKind
	refusedWhileStopping bool
	handle               handler
}

func (r *route) matches(path string) bool {
	if r.path != "" {
		return path == r.path
	}
	return strings.HasPrefix(path, r.prefix) && strings.HasSuffix(path, r.suffix)
}

// userRoutes are the routes of the port for users, workers and operators. The first match applies.
var userRoutes = []route{
	{method: fasthttp.MethodGet, path: "/up", kind: kindOperator, handle: (*Controller).serveUp},
	{method: fasthttp.MethodGet, path: "/status", kind: kindOperator, handle: (*Controller).serveStatus},
	{method: fasthttp.MethodGet, path: "/metrics", kind: kindOperator, handle: (*Controller).serveMetrics},
	{method: fasthttp.MethodPost, path: "/checkin", kind: kindHeartbeat, handle: (*Controller).serveHeartbeat},
	{method: fasthttp.MethodPost, path: api.SubmissionPath, kind: kindSubmission, refusedWhileStopping: true, handle: (*Controller).serveWork},
	{method: fasthttp.MethodPost, prefix: api.JobPathPrefix, suffix: api.CancelSuffix, kind: kindCancellation, refusedWhileStopping: true, handle: (*Controller).serveWork},
	{method: fasthttp.MethodGet, prefix: api.JobPathPrefix, kind: kindPoll, handle: (*Controller).serveWork},
}

// peerRoutes are the routes of the port for the other controllers.
var peerRoutes = []route{
	{method: fasthttp.MethodPost, path: peer.StatusPath, handle: (*Controller).servePeerStatus},
	{method: fasthttp.MethodPost, path: peer.ForwardPath, handle: (*Controller).serveForwarded},
}

// routeFor returns the first route that matches a path, or nil if none does.
func routeFor(routes []route, path string) *route {
	for i := range routes {
		if routes[i].matches(path) {
			return &routes[i]
		}
	}
	return nil
}

// serveUser serves a request on the port for users, workers and operators and counts its response.
func (c *Controller) serveUser(request *fasthttp.RequestCtx) {
	kind := c.routeUser(request)
	c.Metrics.CountResponse(string(kind), request.Response.StatusCode())
}

// routeUser serves a request and returns its kind.
func (c *Controller) routeUser(request *fasthttp.RequestCtx) requestKind {
	matched := routeFor(userRoutes, string(request.Path()))
	switch {
	case matched == nil:
		response.Error(request, fasthttp.StatusNotFound, "no such path")
		return kindOther
	case string(request.Method()) != matched.method:
		request.Response.Header.Set(fasthttp.HeaderAllow, matched.method)
		response.Error(request, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return kindOther
	case matched.refusedWhileStopping && c.IsStopping():
		c.api.RespondRetryLater(request, fasthttp.StatusServiceUnavailable, "this node is stopping")
		return kindStopping
	}
	matched.handle(c, request)
	return matched.kind
}

// servePeer serves a request on the port for the other controllers.
func (c *Controller) servePeer(request *fasthttp.RequestCtx) {
	matched := routeFor(peerRoutes, string(request.Path()))
	if matched == nil || string(request.Method()) != matched.method {
		response.Error(request, fasthttp.StatusNotFound, "no such path")
		return
	}
	matched.handle(c, request)
}

// serveUp serves GET /up, which tells load balancers whether to send users to this controller.
func (c *Controller) serveUp(request *fasthttp.RequestCtx) {
	if !c.healthy() {
		c.api.RespondRetryLater(request, fasthttp.StatusServiceUnavailable, "not ready")
		return
	}
	response.Write(request, fasthttp.StatusOK, nil)
}

func (c *Controller) serveStatus(request *fasthttp.RequestCtx)  { c.observer.ServeStatus(request) }
func (c *Controller) serveMetrics(request *fasthttp.RequestCtx) { c.observer.ServeMetrics(request) }

func (c *Controller) serveHeartbeat(request *fasthttp.RequestCtx) {
	c.Workers.HandleHeartbeat(request)
}

func (c *Controller) serveWork(request *fasthttp.RequestCtx) {
	c.api.ServeJobs(request, string(request.Path()))
}

func (c *Controller) servePeerStatus(request *fasthttp.RequestCtx) { c.Peers.ServeStatus(request) }
func (c *Controller) serveForwarded(request *fasthttp.RequestCtx)  { c.api.ServeForwarded(request) }
