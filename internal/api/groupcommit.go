// This file is the group commit of the intake: submissions that wait together are
// stored in one write.

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

// Submission is a new job that waits for its durable write. The handler that
// serves its user creates it, sends it to UserAPI.Intake and waits for Done;
// RunIntake stores it. Nothing in it changes after it was sent.
type Submission struct {
	// Spec is the job as its user described it.
	Spec *wire.JobSpec
	// Record is what is stored of the job.
	Record jobs.Record
	// Deadline is when the user is answered at the latest; nothing is written for a
	// submission that is past it.
	Deadline time.Time
	// Done receives the outcome of the write, once. It has room for it, so that the
	// intake never waits for a handler that has given up.
	Done chan error
}

// expired reports whether the user has been told to come back.
func (s *Submission) expired() bool { return !time.Now().Before(s.Deadline) }

// ErrStoreAlone says that a submission was not stored together with others, and may
// be by itself.
var ErrStoreAlone = errors.New("not stored with the others")

// RunIntake stores submissions. Those that come while the budget of writes is
// short go together in one: hundreds of jobs at once, when a fleet starts or a
// store is back, took half a minute one by one.
func (api *UserAPI) RunIntake(ctx context.Context) error {
	var first *Submission // of the next group
	for ctx.Err() == nil {
		if first == nil {
			select {
			case <-ctx.Done():
				return nil
			case first = <-api.Intake:
			}
		}
		var group []*Submission
		group, first = api.BatchSubmissions(first)
		api.commitGroup(ctx, group)
	}
	return nil
}

// commitGroup stores a group and hands each of its submissions the outcome. One that
// is alone gets a record of its own.
func (api *UserAPI) commitGroup(ctx context.Context, group []*Submission) {
	switch len(group) {
	case 0: // all were past their deadlines
	case 1:
		submission := group[0]
		storeCtx, stop := context.WithDeadline(ctx, submission.Deadline)
		defer stop()
		submission.Done <- api.storeOne(storeCtx, submission)
	default:
		api.StoreGroup(ctx, group)
	}
}

// BatchSubmissions takes submissions that wait, as many as one record holds and one
// write can compare; the one that does not fit goes first in the next group. Those
// past their deadlines are left out.
func (api *UserAPI) BatchSubmissions(first *Submission) (group []*Submission, next *Submission) {
	bytesLeft := api.MaxGroupBytes()
	limit := api.groupLimit()
	jobIDs := map[string]bool{}
	for submission := first; ; {
		if !submission.expired() {
			bytesLeft -= jobs.IntakeBytes(submission.Spec)
			if len(group) > 0 && (bytesLeft < 0 || jobIDs[submission.Spec.ID]) {
				return group, submission
			}
			group = append(group, submission)
			jobIDs[submission.Spec.ID] = true
		}
		if len(group) == limit {
			return group, nil
		}
		select {
		case submission = <-api.Intake:
		default:
			return group, nil
		}
	}
}

// groupLimit is how many submissions one write may store: each takes a compare, and
// the intake record one more.
func (api *UserAPI) groupLimit() int {
	return min(tuning.IntakeGroup, tuning.ComparesPerOperation*api.Limits.TxnOps-1)
}

// storeOne stores a job's own record.
func (api *UserAPI) storeOne(ctx context.Context, submission *Submission) error {
	key := jobs.JobKey(submission.Spec.ID)
	put := wire.Operation{Put: key, Value: wire.MustMarshal(submission.Record)}
	return api.storeNew(ctx, []wire.Compare{{Key: key}}, put)
}

// StoreGroup stores several jobs in one intake record, on condition that none of them
// has a record of its own.
func (api *UserAPI) StoreGroup(ctx context.Context, group []*Submission) {
	compares, put := groupWrite(api.nextIntakeKey(), group)
	storeCtx, stop := context.WithDeadline(ctx, latestDeadline(group))
	defer stop()
	err := api.storeNew(storeCtx, compares, put)
	if errors.Is(err, store.ErrConflict) {
		// One of them is known; which, each finds out by itself.
		err = ErrStoreAlone
	}
	for _, submission := range group {
		submission.Done <- err
	}
}

// nextIntakeKey is the key of a new intake record. It is never used again, by any
// incarnation of any controller.
func (api *UserAPI) nextIntakeKey() string {
	api.Lock()
	defer api.Unlock()
	return fmt.Sprintf("%s%s.%d.%d", jobs.IntakePrefix, api.Self.Label, api.Self.Incarnation, api.intakeCounter.Add(1))
}

// groupWrite is the write of a group's intake record.
func groupWrite(key string, group []*Submission) ([]wire.Compare, wire.Operation) {
	compares := make([]wire.Compare, 0, len(group)+1)
	compares = append(compares, wire.Compare{Key: key})
	record := jobs.IntakeRecord{Jobs: make(map[string]jobs.Record, len(group))}
	for _, submission := range group {
		compares = append(compares, wire.Compare{Key: jobs.JobKey(submission.Spec.ID)})
		record.Jobs[submission.Spec.ID] = submission.Record
	}
	return compares, wire.Operation{Put: key, Value: wire.MustMarshal(record)}
}

func latestDeadline(group []*Submission) time.Time {
	latest := group[0].Deadline
	for _, submission := range group[1:] {
		if submission.Deadline.After(latest) {
			latest = submission.Deadline
		}
	}
	return latest
}

// storeNew writes the record of new jobs and enters it here.
func (api *UserAPI) storeNew(ctx context.Context, compares []wire.Compare, put wire.Operation) error {
	operations := []wire.Operation{put}
	revision, err := api.Store.CompareAndSwap(ctx, store.ClassIntake, compares, operations)
	if err != nil {
		return err
	}
	api.ApplyOwnWrite(operations, revision)
	return nil
}
