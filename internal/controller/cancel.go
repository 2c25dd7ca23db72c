package controller

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

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
		api.Lock()
		j := api.table.Jobs[jobID]
		rec, err := j.Record.Cancel(api.now())
		guards := []wire.Compare{api.cache.Compare(membership.Key), api.cache.Compare(jobs.JobKey(jobID))}
		api.Unlock()
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
	api.refuseForNow(c, 503, "the cancellation can't be stored now")
}
