package controller

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
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

func respond(c *fasthttp.RequestCtx, status int, body any) {
	c.SetStatusCode(status)
	c.SetContentType(wire.ContentType)
	if body != nil {
		c.SetBody(wire.MustMarshal(body))
	}
}

func respondError(c *fasthttp.RequestCtx, status int, why string) {
	respond(c, status, wire.ErrorResponse{Error: why})
}

// replyRetry refuses at once what can't be taken now and says when to come back.
func (api *userAPI) replyRetry(c *fasthttp.RequestCtx, status int, why string) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(api.settings.Operator.RetryAfterSecond))
	respondError(c, status, why)
}

// badRequest answers what fasthttp could not read.
func badRequest(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		respondError(c, 400, "body too large")
		return
	}
	respondError(c, 400, "malformed request")
}

func (n *Controller) serveUser(c *fasthttp.RequestCtx) {
	n.metrics.countAnswer(n.routeUser(c), c.Response.StatusCode())
}

// routeUser serves a request and returns its kind, for the metrics.
func (n *Controller) routeUser(c *fasthttp.RequestCtx) string {
	path, method := string(c.Path()), string(c.Method())
	want := ""
	switch {
	case path == "/up", path == "/status", path == "/metrics":
		want = "GET"
	case path == "/work", path == "/checkin":
		want = "POST"
	case strings.HasPrefix(path, "/work/"):
		want = "GET"
		if strings.HasSuffix(path, "/cancel") {
			want = "POST"
		}
	}
	if want == "" {
		respondError(c, 404, "no such path")
		return "other"
	}
	if method != want {
		c.Response.Header.Set("Allow", want)
		respondError(c, 405, "method not allowed")
		return "other"
	}
	if n.draining() && method == "POST" && path != "/checkin" {
		n.api.replyRetry(c, 503, "this node is stopping")
		return "stopping"
	}
	switch path {
	case "/up":
		if n.healthy() {
			respond(c, 200, nil)
		} else {
			n.api.replyRetry(c, 503, "not ready")
		}
	case "/status":
		n.observer.serveStatus(c)
	case "/metrics":
		n.observer.serveMetrics(c)
	case "/checkin":
		n.workers.handleHeartbeat(c)
		return "report"
	case "/work":
		n.api.serveWork(c, path)
		return "submission"
	default:
		n.api.serveWork(c, path)
		if want == "POST" {
			return "cancellation"
		}
		return "poll"
	}
	return "operator"
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

// storeSeemsLost reports whether this node seems to have lost the state service.
func (api *userAPI) storeSeemsLost() bool {
	return api.now().Sub(api.syncer.LastReadAt()) > 2*tuning.WatchHold
}

// forward passes a user's request on to a sibling that has the state service;
// false if there is none or it does not answer.
func (api *userAPI) forward(c *fasthttp.RequestCtx) bool {
	api.mu.Lock()
	var to *sibling
	for _, s := range api.peers.siblings {
		if api.peers.isFresh(s) && s.status.HasStore && (to == nil || s.settings.Label < to.settings.Label) {
			to = s
		}
	}
	api.mu.Unlock()
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

func (n *Controller) servePeer(c *fasthttp.RequestCtx) {
	if c.IsPost() && string(c.Path()) == peer.ForwardPath {
		n.api.serveForwarded(c)
		return
	}
	if string(c.Path()) != peer.StatusPath || !c.IsPost() {
		respondError(c, 404, "no such path")
		return
	}
	st, err := peer.DecodeStatus(c.PostBody())
	if err != nil {
		respondError(c, 400, "malformed status")
		return
	}
	n.peers.applyPeerStatus(st, time.Time{})
	n.mu.Lock()
	own := n.peers.ownStatus(st.Known)
	n.mu.Unlock()
	c.SetBody(own.Encode())
}

// lookupJob returns a job's status if it is known; final tells that it can't
// change any more and needs no barrier.
func (api *userAPI) lookupJob(jobID string) (st wire.JobStatus, known, final bool) {
	api.mu.Lock()
	defer api.mu.Unlock()
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
	api.mu.Lock()
	settled := api.cache.Consistent()
	api.mu.Unlock()
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
		api.replyRetry(c, 503, "the state service can't be read")
	case !known:
		respondError(c, 404, "no such job")
	default:
		respond(c, 200, st)
	}
}

// peekJobID finds the job id of a submission that may be malformed otherwise.
func peekJobID(body []byte) string {
	var p struct {
		ID string `cbor:"ref"`
	}
	if wire.Unmarshal(body, &p) != nil || !wire.ValidJobID(p.ID) {
		return ""
	}
	return p.ID
}

func (api *userAPI) submitJob(c *fasthttp.RequestCtx) {
	body := c.PostBody()
	jobID := peekJobID(body)
	if jobID != "" {
		// A known job is answered before any check.
		if _, known, _ := api.lookupJob(jobID); known {
			api.replyKnownJob(c, jobID)
			return
		}
	}
	w, err := wire.DecodeJobSpec(body)
	status := 400
	if err == nil && jobs.IntakeBytes(&w) > api.maxGroupBytes() {
		status, err = 422, errors.New("the job's description is larger than the state service can hold")
	}
	if err == nil {
		api.mu.Lock()
		types := api.machineTypeList
		api.mu.Unlock()
		if len(types) == 0 {
			api.replyRetry(c, 503, "machine types are not known yet")
			return
		}
		team, ok := api.settings.Team(w.Team)
		status = 422
		err = jobs.Validate(&w, jobs.TeamLimits{CPUsMax: team.CPUsMax, GPUsMax: team.GPUsMax}, ok, types,
			jobs.ChunkSize(api.limits.ValueKB))
	}
	if err != nil {
		if jobID != "" {
			// Another node may have accepted the id; an accepted job is never
			// answered by 400 or 422.
			if _, known, ferr := api.readJob(jobID); ferr != nil {
				api.replyRetry(c, 503, "the state service can't be read")
				return
			} else if known {
				api.replyKnownJob(c, jobID)
				return
			}
		}
		respondError(c, status, err.Error())
		return
	}
	if !api.hasStore() {
		api.replyRetry(c, 503, "the state service can't be reached")
		return
	}
	phase := jobs.Open
	if len(w.DependsOn) > 0 {
		var answered bool
		if phase, answered = api.admitDependencies(c, &w); answered {
			return
		}
	}
	select {
	case api.submissionSlots <- struct{}{}:
		defer func() { <-api.submissionSlots }()
	default:
		api.replyRetry(c, 429, "too many submissions under way")
		return
	}
	api.storeSubmission(c, &w, phase)
}

// admitDependencies decides whether a submission may depend on the jobs that it names, and
// the phase in which it is stored. What it can't take is answered here.
func (api *userAPI) admitDependencies(c *fasthttp.RequestCtx, w *wire.JobSpec) (phase jobs.Phase, answered bool) {
	slices.Sort(w.DependsOn)
	w.DependsOn = slices.Compact(w.DependsOn)
	// Whether they were accepted is known behind a read that was sent now;
	// it also tells whether another node has taken this one.
	if _, known, err := api.readJob(w.ID); err != nil {
		api.replyRetry(c, 503, "the state service can't be read")
		return "", true
	} else if known {
		api.replyKnownJob(c, w.ID)
		return "", true
	}
	api.mu.Lock()
	all := api.dependenciesSupported()
	done := true
	err := jobs.ValidateDependencies(w, func(jobID string) (known, service bool) {
		j := api.table.Jobs[jobID]
		if j == nil {
			return false, false
		}
		done = done && j.Phase == jobs.Done
		return true, j.Service()
	})
	api.mu.Unlock()
	switch {
	case err != nil:
		respondError(c, 422, err.Error())
	case !all:
		// Guards against a node of an older version that holds the job for one
		// that may start.
		api.replyRetry(c, 503, "not every node takes jobs that await others yet")
	case done:
		return jobs.Open, false
	default:
		return jobs.Waiting, false
	}
	return "", true
}

func (api *userAPI) replyKnownJob(c *fasthttp.RequestCtx, jobID string) {
	st, known, err := api.readJob(jobID)
	if err != nil || !known {
		api.replyRetry(c, 503, "the state service can't be read")
		return
	}
	respond(c, 200, st)
}

func (api *userAPI) cancelJob(c *fasthttp.RequestCtx, jobID string) {
	if !wire.ValidJobID(jobID) {
		respondError(c, 404, "no such job")
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), tuning.DecisionWait)
	defer stop()
	for try := 0; ctx.Err() == nil; try++ {
		st, known, final := api.lookupJob(jobID)
		if final {
			respond(c, 200, st)
			return
		}
		if !known || try > 0 {
			fst, ok, err := api.readJob(jobID)
			if err != nil {
				break
			}
			if !ok {
				respondError(c, 404, "no such job")
				return
			}
			if fst.State == wire.StateDone || fst.State == wire.StateCancelled {
				continue
			}
		}
		api.mu.Lock()
		j := api.table.Jobs[jobID]
		rec, err := j.Record.Cancel(api.now())
		guards := []wire.Compare{api.cache.Compare(membership.Key), api.cache.Compare(jobs.JobKey(jobID))}
		api.mu.Unlock()
		if err != nil {
			continue
		}
		then := []wire.Operation{{Put: jobs.JobKey(jobID), Value: wire.MustMarshal(rec)}}
		revision, err := api.store.CompareAndSwap(ctx, store.ClassCancel, guards, then)
		if err == nil {
			api.applyWrite(then, revision)
			api.log.Debug("job cancelled", "job", jobID)
			continue
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	api.replyRetry(c, 503, "the cancellation can't be stored now")
}

// deadlineSeconds is a job's deadline for the log, 0 if it has none.
func deadlineSeconds(w *wire.JobSpec) float64 {
	if w.DeadlineS == nil {
		return 0
	}
	return *w.DeadlineS
}
