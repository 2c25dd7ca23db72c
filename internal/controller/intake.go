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
func (n *Controller) storeSubmission(c *fasthttp.RequestCtx, w *wire.JobSpec, phase jobs.Phase) {
	begun := n.now()
	ctx, stop := context.WithTimeout(context.Background(), tuning.DecisionWait)
	defer stop()
	s := &submission{spec: w, deadline: time.Now().Add(tuning.DecisionWait), done: make(chan error, 1),
		record: jobs.Record{Phase: phase, AcceptedAtMs: n.now().UnixMilli(), Tasks: w.Tasks,
			ChunkSize: jobs.ChunkSize(n.limits.ValueKB), Spec: w}}
	select {
	case n.intake <- s:
	default: // those whose users have been told to come back are still in it
		n.replyRetry(c, 429, "too many submissions under way")
		return
	}
	var err error
	select {
	case err = <-s.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if errors.Is(err, errStoreAlone) {
		err = n.storeOne(ctx, s)
	}
	switch {
	case err == nil:
		n.log.Debug("job accepted", "job", w.ID, "class", w.Class, "tasks", w.Tasks, "image", w.Image, "image_gb", w.ImageGB, "reckon_s", w.EstimateS, "due_s", deadlineSeconds(w), "awaits", len(w.DependsOn), "took", n.now().Sub(begun))
		respond(c, 201, wire.JobStatus{ID: w.ID, State: wire.StateQueued})
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		// A lost answer is settled by reading again.
		n.replyKnownJob(c, w.ID)
	default:
		n.replyRetry(c, 503, "the job can't be stored now")
	}
}

// runIntake stores submissions. Those that come while the budget of changes is
// short go together in one change: hundreds of jobs at once, when a fleet
// starts or a state service is back, took half a minute one by one.
func (n *Controller) runIntake(ctx context.Context) error {
	var next *submission
	for ctx.Err() == nil {
		if next == nil {
			select {
			case <-ctx.Done():
				return nil
			case next = <-n.intake:
			}
		}
		var group []*submission
		group, next = n.batchSubmissions(next)
		switch len(group) {
		case 0:
		case 1:
			s := group[0]
			sctx, stop := context.WithDeadline(ctx, s.deadline)
			s.done <- n.storeOne(sctx, s)
			stop()
		default:
			n.storeGroup(ctx, group)
		}
	}
	return nil
}

// batchSubmissions takes submissions that wait, as many as one record holds; the one
// that does not fit goes first in the next.
func (n *Controller) batchSubmissions(first *submission) (group []*submission, next *submission) {
	room := n.maxGroupBytes()
	most := min(tuning.IntakeGroup, 4*n.limits.TxnOps-1)
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
		case s = <-n.intake:
		default:
			return group, nil
		}
	}
}

// storeOne stores a job's own record.
func (n *Controller) storeOne(ctx context.Context, s *submission) error {
	key := jobs.JobKey(s.spec.ID)
	return n.storeNew(ctx, []wire.Compare{{Key: key}}, wire.Operation{Put: key, Value: wire.MustMarshal(s.record)})
}

// storeGroup stores several jobs in one intake record, guarded by the absence
// of every job's own record. Its key is never used again.
func (n *Controller) storeGroup(ctx context.Context, group []*submission) {
	n.mu.Lock()
	incarnation := n.self.Incarnation
	n.mu.Unlock()
	key := fmt.Sprintf("%s%s.%d.%d", jobs.IntakePrefix, n.self.Label, incarnation, n.intakeCounter.Add(1))
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
	err := n.storeNew(gctx, guards, wire.Operation{Put: key, Value: wire.MustMarshal(v)})
	if errors.Is(err, store.ErrConflict) {
		// One of them is known; which, each finds out by itself.
		err = errStoreAlone
	}
	for _, s := range group {
		s.done <- err
	}
}

func (n *Controller) storeNew(ctx context.Context, guards []wire.Compare, change wire.Operation) error {
	changes := []wire.Operation{change}
	revision, err := n.store.CompareAndSwap(ctx, store.ClassIntake, guards, changes)
	if err != nil {
		return err
	}
	n.applyWrite(changes, revision)
	return nil
}
