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

// cancelJob cancels a job, and answers with its status once that can't change any
// more: a job that has ended is left as it is.
func (api *UserAPI) cancelJob(jobID string) (jobResponse, *apiError) {
	if !wire.ValidJobID(jobID) {
		return jobResponse{}, noSuchJob()
	}
	// Not the request's context: that one ends with the server alone, and a
	// cancellation that is under way at a clean stop is let end (Drain).
	ctx, stop := context.WithTimeout(context.Background(), tuning.DecisionWait)
	defer stop()
	for try := 0; ctx.Err() == nil; try++ {
		status, known, final := api.LookupJob(jobID)
		if final {
			return jobResponse{fasthttp.StatusOK, status}, nil
		}
		if !known || try > 0 {
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
		if err := api.storeCancellation(ctx, jobID); err != nil && !worthRetrying(err) {
			break
		}
	}
	return jobResponse{}, retryLater(fasthttp.StatusServiceUnavailable, "the cancellation can't be stored now")
}

// errNotCancellable says that a job's record can't be changed to cancelled.
var errNotCancellable = errors.New("job can't be cancelled")

// worthRetrying reports whether a cancellation that failed may be decided again
// on what is stored now: the record had changed, or the write's outcome is unknown.
func worthRetrying(err error) bool {
	return errors.Is(err, errNotCancellable) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown)
}

// storeCancellation writes the cancelled record of a job that is known, on
// condition that neither the record nor the membership has changed.
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
	return []wire.Compare{api.Cache.Compare(membership.Key), api.Cache.Compare(key)},
		[]wire.Operation{{Put: key, Value: wire.MustMarshal(record)}}, nil
}
