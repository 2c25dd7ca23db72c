package controller

import (
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// userAPI answers users: submissions, polls and cancellations.
type userAPI struct {
	*clusterState
	peers *peerExchange

	submissionSlots chan struct{}    // bounds submissions under way
	intake          chan *submission // submissions that wait for their durable write
	intakeCounter   atomic.Uint64    // counts intake records
}

func newUserAPI(state *clusterState, peers *peerExchange) *userAPI {
	return &userAPI{
		clusterState:    state,
		peers:           peers,
		submissionSlots: make(chan struct{}, state.settings.Operator.IntakeQueue),
		intake:          make(chan *submission, state.settings.Operator.IntakeQueue),
	}
}

// refuseForNow refuses at once what can't be taken now, and says when to come
// back.
func (api *userAPI) refuseForNow(c *fasthttp.RequestCtx, status int, reason string) {
	respondRetry(c, status, api.settings.Operator.RetryAfterSecond, reason)
}

// serveWork serves a user's request here, or passes it on to a sibling that
// reads the state service while this node does not.
func (api *userAPI) serveWork(c *fasthttp.RequestCtx, path string) {
	if !api.hasStore() && api.forward(c) {
		return
	}
	api.serveLocally(c, path)
	if c.Response.StatusCode() == 503 && api.storeSeemsLost() && !api.forward(c) {
		// A new connection may reach a node that can serve it.
		c.SetConnectionClose()
	}
}

func (api *userAPI) serveLocally(c *fasthttp.RequestCtx, path string) {
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

// lookupJob returns a job's status if it is known; final tells that it can't
// change any more and needs no barrier.
func (api *userAPI) lookupJob(jobID string) (st wire.JobStatus, known, final bool) {
	api.Lock()
	defer api.Unlock()
	j := api.table.Jobs[jobID]
	if j == nil {
		return st, false, false
	}
	return j.Status(), true, j.Phase.Final()
}

// readJob returns a job's status as of now or later, behind a read barrier.
func (api *userAPI) readJob(jobID string) (st wire.JobStatus, known bool, err error) {
	if st, known, final := api.lookupJob(jobID); final {
		return st, known, nil
	}
	if !api.hasStore() {
		return st, false, store.ErrRejected // answered at once: a read would not come back
	}
	if err := api.syncer.ReadBarrier(tuning.BarrierWait); err != nil {
		return st, false, err
	}
	api.Lock()
	settled := api.cache.Consistent()
	api.Unlock()
	if !settled {
		return st, false, store.ErrRejected
	}
	st, known, _ = api.lookupJob(jobID)
	return st, known, nil
}

func (api *userAPI) getJob(c *fasthttp.RequestCtx, jobID string) {
	if !wire.ValidJobID(jobID) {
		respondError(c, 404, "no such job")
		return
	}
	st, known, err := api.readJob(jobID)
	switch {
	case err != nil:
		api.refuseForNow(c, 503, "the state service can't be read")
	case !known:
		respondError(c, 404, "no such job")
	default:
		respond(c, 200, st)
	}
}

// deadlineSeconds is a job's deadline for the log, 0 if it has none.
func deadlineSeconds(w *wire.JobSpec) float64 {
	if w.DeadlineS == nil {
		return 0
	}
	return *w.DeadlineS
}
