package api

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/peer"
	"wheatspur/wire"
)

// jobResponse is the result of a request that succeeded: the status of a job.
type jobResponse struct {
	status int // HTTP status code
	job    wire.JobStatus
}

// apiError is the result of a request that failed.
type apiError struct {
	status int    // HTTP status code
	reason string // error text for the user
	// retryable is true if the failure may be temporary; the response then has a Retry-After header.
	// Otherwise the request itself is at fault.
	retryable bool
	// closesConnection makes the response close the connection, since a new connection may reach
	// another controller that can serve the request.
	closesConnection bool
}

// Error implements error; it returns the reason.
func (e *apiError) Error() string { return e.reason }

// rejected returns the error for an invalid request.
func rejected(status int, reason string) *apiError {
	return &apiError{status: status, reason: reason}
}

// retryLater returns the error for a request that can't be served now but may be retried.
func retryLater(status int, reason string) *apiError {
	return &apiError{status: status, reason: reason, retryable: true}
}

func noSuchJob() *apiError { return rejected(fasthttp.StatusNotFound, "no such job") }

func storeUnreadable() *apiError {
	return retryLater(fasthttp.StatusServiceUnavailable, "the state service can't be read")
}

func tooManySubmissions() *apiError {
	return retryLater(fasthttp.StatusTooManyRequests, "too many submissions under way")
}

// httpResponse is the response that is sent to the user, or returned to the sibling that forwarded
// the request.
type httpResponse struct {
	status           int    // HTTP status code
	retryAfter       string // Retry-After header; empty: none
	body             []byte // CBOR
	closesConnection bool
	forwarded        bool // whether a sibling served the request
}

// newHTTPResponse returns the response to a request that was served by this controller. err is nil
// if the request succeeded.
func (api *UserAPI) newHTTPResponse(response jobResponse, err *apiError) httpResponse {
	if err == nil {
		return httpResponse{status: response.status, body: wire.MustMarshal(response.job)}
	}
	r := httpResponse{
		status:           err.status,
		body:             wire.MustMarshal(wire.ErrorResponse{Error: err.reason}),
		closesConnection: err.closesConnection,
	}
	if err.retryable {
		r.retryAfter = strconv.Itoa(api.Settings.Operator.RetryAfterSeconds)
	}
	return r
}

// newForwardedResponse converts a sibling's response into the response to the user.
func newForwardedResponse(r peer.ForwardResponse) httpResponse {
	return httpResponse{status: r.Status, retryAfter: r.RetryAfter, body: r.Body, forwarded: true}
}

// forwardResponse converts the response into the one for the sibling that forwarded the request.
func (r httpResponse) forwardResponse() peer.ForwardResponse {
	return peer.ForwardResponse{Status: r.status, Body: r.body, RetryAfter: r.retryAfter}
}

// write writes the response to the user's request.
func (r httpResponse) write(request *fasthttp.RequestCtx) {
	if r.forwarded {
		// Reset also clears the options that the server has preset. As a result, a forwarded
		// response has a Date header and a response of this controller has none.
		request.Response.Reset()
	}
	if r.retryAfter != "" {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, r.retryAfter)
	}
	request.SetStatusCode(r.status)
	request.SetContentType(wire.ContentType)
	request.SetBody(r.body)
	if r.closesConnection {
		request.SetConnectionClose()
	}
}
