package api

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// submitJob serves a submission. Submissions are idempotent: if a job with the same ID was already
// accepted, the response is that job's status, whatever else the submission contains. All other
// submissions are checked, admitted and stored.
func (api *UserAPI) submitJob(body []byte) (jobResponse, *apiError) {
	jobID := peekJobID(body)
	if jobID != "" {
		// The response for a known job does not depend on any check.
		if _, known, _ := api.LookupJob(jobID); known {
			return api.knownJob(jobID)
		}
	}
	spec, refusal := api.checkSubmission(body)
	switch {
	case refusal != nil && refusal.retryable:
		return jobResponse{}, refusal
	case refusal != nil:
		return api.rejectUnlessAccepted(jobID, refusal)
	case !api.StoreReadRecently():
		return jobResponse{}, retryLater(fasthttp.StatusServiceUnavailable, "the state service can't be reached")
	}
	phase := jobs.Open
	if len(spec.DependsOn) > 0 {
		var known bool
		if phase, known, refusal = api.admitDependencies(&spec); refusal != nil {
			return jobResponse{}, refusal
		} else if known {
			return api.knownJob(spec.ID)
		}
	}
	release, ok := api.acquireSubmissionSlot()
	if !ok {
		return jobResponse{}, tooManySubmissions()
	}
	defer release()
	return api.storeSubmission(&spec, phase)
}

// peekJobID returns the job ID of a submission that may otherwise be malformed, or "" if it has no
// valid one.
func peekJobID(body []byte) string {
	var submission struct {
		ID string `cbor:"ref"`
	}
	if wire.Unmarshal(body, &submission) != nil || !wire.ValidJobID(submission.ID) {
		return ""
	}
	return submission.ID
}

// knownJob returns the status of a job that was already accepted.
func (api *UserAPI) knownJob(jobID string) (jobResponse, *apiError) {
	status, known, err := api.readJob(jobID)
	if err != nil || !known {
		return jobResponse{}, storeUnreadable()
	}
	return jobResponse{fasthttp.StatusOK, status}, nil
}

// checkSubmission decodes a submission and validates it, apart from its dependencies.
func (api *UserAPI) checkSubmission(body []byte) (wire.JobSpec, *apiError) {
	spec, err := wire.DecodeJobSpec(body)
	if err != nil {
		return spec, rejected(fasthttp.StatusBadRequest, err.Error())
	}
	if jobs.MaxIntakeBytes(&spec) > api.MaxRecordGroupBytes() {
		return spec, rejected(fasthttp.StatusUnprocessableEntity, "the job's description is larger than the state service can hold")
	}
	machineTypes := api.knownMachineTypes()
	if len(machineTypes) == 0 {
		return spec, retryLater(fasthttp.StatusServiceUnavailable, "machine types are not known yet")
	}
	team, ok := api.Settings.Team(spec.Team)
	limits := jobs.TeamLimits{CPUsMax: team.CPUsMax, GPUsMax: team.GPUsMax}
	if err := jobs.Validate(&spec, limits, ok, machineTypes, jobs.MaxTasksPerChunk(api.Limits.ValueKB)); err != nil {
		return spec, rejected(fasthttp.StatusUnprocessableEntity, err.Error())
	}
	return spec, nil
}

func (api *UserAPI) knownMachineTypes() []wire.MachineType {
	api.Lock()
	defer api.Unlock()
	return api.MachineTypeList
}

// rejectUnlessAccepted rejects an invalid submission, unless another controller has accepted a job
// with its ID: a request for an accepted job never gets a 400 or 422 response.
func (api *UserAPI) rejectUnlessAccepted(jobID string, rejection *apiError) (jobResponse, *apiError) {
	if jobID == "" {
		return jobResponse{}, rejection
	}
	_, known, err := api.readJob(jobID)
	switch {
	case err != nil:
		return jobResponse{}, storeUnreadable()
	case known:
		return api.knownJob(jobID)
	}
	return jobResponse{}, rejection
}

