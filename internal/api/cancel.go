package api

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/response"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func (api *UserAPI) cancelJob(c *fasthttp.RequestCtx, jobID string) {
	if !wire.ValidJobID(jobID) {
		response.Error(c, 404, "no such job")
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), tuning.DecisionWait)
	defer stop()
	for try := 0; ctx.Err() == nil; try++ {
		st, known, final := api.LookupJob(jobID)
		if final {
			response.Write(c, 200, st)
			return
		}
		if !known || try > 0 {
			fst, ok, err := api.readJob(jobID)
			if err != nil {
				break
			}
			if !ok {
				response.Error(c, 404, "no such job")
				return
			}
			if fst.State == wire.StateDone || fst.State == wire.StateCancelled {
				continue
			}
		}
		api.Lock()
		j := api.Table.Jobs[jobID]
		rec, err := j.Record.Cancel(api.Now())
		guards := []wire.Compare{api.Cache.Compare(membership.Key), api.Cache.Compare(jobs.JobKey(jobID))}
		api.Unlock()
		if err != nil {
			continue
		}
		then := []wire.Operation{{Put: jobs.JobKey(jobID), Value: wire.MustMarshal(rec)}}
		revision, err := api.Store.CompareAndSwap(ctx, store.ClassCancel, guards, then)
		if err == nil {
			api.ApplyWrite(then, revision)
			api.Log.Debug(logging.EventJobCancelled, logging.KeyJob, jobID)
			continue
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	api.RefuseForNow(c, 503, "the cancellation can't be stored now")
}
