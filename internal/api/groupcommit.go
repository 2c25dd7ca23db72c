// This file implements the group commit of submissions: submissions that are queued at the same time
// are stored in one write.

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

// Submission is a new job that waits to be stored. The request handler creates it, sends it to
// UserAPI.SubmissionQueue and waits for Done. RunIntake stores it. It is immutable once it has been
// sent.
type Submission struct {
	// Spec is the user's description of the job.
	Spec *wire.JobSpec
	// Record is the job record to store.
	Record jobs.Record
	// Deadline is the latest time of the response to the user. A submission that is past its
	// deadline is not written.
	Deadline time.Time
	// Done receives the outcome of the write, once. It is buffered, so that the intake never blocks
	// on a handler that has timed out.
	Done chan error
}

// expired reports whether the deadline has passed, so that the user has been told to retry.
func (s *Submission) expired() bool { return !time.Now().Before(s.Deadline) }

// ErrNotStoredInGroup is the outcome of a submission that was not stored with its group and can be
// stored on its own.
var ErrNotStoredInGroup = errors.New("submission was not stored with its group and must be stored on its own")

// RunIntake stores submissions until ctx ends. Submissions that arrive while a write waits for the
// write budget are stored together in the next one. Stored one by one, the hundreds of jobs that
// arrive at once when a fleet starts or the store recovers took half a minute.
func (api *UserAPI) RunIntake(ctx context.Context) error {
	var first *Submission // first submission of the next group
	for ctx.Err() == nil {
		if first == nil {
			select {
			case <-ctx.Done():
				return nil
			case first = <-api.SubmissionQueue:
			}
		}
		var group []*Submission
		group, first = api.NextSubmissionGroup(first)
		api.commitGroup(ctx, group)
	}
	return nil
}

// commitGroup stores a group and sends each of its submissions the outcome. A group of one is stored
// as the job's own record instead of an intake record.
func (api *UserAPI) commitGroup(ctx context.Context, group []*Submission) {
	switch len(group) {
	case 0: // all submissions were past their deadlines
	case 1:
		submission := group[0]
		storeCtx, cancel := context.WithDeadline(ctx, submission.Deadline)
		defer cancel()
		submission.Done <- api.storeOne(storeCtx, submission)
	default:
		api.StoreGroup(ctx, group)
	}
}

// NextSubmissionGroup takes queued submissions, as many as fit into one record and one write. next
// is a submission that did not fit or has the job ID of one in the group; it starts the next group,
// and is nil if there is none. Submissions past their deadlines are dropped.
func (api *UserAPI) NextSubmissionGroup(first *Submission) (group []*Submission, next *Submission) {
	bytesLeft := api.MaxRecordGroupBytes()
	limit := api.groupLimit()
	jobIDs := map[string]bool{}
	for submission := first; ; {
		if !submission.expired() {
			bytesLeft -= jobs.MaxIntakeBytes(submission.Spec)
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
		case submission = <-api.SubmissionQueue:
		default:
			return group, nil
		}
	}
}

// groupLimit returns the maximum number of submissions in one write. Each submission needs a
// compare, and the intake record needs one more.
func (api *UserAPI) groupLimit() int {
	return min(tuning.IntakeGroup, tuning.ComparesPerOperation*api.Limits.TxnOps-1)
}

// storeOne stores a submission as the job's own record.
func (api *UserAPI) storeOne(ctx context.Context, submission *Submission) error {
	key := jobs.JobKey(submission.Spec.ID)
	put := wire.Operation{Put: key, Value: wire.MustMarshal(submission.Record)}
	return api.storeNewJobs(ctx, []wire.Compare{{Key: key}}, put)
}

// StoreGroup stores several jobs in one intake record, on condition that none of them has a record
// of its own, and sends each submission the outcome.
func (api *UserAPI) StoreGroup(ctx context.Context, group []*Submission) {
	compares, put := groupWrite(api.nextIntakeKey(), group)
	storeCtx, cancel := context.WithDeadline(ctx, latestDeadline(group))
	defer cancel()
	err := api.storeNewJobs(storeCtx, compares, put)
	if errors.Is(err, store.ErrConflict) {
		// At least one of the jobs is already stored. Storing each on its own finds out which.
		err = ErrNotStoredInGroup
	}
	for _, submission := range group {
		submission.Done <- err
	}
}

// nextIntakeKey returns a key for a new intake record. The key is unique across controllers and
// their incarnations, and never reused.
func (api *UserAPI) nextIntakeKey() string {
	api.Lock()
	defer api.Unlock()
	return fmt.Sprintf("%s%s.%d.%d", jobs.IntakePrefix, api.Self.Label, api.Self.Incarnation, api.intakeCounter.Add(1))
}

// groupWrite returns the compares and the operation that store a group's intake record.
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

// storeNewJobs stores a record of new jobs and applies it to the cache.
func (api *UserAPI) storeNewJobs(ctx context.Context, compares []wire.Compare, put wire.Operation) error {
	operations := []wire.Operation{put}
	revision, err := api.Store.CompareAndSwap(ctx, store.ClassSubmission, compares, operations)
	if err != nil {
		return err
	}
	api.ApplyOwnWrite(operations, revision)
	return nil
}