// admitDependencies decides whether a submission may depend on the jobs that it names, and returns
// the phase in which the job is stored. known reports whether the submitted job itself has already
// been accepted. It sorts the dependencies and removes duplicates.
func (api *UserAPI) admitDependencies(spec *wire.JobSpec) (phase jobs.Phase, known bool, refusal *apiError) {
	slices.Sort(spec.DependsOn)
	spec.DependsOn = slices.Compact(spec.DependsOn)
	// After this linearizable read the cache contains all dependencies that have been accepted. It
	// also shows whether another controller has accepted this job.
	_, known, err := api.readJob(spec.ID)
	if err != nil {
		return "", false, storeUnreadable()
	}
	if known {
		return "", true, nil
	}
	supported, allDone, err := api.checkDependencies(spec)
	switch {
	case err != nil:
		return "", false, rejected(fasthttp.StatusUnprocessableEntity, err.Error())
	case !supported:
		// A controller of an older version would start the job without waiting for its
		// dependencies.
		return "", false, retryLater(fasthttp.StatusServiceUnavailable, "not every node takes jobs that await others yet")
	case allDone:
		return jobs.Open, false, nil
	}
	return jobs.Waiting, false, nil
}

// checkDependencies reports whether every member supports dependencies, and whether all dependencies
// of a submission are done. err names a dependency that is not allowed.
func (api *UserAPI) checkDependencies(spec *wire.JobSpec) (supported, allDone bool, err error) {
	api.Lock()
	defer api.Unlock()
	allDone = true
	err = jobs.ValidateDependencies(spec, func(jobID string) (known, service bool) {
		job := api.Table.Jobs[jobID]
		if job == nil {
			return false, false
		}
		allDone = allDone && job.Phase == jobs.Done
		return true, job.IsService()
	})
	return api.DependenciesSupported(), allDone, err
}

// acquireSubmissionSlot acquires a slot without blocking; ok is false if all slots are in use.
func (api *UserAPI) acquireSubmissionSlot() (release func(), ok bool) {
	select {
	case api.SubmissionSlots <- struct{}{}:
		return func() { <-api.SubmissionSlots }, true
	default:
		return nil, false
	}
}

// storeSubmission queues a new job for storage, and returns once it is durable or can't be stored.
func (api *UserAPI) storeSubmission(spec *wire.JobSpec, phase jobs.Phase) (jobResponse, *apiError) {
	start := api.Now()
	// The request's context is not used, since it is only cancelled when the server stops, and a
	// graceful stop (Drain) lets submissions in progress complete.
	ctx, cancel := context.WithTimeout(context.Background(), tuning.DurableWriteTimeout)
	defer cancel()
	submission := api.newSubmission(spec, phase)
	select {
	case api.SubmissionQueue <- submission:
	default: // full: it still holds submissions whose requests have timed out
		return jobResponse{}, tooManySubmissions()
	}
	err := api.awaitStored(ctx, submission)
	switch {
	case err == nil:
		api.Log.Debug(logging.EventJobAccepted, logging.KeyJob, spec.ID, logging.KeyClass, spec.Class, logging.KeyTasks, spec.Tasks,
			logging.KeyImage, spec.Image, logging.KeyImageGB, spec.ImageGB, logging.KeyEstimateS, spec.EstimateS,
			logging.KeyDeadlineS, deadlineSeconds(spec), logging.KeyDependencies, len(spec.DependsOn), logging.KeyDuration, api.Now().Sub(start))
		return jobResponse{fasthttp.StatusCreated, wire.JobStatus{ID: spec.ID, State: wire.StateQueued}}, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		// Another controller has accepted the ID, or the outcome of the write is unknown. A
		// read shows whether the job is stored.
		return api.knownJob(spec.ID)
	}
	return jobResponse{}, retryLater(fasthttp.StatusServiceUnavailable, "the job can't be stored now")
}

// newSubmission returns a submission with the job record to store.
func (api *UserAPI) newSubmission(spec *wire.JobSpec, phase jobs.Phase) *Submission {
	return &Submission{
		Spec: spec,
		Record: jobs.Record{
			Phase:         phase,
			AcceptedAtMs:  api.Now().UnixMilli(),
			Tasks:         spec.Tasks,
			TasksPerChunk: jobs.MaxTasksPerChunk(api.Limits.ValueKB),
			Spec:          spec,
		},
		Deadline: time.Now().Add(tuning.DurableWriteTimeout), // real time, as contexts use, not api.Now
		Done:     make(chan error, 1),
	}
}

// awaitStored waits for the outcome of a queued submission, and stores it on its own if it could not
// be stored with its group.
func (api *UserAPI) awaitStored(ctx context.Context, submission *Submission) error {
	var err error
	select {
	case err = <-submission.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if errors.Is(err, ErrNotStoredInGroup) {
		return api.storeOne(ctx, submission)
	}
	return err
}

// deadlineSeconds returns a job's deadline for the log, or 0 if it has none.
func deadlineSeconds(spec *wire.JobSpec) float64 {
	if spec.DeadlineS == nil {
		return 0
	}
	return *spec.DeadlineS
}
