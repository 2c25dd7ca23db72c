// Package api implements the user API: submissions, polls and cancellations of jobs. It decides the
// response to each request, stores new jobs and cancellations, owns the submission queue and its
// group commit, and forwards requests to a sibling that can read the store when this controller
// can't. A sibling is another controller. Package controller defines the routes, package jobs the
// jobs and their validation, and package wire the message formats.
package api

import (
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Paths of the user API.
const (
	// SubmissionPath is the path for new jobs.
	SubmissionPath = "/work"
	// JobPathPrefix followed by a job's ID is the path of the job.
	JobPathPrefix = "/work/"
	// CancelSuffix follows the path of a job in the path that cancels it.
	CancelSuffix = "/cancel"
)

// UserAPI serves submissions, polls and cancellations of users.
type UserAPI struct {
	*cluster.State
	peers *fleet.PeerExchange

	// SubmissionSlots limits the concurrent submissions: each admitted submission holds a slot until
	// its response is sent.
	SubmissionSlots chan struct{}
	// SubmissionQueue queues the submissions that wait for RunIntake to store them. It can be full
	// while slots are free, because a submission stays queued after its request has timed out and
	// its user was told to retry.
	SubmissionQueue chan *Submission
	intakeCounter   atomic.Uint64 // number of intake keys that this process has created
}

// New returns a user API for a controller's state. Submissions are only stored while RunIntake runs.
func New(state *cluster.State, peers *fleet.PeerExchange) *UserAPI {
	return &UserAPI{
		State:           state,
		peers:           peers,
		SubmissionSlots: make(chan struct{}, state.Settings.Operator.IntakeQueue),
		SubmissionQueue: make(chan *Submission, state.Settings.Operator.IntakeQueue),
	}
}

// RespondRetryLater responds immediately that the request can't be served now and may be retried
// after the time in the Retry-After header.
func (api *UserAPI) RespondRetryLater(request *fasthttp.RequestCtx, status int, reason string) {
	api.newHTTPResponse(jobResponse{}, retryLater(status, reason)).write(request)
}

// ServeJobs serves a user's request, or forwards it to a sibling that can read the store when this
// controller can't.
func (api *UserAPI) ServeJobs(request *fasthttp.RequestCtx, path string) {
	api.respond(request, path).write(request)
}

func (api *UserAPI) respond(request *fasthttp.RequestCtx, path string) httpResponse {
	if !api.StoreReadRecently() {
		if forwarded, ok := api.forward(request); ok {
			return forwarded
		}
	}
	response, err := api.serve(path, request.PostBody())
	if err != nil && err.status == fasthttp.StatusServiceUnavailable && api.storeSeemsLost() {
		if forwarded, ok := api.forward(request); ok {
			return forwarded
		}
		// A new connection may reach a controller that can serve the request.
		err.closesConnection = true
	}
	return api.newHTTPResponse(response, err)
}

// serve serves a request on this controller. The router has already checked the method.
func (api *UserAPI) serve(path string, body []byte) (jobResponse, *apiError) {
	if path == SubmissionPath {
		return api.submitJob(body)
	}
	jobID := strings.TrimPrefix(path, JobPathPrefix)
	if id, ok := strings.CutSuffix(jobID, CancelSuffix); ok {
		return api.cancelJob(id)
	}
	return api.getJob(jobID)
}

// LookupJob returns a job's status from the cache. known reports whether the job is in the cache;
// final reports whether the status can't change any more, so that no read barrier is needed.
func (api *UserAPI) LookupJob(jobID string) (status wire.JobStatus, known, final bool) {
	api.Lock()
	defer api.Unlock()
	job := api.Table.Jobs[jobID]
	if job == nil {
		return status, false, false
	}
	return job.Status(), true, job.Phase.Final()
}

// readJob is a linearizable read of a job's status: a read barrier ensures that the status is not
// older than the call.
func (api *UserAPI) readJob(jobID string) (status wire.JobStatus, known bool, err error) {
	if status, known, final := api.LookupJob(jobID); final {
		return status, known, nil
	}
	if !api.StoreReadRecently() {
		return status, false, store.ErrRejected // fail immediately: a read would only time out
	}
	if err := api.Syncer.ReadBarrier(tuning.BarrierWait); err != nil {
		return status, false, err
	}
	if !api.cacheConsistent() {
		return status, false, store.ErrRejected
	}
	status, known, _ = api.LookupJob(jobID)
	return status, known, nil
}

func (api *UserAPI) cacheConsistent() bool {
	api.Lock()
	defer api.Unlock()
	return api.Cache.Consistent()
}

// getJob serves a poll.
func (api *UserAPI) getJob(jobID string) (jobResponse, *apiError) {
	if !wire.ValidJobID(jobID) {
		return jobResponse{}, noSuchJob()
	}
	status, known, err := api.readJob(jobID)
	switch {
	case err != nil:
		return jobResponse{}, storeUnreadable()
	case !known:
		return jobResponse{}, noSuchJob()
	}
	return jobResponse{fasthttp.StatusOK, status}, nil
}
