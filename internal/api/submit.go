package api

import (
	"errors"
	"slices"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/response"
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

func (api *UserAPI) submitJob(c *fasthttp.RequestCtx) {
	body := c.PostBody()
	jobID := peekJobID(body)
	if jobID != "" {
		// A known job is answered before any check.
		if _, known, _ := api.LookupJob(jobID); known {
			api.replyKnownJob(c, jobID)
			return
		}
	}
	w, err := wire.DecodeJobSpec(body)
	status := 400
	if err == nil && jobs.IntakeBytes(&w) > api.MaxGroupBytes() {
		status, err = 422, errors.New("the job's description is larger than the state service can hold")
	}
	if err == nil {
		api.Lock()
		types := api.MachineTypeList
		api.Unlock()
		if len(types) == 0 {
			api.RefuseForNow(c, 503, "machine types are not known yet")
			return
		}
		team, ok := api.Settings.Team(w.Team)
		status = 422
		err = jobs.Validate(&w, jobs.TeamLimits{CPUsMax: team.CPUsMax, GPUsMax: team.GPUsMax}, ok, types,
			jobs.ChunkSize(api.Limits.ValueKB))
	}
	if err != nil {
		if jobID != "" {
			// Another node may have accepted the id; an accepted job is never
			// answered by 400 or 422.
			if _, known, ferr := api.readJob(jobID); ferr != nil {
				api.RefuseForNow(c, 503, "the state service can't be read")
				return
			} else if known {
				api.replyKnownJob(c, jobID)
				return
			}
		}
		response.Error(c, status, err.Error())
		return
	}
	if !api.HasStore() {
		api.RefuseForNow(c, 503, "the state service can't be reached")
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
	case api.SubmissionSlots <- struct{}{}:
		defer func() { <-api.SubmissionSlots }()
	default:
		api.RefuseForNow(c, 429, "too many submissions under way")
		return
	}
	api.storeSubmission(c, &w, phase)
}

// admitDependencies decides whether a submission may depend on the jobs that it names, and
// the phase in which it is stored. What it can't take is answered here.
func (api *UserAPI) admitDependencies(c *fasthttp.RequestCtx, w *wire.JobSpec) (phase jobs.Phase, answered bool) {
	slices.Sort(w.DependsOn)
	w.DependsOn = slices.Compact(w.DependsOn)
	// Whether they were accepted is known behind a read that was sent now;
	// it also tells whether another node has taken this one.
	if _, known, err := api.readJob(w.ID); err != nil {
		api.RefuseForNow(c, 503, "the state service can't be read")
		return "", true
	} else if known {
		api.replyKnownJob(c, w.ID)
		return "", true
	}
	api.Lock()
	all := api.DependenciesSupported()
	done := true
	err := jobs.ValidateDependencies(w, func(jobID string) (known, service bool) {
		j := api.Table.Jobs[jobID]
		if j == nil {
			return false, false
		}
		done = done && j.Phase == jobs.Done
		return true, j.Service()
	})
	api.Unlock()
	switch {
	case err != nil:
		response.Error(c, 422, err.Error())
	case !all:
		// Guards against a node of an older version that holds the job for one
		// that may start.
		api.RefuseForNow(c, 503, "not every node takes jobs that await others yet")
	case done:
		return jobs.Open, false
	default:
		return jobs.Waiting, false
	}
	return "", true
}

func (api *UserAPI) replyKnownJob(c *fasthttp.RequestCtx, jobID string) {
	st, known, err := api.readJob(jobID)
	if err != nil || !known {
		api.RefuseForNow(c, 503, "the state service can't be read")
		return
	}
	response.Write(c, 200, st)
}
