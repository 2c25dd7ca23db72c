// Package api serves users: submissions, polls and cancellations, and their
// forwarding to a sibling that reads the store. It decides what a request is
// answered, stores new jobs and cancellations, and owns the queue of
// submissions and its group commit. The routes are package controller's, what
// a job is and which job is valid package jobs', the form of messages package
// wire's.
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
	// SubmissionPath takes new jobs.
	SubmissionPath = "/work"
	// JobPathPrefix and a job's id make the path of the job.
	JobPathPrefix = "/work/"
	// CancelSuffix after the path of a job makes that of its cancellation.
	CancelSuffix = "/cancel"
)

// UserAPI answers users: submissions, polls and cancellations.
type UserAPI struct {
	*cluster.State
	peers *fleet.PeerExchange

	// SubmissionSlots bounds the submissions under way: each that was admitted holds
	// a place until it is answered.
	SubmissionSlots chan struct{}
	// Intake holds the submissions that wait for their durable write, for RunIntake.
	// It can be full while slots are free: a submission stays in it after its user was
	// told to come back.
	Intake        chan *Submission
	intakeCounter atomic.Uint64 // numbers the intake records of this process
}

// New returns a user API on a controller's state. Its submissions are stored
// while RunIntake runs.
func New(state *cluster.State, peers *fleet.PeerExchange) *UserAPI {
	return &UserAPI{
		State:           state,
		peers:           peers,
		SubmissionSlots: make(chan struct{}, state.Settings.Operator.IntakeQueue),
		Intake:          make(chan *Submission, state.Settings.Operator.IntakeQueue),
	}
}

// RefuseForNow refuses at once what can't be taken now, and says when to come
// back.
func (api *UserAPI) RefuseForNow(request *fasthttp.RequestCtx, status int, reason string) {
	api.newHTTPResponse(jobResponse{}, retryLater(status, reason)).write(request)
}

// ServeJobs serves a user's request here, or forwards it to a sibling that
// reads the store while this controller does not.
func (api *UserAPI) ServeJobs(request *fasthttp.RequestCtx, path string) {
	api.respond(request, path).write(request)
}

func (api *UserAPI) respond(request *fasthttp.RequestCtx, path string) httpResponse {
	if !api.HasStore() {
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

// serve serves a request here. The method was checked with the route.
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

// LookupJob returns a job's status if it is known; final tells that it can't
// change any more and needs no barrier.
func (api *UserAPI) LookupJob(jobID string) (status wire.JobStatus, known, final bool) {
	api.Lock()
	defer api.Unlock()
	job := api.Table.Jobs[jobID]
	if job == nil {
		return status, false, false
	}
	return job.Status(), true, job.Phase.Final()
}

// readJob is a linearizable read of a job's status: as of now or later, behind a
// read barrier.
func (api *UserAPI) readJob(jobID string) (status wire.JobStatus, known bool, err error) {
	if status, known, final := api.LookupJob(jobID); final {
		return status, known, nil
	}
	if !api.HasStore() {
		return status, false, store.ErrRejected // answered at once: a read would not come back
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

// getJob answers a poll.
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
