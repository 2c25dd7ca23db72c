package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/fleet"
	"wheatspur/internal/logging"
	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
)

// forward sends a user's request to a sibling that reads the store; false if there
// is none or it does not answer.
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

// siblingWithStore is the sibling, by its label the first, that lately said that
// it reads the store; nil if none did.
func (api *UserAPI) siblingWithStore() *fleet.Sibling {
	api.Lock()
	defer api.Unlock()
	var first *fleet.Sibling
	for _, sibling := range api.peers.Siblings {
		if api.peers.IsFresh(sibling) && sibling.Status.HasStore && (first == nil || sibling.Settings.Label < first.Settings.Label) {
			first = sibling
		}
	}
	return first
}

// ServeForwarded serves a request that a sibling forwarded; it goes no further.
func (api *UserAPI) ServeForwarded(request *fasthttp.RequestCtx) {
	forwarded, err := peer.DecodeForwardRequest(request.PostBody())
	if err != nil || forwarded.Path != SubmissionPath && !strings.HasPrefix(forwarded.Path, JobPathPrefix) {
		api.newHTTPResponse(jobResponse{}, rejected(fasthttp.StatusBadRequest, "malformed request")).write(request)
		return
	}
	response := api.newHTTPResponse(api.serve(forwarded.Path, forwarded.Body)).forwardResponse()
	request.SetBody(response.Encode())
}

// storeSeemsLost reports whether this controller seems to have lost the store.
func (api *UserAPI) storeSeemsLost() bool {
	return api.Now().Sub(api.Syncer.LastReadAt()) > tuning.StoreLostAfter
}
