package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/fleet"
	"wheatspur/internal/logging"
	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
)

// forward sends a user's request to a sibling that can read the store. It returns false if there is
// none or if it does not respond.
func (api *UserAPI) forward(request *fasthttp.RequestCtx) (httpResponse, bool) {
	target := api.siblingWithStore()
	if target == nil {
		return httpResponse{}, false
	}
	forwarded := peer.ForwardRequest{Method: string(request.Method()), Path: string(request.Path()), Body: request.PostBody()}
	response, err := target.Client.Forward(forwarded, tuning.ForwardTimeout)
	if err != nil {
		api.Log.Debug(logging.EventForwardingFailed, logging.KeyTarget, target.Settings.Label, logging.KeyError, err)
		return httpResponse{}, false
	}
	return newForwardedResponse(response), true
}

// siblingWithStore returns the sibling that recently reported that it can read the store, the one
// with the lowest label if there are several, or nil if there is none.
func (api *UserAPI) siblingWithStore() *fleet.Sibling {
	api.Lock()
	defer api.Unlock()
	var lowest *fleet.Sibling
	for _, sibling := range api.peers.Siblings {
		if api.peers.IsFresh(sibling) && sibling.Status.HasStore && (lowest == nil || sibling.Settings.Label < lowest.Settings.Label) {
			lowest = sibling
		}
	}
	return lowest
}

// ServeForwarded serves a request that a sibling forwarded. It never forwards the request again.
func (api *UserAPI) ServeForwarded(request *fasthttp.RequestCtx) {
	forwarded, err := peer.DecodeForwardRequest(request.PostBody())
	if err != nil || forwarded.Path != SubmissionPath && !strings.HasPrefix(forwarded.Path, JobPathPrefix) {
		api.newHTTPResponse(jobResponse{}, rejected(fasthttp.StatusBadRequest, "malformed request")).write(request)
		return
	}
	response := api.newHTTPResponse(api.serve(forwarded.Path, forwarded.Body)).forwardResponse()
	request.SetBody(response.Encode())
}

// storeSeemsLost reports whether this controller has not been able to read the store for
// tuning.StoreForwardAfter.
func (api *UserAPI) storeSeemsLost() bool {
	return api.Now().Sub(api.Syncer.LastReadAt()) > tuning.StoreForwardAfter
}
