package controller

import (
	"errors"
	"slices"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

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
		api.Lock()
		types := api.machineTypeList
		api.Unlock()
		if len(types) == 0 {
			api.refuseForNow(c, 503, "machine types are not known yet")
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
				api.refuseForNow(c, 503, "the state service can't be read")
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
		api.refuseForNow(c, 503, "the state service can't be reached")
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
		api.refuseForNow(c, 429, "too many submissions under way")
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
		api.refuseForNow(c, 503, "the state service can't be read")
		return "", true
	} else if known {
		api.replyKnownJob(c, w.ID)
		return "", true
	}
	api.Lock()
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
	api.Unlock()
	switch {
	case err != nil:
		respondError(c, 422, err.Error())
	case !all:
		// Guards against a node of an older version that holds the job for one
		// that may start.
		api.refuseForNow(c, 503, "not every node takes jobs that await others yet")
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
		api.refuseForNow(c, 503, "the state service can't be read")
		return
	}
	respond(c, 200, st)
}
