package api

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Submission is a new job that waits for its durable write.
type Submission struct {
	Spec     *wire.JobSpec
	Record   jobs.Record
	Deadline time.Time  // its user is answered by then
	Done     chan error // has room for the outcome
}

// ErrStoreAlone says that a submission was not stored together with others, and may
// be by itself.
var ErrStoreAlone = errors.New("not stored with the others")

// RunIntake stores submissions. Those that come while the budget of changes is
// short go together in one change: hundreds of jobs at once, when a fleet
// starts or a state service is back, took half a minute one by one.
func (api *UserAPI) RunIntake(ctx context.Context) error {
	var next *Submission
	for ctx.Err() == nil {
		if next == nil {
			select {
			case <-ctx.Done():
				return nil
			case next = <-api.Intake:
			}
		}
		var group []*Submission
		group, next = api.BatchSubmissions(next)
		switch len(group) {
		case 0:
		case 1:
			s := group[0]
			sctx, stop := context.WithDeadline(ctx, s.Deadline)
			s.Done <- api.storeOne(sctx, s)
			stop()
		default:
			api.StoreGroup(ctx, group)
		}
	}
	return nil
}

// BatchSubmissions takes submissions that wait, as many as one record holds; the one
// that does not fit goes first in the next.
func (api *UserAPI) BatchSubmissions(first *Submission) (group []*Submission, next *Submission) {
	room := api.MaxGroupBytes()
	most := min(tuning.IntakeGroup, 4*api.Limits.TxnOps-1)
	jobIDs := map[string]bool{}
	for s := first; ; {
		// Whose user has been told to come back is left out.
		if time.Now().Before(s.Deadline) {
			room -= jobs.IntakeBytes(s.Spec)
			if len(group) > 0 && (room < 0 || jobIDs[s.Spec.ID]) {
				return group, s
			}
			group = append(group, s)
			jobIDs[s.Spec.ID] = true
		}
		if len(group) == most {
			return group, nil
		}
		select {
		case s = <-api.Intake:
		default:
			return group, nil
		}
	}
}

// storeOne stores a job's own record.
func (api *UserAPI) storeOne(ctx context.Context, s *Submission) error {
	key := jobs.JobKey(s.Spec.ID)
	return api.storeNew(ctx, []wire.Compare{{Key: key}}, wire.Operation{Put: key, Value: wire.MustMarshal(s.Record)})
}

// StoreGroup stores several jobs in one intake record, guarded by the absence
// of every job's own record. Its key is never used again.
func (api *UserAPI) StoreGroup(ctx context.Context, group []*Submission) {
	api.Lock()
	incarnation := api.Self.Incarnation
	api.Unlock()
	key := fmt.Sprintf("%s%s.%d.%d", jobs.IntakePrefix, api.Self.Label, incarnation, api.intakeCounter.Add(1))
	guards := []wire.Compare{{Key: key}}
	v := jobs.IntakeRecord{Jobs: map[string]jobs.Record{}}
	last := group[0].Deadline
	for _, s := range group {
		guards = append(guards, wire.Compare{Key: jobs.JobKey(s.Spec.ID)})
		v.Jobs[s.Spec.ID] = s.Record
		if s.Deadline.After(last) {
			last = s.Deadline
		}
	}
	gctx, stop := context.WithDeadline(ctx, last)
	defer stop()
	err := api.storeNew(gctx, guards, wire.Operation{Put: key, Value: wire.MustMarshal(v)})
	if errors.Is(err, store.ErrConflict) {
		// One of them is known; which, each finds out by itself.
		err = ErrStoreAlone
	}
	for _, s := range group {
		s.Done <- err
	}
}

func (api *UserAPI) storeNew(ctx context.Context, guards []wire.Compare, change wire.Operation) error {
	changes := []wire.Operation{change}
	revision, err := api.Store.CompareAndSwap(ctx, store.ClassIntake, guards, changes)
	if err != nil {
		return err
	}
	api.ApplyWrite(changes, revision)
	return nil
}
