package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/fleet"
	"wheatspur/internal/logging"
	"wheatspur/internal/peer"
	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// forward passes a user's request on to a sibling that has the state service;
// false if there is none or it does not answer.
func (api *UserAPI) forward(c *fasthttp.RequestCtx) bool {
	api.Lock()
	var to *fleet.Sibling
	for _, s := range api.peers.Siblings {
		if api.peers.IsFresh(s) && s.Status.HasStore && (to == nil || s.Settings.Label < to.Settings.Label) {
			to = s
		}
	}
	api.Unlock()
	if to == nil {
		return false
	}
	r, err := to.Client.Forward(peer.ForwardRequest{Method: string(c.Method()), Path: string(c.Path()), Body: c.PostBody()}, tuning.ForwardTimeout)
	if err != nil {
		api.Log.Debug(logging.EventForwardingFailed, logging.KeyTarget, to.Settings.Label, logging.KeyError, err)
		return false
	}
	c.Response.Reset()
	if r.RetryAfter != "" {
		c.Response.Header.Set("Retry-After", r.RetryAfter)
	}
	c.SetStatusCode(r.Status)
	c.SetContentType(wire.ContentType)
	c.SetBody(r.Body)
	return true
}

// ServeForwarded serves a request that a sibling passed on; it goes no further.
func (api *UserAPI) ServeForwarded(c *fasthttp.RequestCtx) {
	r, err := peer.DecodeForwardRequest(c.PostBody())
	if err != nil || r.Path != "/work" && !strings.HasPrefix(r.Path, "/work/") {
		response.Error(c, 400, "malformed request")
		return
	}
	var inner fasthttp.RequestCtx
	inner.Request.Header.SetMethod(r.Method)
	inner.Request.SetRequestURI(r.Path)
	inner.Request.SetBody(r.Body)
	api.serveLocally(&inner, r.Path)
	out := peer.ForwardResponse{Status: inner.Response.StatusCode(), Body: inner.Response.Body(),
		RetryAfter: string(inner.Response.Header.Peek("Retry-After"))}
	c.SetBody(out.Encode())
}

// storeSeemsLost reports whether this node seems to have lost the state service.
func (api *UserAPI) storeSeemsLost() bool {
	return api.Now().Sub(api.Syncer.LastReadAt()) > 2*tuning.WatchHold
}
