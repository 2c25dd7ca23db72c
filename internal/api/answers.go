package api

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/peer"
	"wheatspur/wire"
)

// jobResponse is the answer to a request that was served: the status of a job.
type jobResponse struct {
	status int // of HTTP
	job    wire.JobStatus
}

// apiError is the answer to a request that was not served.
type apiError struct {
	status int    // of HTTP
	reason string // for the user
	// retryable says that the reason may pass: the answer says when to come back.
	// One that is not retryable is a verdict on the request itself.
	retryable bool
	// closesConnection says that another connection may reach a controller that
	// can serve the request.
	closesConnection bool
}

// Error returns the reason.
func (e *apiError) Error() string { return e.reason }

// rejected is the answer to a request that is wrong.
func rejected(status int, reason string) *apiError {
	return &apiError{status: status, reason: reason}
}

// retryLater is the answer to a request that can't be served now.
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

// answer is an answer as it goes to the user, or back to the sibling that
// forwarded the request.
type answer struct {
	status           int    // of HTTP
	retryAfter       string // header of this name; empty: none
	body             []byte // CBOR
	closesConnection bool
	forwarded        bool // it is a sibling's
}

// answerTo is the answer to a request that was decided here; err is nil if it
// was served.
func (api *UserAPI) answerTo(response jobResponse, err *apiError) answer {
	if err == nil {
		return answer{status: response.status, body: wire.MustMarshal(response.job)}
	}
	a := answer{
		status:           err.status,
		body:             wire.MustMarshal(wire.ErrorResponse{Error: err.reason}),
		closesConnection: err.closesConnection,
	}
	if err.retryable {
		a.retryAfter = strconv.Itoa(api.Settings.Operator.RetryAfterSeconds)
	}
	return a
}

// forwardedAnswer is a sibling's answer as it goes to the user.
func forwardedAnswer(r peer.ForwardResponse) answer {
	return answer{status: r.Status, retryAfter: r.RetryAfter, body: r.Body, forwarded: true}
}

// forwardResponse is the answer as it goes back to the sibling that forwarded
// the request.
func (a answer) forwardResponse() peer.ForwardResponse {
	return peer.ForwardResponse{Status: a.status, Body: a.body, RetryAfter: a.retryAfter}
}

// write sends the answer to the user.
func (a answer) write(request *fasthttp.RequestCtx) {
	if a.forwarded {
		// This also drops what the server has preset, so that a forwarded answer
		// has a Date header and one of this controller has none.
		request.Response.Reset()
	}
	if a.retryAfter != "" {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, a.retryAfter)
	}
	request.SetStatusCode(a.status)
	request.SetContentType(wire.ContentType)
	request.SetBody(a.body)
	if a.closesConnection {
		request.SetConnectionClose()
	}
}
