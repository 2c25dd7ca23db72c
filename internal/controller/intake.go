package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// submission is a new job that waits for its durable write.
type submission struct {
	spec     *wire.JobSpec
	record   jobs.Record
	deadline time.Time  // its user is answered by then
	done     chan error // has room for the outcome
}

// errStoreAlone says that a submission was not stored together with others, and may
// be by itself.
var errStoreAlone = errors.New("not stored with the others")

// storeSubmission has a new job stored and answers 201 after the write.
func (api *userAPI) storeSubmission(c *fasthttp.RequestCtx, w *wire.JobSpec, phase jobs.Phase) {
	begun := api.now()
	ctx, stop := context.WithTimeout(context.Background(), tuning.DecisionWait)
	defer stop()
	s := &submission{spec: w, deadline: time.Now().Add(tuning.DecisionWait), done: make(chan error, 1),
		record: jobs.Record{Phase: phase, AcceptedAtMs: api.now().UnixMilli(), Tasks: w.Tasks,
			ChunkSize: jobs.ChunkSize(api.limits.ValueKB), Spec: w}}
	select {
	case api.intake <- s:
	default: // those whose users have been told to come back are still in it
		api.refuseForNow(c, 429, "too many submissions under way")
		return
	}
	var err error
	select {
	case err = <-s.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if errors.Is(err, errStoreAlone) {
		err = api.storeOne(ctx, s)
	}
	switch {
	case err == nil:
		api.log.Debug("job accepted", "job", w.ID, "class", w.Class, "tasks", w.Tasks, "image", w.Image, "image_gb", w.ImageGB, "reckon_s", w.EstimateS, "due_s", deadlineSeconds(w), "awaits", len(w.DependsOn), "took", api.now().Sub(begun))
		respond(c, 201, wire.JobStatus{ID: w.ID, State: wire.StateQueued})
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		// A lost answer is settled by reading again.
		api.replyKnownJob(c, w.ID)
	default:
		api.refuseForNow(c, 503, "the job can't be stored now")
	}
}

// runIntake stores submissions. Those that come while the budget of changes is
// short go together in one change: hundreds of jobs at once, when a fleet
// starts or a state service is back, took half a minute one by one.
func (api *userAPI) runIntake(ctx context.Context) error {
	var next *submission
	for ctx.Err() == nil {
		if next == nil {
			select {
			case <-ctx.Done():
				return nil
			case next = <-api.intake:
			}
		}
		var group []*submission
		group, next = api.batchSubmissions(next)
		switch len(group) {
		case 0:
		case 1:
			s := group[0]
			sctx, stop := context.WithDeadline(ctx, s.deadline)
			s.done <- api.storeOne(sctx, s)
			stop()
		default:
			api.storeGroup(ctx, group)
		}
	}
	return nil
}

// batchSubmissions takes submissions that wait, as many as one record holds; the one
// that does not fit goes first in the next.
func (api *userAPI) batchSubmissions(first *submission) (group []*submission, next *submission) {
	room := api.maxGroupBytes()
	most := min(tuning.IntakeGroup, 4*api.limits.TxnOps-1)
	jobIDs := map[string]bool{}
	for s := first; ; {
		// Whose user has been told to come back is left out.
		if time.Now().Before(s.deadline) {
			room -= jobs.IntakeBytes(s.spec)
			if len(group) > 0 && (room < 0 || jobIDs[s.spec.ID]) {
				return group, s
			}
			group = append(group, s)
			jobIDs[s.spec.ID] = true
		}
		if len(group) == most {
			return group, nil
		}
		select {
		case s = <-api.intake:
		default:
			return group, nil
		}
	}
}

// storeOne stores a job's own record.
func (api *userAPI) storeOne(ctx context.Context, s *submission) error {
	key := jobs.JobKey(s.spec.ID)
	return api.storeNew(ctx, []wire.Compare{{Key: key}}, wire.Operation{Put: key, Value: wire.MustMarshal(s.record)})
}

// storeGroup stores several jobs in one intake record, guarded by the absence
// of every job's own record. Its key is never used again.
func (api *userAPI) storeGroup(ctx context.Context, group []*submission) {
	api.Lock()
	incarnation := api.self.Incarnation
	api.Unlock()
	key := fmt.Sprintf("%s%s.%d.%d", jobs.IntakePrefix, api.self.Label, incarnation, api.intakeCounter.Add(1))
	guards := []wire.Compare{{Key: key}}
	v := jobs.IntakeRecord{Jobs: map[string]jobs.Record{}}
	last := group[0].deadline
	for _, s := range group {
		guards = append(guards, wire.Compare{Key: jobs.JobKey(s.spec.ID)})
		v.Jobs[s.spec.ID] = s.record
		if s.deadline.After(last) {
			last = s.deadline
		}
	}
	gctx, stop := context.WithDeadline(ctx, last)
	defer stop()
	err := api.storeNew(gctx, guards, wire.Operation{Put: key, Value: wire.MustMarshal(v)})
	if errors.Is(err, store.ErrConflict) {
		// One of them is known; which, each finds out by itself.
		err = errStoreAlone
	}
	for _, s := range group {
		s.done <- err
	}
}

func (api *userAPI) storeNew(ctx context.Context, guards []wire.Compare, change wire.Operation) error {
	changes := []wire.Operation{change}
	revision, err := api.store.CompareAndSwap(ctx, store.ClassIntake, guards, changes)
	if err != nil {
		return err
	}
	api.applyWrite(changes, revision)
	return nil
}
