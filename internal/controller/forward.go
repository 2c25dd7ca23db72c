package controller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// forward passes a user's request on to a sibling that has the state service;
// false if there is none or it does not answer.
func (api *userAPI) forward(c *fasthttp.RequestCtx) bool {
	api.Lock()
	var to *sibling
	for _, s := range api.peers.siblings {
		if api.peers.isFresh(s) && s.status.HasStore && (to == nil || s.settings.Label < to.settings.Label) {
			to = s
		}
	}
	api.Unlock()
	if to == nil {
		return false
	}
	r, err := to.client.Forward(peer.ForwardRequest{Method: string(c.Method()), Path: string(c.Path()), Body: c.PostBody()}, tuning.ForwardTimeout)
	if err != nil {
		api.log.Debug("request not passed on", "to", to.settings.Label, "err", err)
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

// serveForwarded serves a request that a sibling passed on; it goes no further.
func (api *userAPI) serveForwarded(c *fasthttp.RequestCtx) {
	r, err := peer.DecodeForwardRequest(c.PostBody())
	if err != nil || r.Path != "/work" && !strings.HasPrefix(r.Path, "/work/") {
		respondError(c, 400, "malformed request")
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
func (api *userAPI) storeSeemsLost() bool {
	return api.now().Sub(api.syncer.LastReadAt()) > 2*tuning.WatchHold
}
