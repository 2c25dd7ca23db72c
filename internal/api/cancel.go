package api

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// cancelJob cancels a job and returns its final status. A job that has already ended is left
// unchanged.
func (api *UserAPI) cancelJob(jobID string) (jobResponse, *apiError) {
	if !wire.ValidJobID(jobID) {
		return jobResponse{}, noSuchJob()
	}
	// The request's context is not used, since it is only cancelled when the server stops, and a
	// graceful stop (Drain) lets cancellations in progress complete.
	ctx, cancel := context.WithTimeout(context.Background(), tuning.DurableWriteTimeout)
	defer cancel()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		status, known, final := api.LookupJob(jobID)
		if final {
			return jobResponse{fasthttp.StatusOK, status}, nil
		}
		if !known || attempt > 0 {
			// The cache may be behind the store.
			current, known, err := api.readJob(jobID)
			if err != nil {
				break
			}
			if !known {
				return jobResponse{}, noSuchJob()
			}
			if current.State == wire.StateDone || current.State == wire.StateCancelled {
				continue
			}
		}
		if err := api.storeCancellation(ctx, jobID); err != nil && !shouldRetryCancellation(err) {
			break
		}
	}
	return jobResponse{}, retryLater(fasthttp.StatusServiceUnavailable, "the cancellation can't be stored now")
}

// errNotCancellable is returned if a job's record does not allow a transition to cancelled.
var errNotCancellable = errors.New("job can't be cancelled")

// shouldRetryCancellation reports whether a failed cancellation should be retried with the current
// record: the record had changed, or the outcome of the write is unknown.
func shouldRetryCancellation(err error) bool {
	return errors.Is(err, errNotCancellable) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown)
}

// storeCancellation stores the cancelled record of a job in the cache, on condition that neither the
// job's record nor the membership record has changed.
func (api *UserAPI) storeCancellation(ctx context.Context, jobID string) error {
	compares, operations, err := api.planCancellation(jobID)
	if err != nil {
		return err
	}
	revision, err := api.Store.CompareAndSwap(ctx, store.ClassCancel, compares, operations)
	if err != nil {
		return err
	}
	api.ApplyOwnWrite(operations, revision)
	api.Log.Debug(logging.EventJobCancelled, logging.KeyJob, jobID)
	return nil
}

func (api *UserAPI) planCancellation(jobID string) ([]wire.Compare, []wire.Operation, error) {
	api.Lock()
	defer api.Unlock()
	key := jobs.JobKey(jobID)
	record, err := api.Table.Jobs[jobID].Record.Cancel(api.Now())
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errNotCancellable, err)
	}
	return []wire.Compare{api.Cache.Compare(membership.RecordKey), api.Cache.Compare(key)},
		[]wire.Operation{{Put: key, Value: wire.MustMarshal(record)}}, nil
}
