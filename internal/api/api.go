// Package api serves users: submissions, polls and cancellations, and their
// forwarding to a sibling that reads the store.
package api

import (
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/response"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// UserAPI answers users: submissions, polls and cancellations.
type UserAPI struct {
	*cluster.State
	peers *fleet.PeerExchange

	SubmissionSlots chan struct{}    // bounds submissions under way
	Intake          chan *Submission // submissions that wait for their durable write
	intakeCounter   atomic.Uint64    // counts intake records
}

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
func (api *UserAPI) RefuseForNow(c *fasthttp.RequestCtx, status int, reason string) {
	response.Retry(c, status, api.Settings.Operator.RetryAfterSecond, reason)
}

// ServeWork serves a user's request here, or passes it on to a sibling that
// reads the state service while this node does not.
func (api *UserAPI) ServeWork(c *fasthttp.RequestCtx, path string) {
	if !api.HasStore() && api.forward(c) {
		return
	}
	api.serveLocally(c, path)
	if c.Response.StatusCode() == 503 && api.storeSeemsLost() && !api.forward(c) {
		// A new connection may reach a node that can serve it.
		c.SetConnectionClose()
	}
}

func (api *UserAPI) serveLocally(c *fasthttp.RequestCtx, path string) {
	if path == "/work" {
		api.submitJob(c)
		return
	}
	jobID := strings.TrimPrefix(path, "/work/")
	if id, ok := strings.CutSuffix(jobID, "/cancel"); ok {
		api.cancelJob(c, id)
	} else {
		api.getJob(c, jobID)
	}
}

// LookupJob returns a job's status if it is known; final tells that it can't
// change any more and needs no barrier.
func (api *UserAPI) LookupJob(jobID string) (st wire.JobStatus, known, final bool) {
	api.Lock()
	defer api.Unlock()
	j := api.Table.Jobs[jobID]
	if j == nil {
		return st, false, false
	}
	return j.Status(), true, j.Phase.Final()
}

// readJob returns a job's status as of now or later, behind a read barrier.
func (api *UserAPI) readJob(jobID string) (st wire.JobStatus, known bool, err error) {
	if st, known, final := api.LookupJob(jobID); final {
		return st, known, nil
	}
	if !api.HasStore() {
		return st, false, store.ErrRejected // answered at once: a read would not come back
	}
	if err := api.Syncer.ReadBarrier(tuning.BarrierWait); err != nil {
		return st, false, err
	}
	api.Lock()
	settled := api.Cache.Consistent()
	api.Unlock()
	if !settled {
		return st, false, store.ErrRejected
	}
	st, known, _ = api.LookupJob(jobID)
	return st, known, nil
}

func (api *UserAPI) getJob(c *fasthttp.RequestCtx, jobID string) {
	if !wire.ValidJobID(jobID) {
		response.Error(c, 404, "no such job")
		return
	}
	st, known, err := api.readJob(jobID)
	switch {
	case err != nil:
		api.RefuseForNow(c, 503, "the state service can't be read")
	case !known:
		response.Error(c, 404, "no such job")
	default:
		response.Write(c, 200, st)
	}
}

// deadlineSeconds is a job's deadline for the log, 0 if it has none.
func deadlineSeconds(w *wire.JobSpec) float64 {
	if w.DeadlineS == nil {
		return 0
	}
	return *w.DeadlineS
}
