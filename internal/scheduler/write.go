// This file holds guarded writes: how they are put together, carried out and entered.

package scheduler

import (
	"context"
	"errors"
	"sort"

	"wheatspur/internal/cluster"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// PendingWrite collects the changes of one guarded write.
type PendingWrite struct {
	Class      store.Class
	Compares   map[string]uint64
	Operations []wire.Operation
	bytes      int
	jobIDs     []string
	Kind       string
	logLines   [][]any // log lines for when it is stored

	shares       *quota.Write     // the new shares of a team's limit that it stores
	Admission    *quota.Admission // the room of a team's limit that its claims take
	reservations bool             // it stores the reservations
}

func (t *PendingWrite) logWhenStored(msg string, args ...any) {
	t.logLines = append(t.logLines, append([]any{msg}, args...))
}

func (sc *Scheduler) newWrite(what string) *PendingWrite {
	return &PendingWrite{Class: store.ClassClaim, Kind: what, Compares: map[string]uint64{membership.Key: sc.Cache.Version(membership.Key)}}
}

// fits reports whether n more changes of the given size fit.
func (sc *Scheduler) fits(t *PendingWrite, changes, bytes, guards int) bool {
	ops := sc.Limits.TxnOps
	return len(t.Operations)+changes <= ops && t.bytes+bytes <= tuning.TransactionBytes && len(t.Compares)+guards <= 4*ops
}

func (t *PendingWrite) put(key string, v any) {
	raw := wire.MustMarshal(v)
	t.Operations = append(t.Operations, wire.Operation{Put: key, Value: raw})
	t.bytes += 2*len(raw) + len(key) // JSON is at most about twice the CBOR
}

func (t *PendingWrite) delete(key string) {
	t.Operations = append(t.Operations, wire.Operation{Delete: key})
	t.bytes += len(key) + 16
}

// addWrite adds a write about a job, and marks it as under way.
func (sc *Scheduler) addWrite(txns []*PendingWrite, t *PendingWrite, jobID string, most *float64) []*PendingWrite {
	t.jobIDs = append(t.jobIDs, jobID)
	sc.WritesInFlight[jobID] = true
	*most -= float64(len(t.Operations))
	return append(txns, t)
}

// Commit runs one transaction and enters its outcome.
func (sc *Scheduler) Commit(ctx context.Context, t *PendingWrite) {
	guards := make([]wire.Compare, 0, len(t.Compares))
	for k, s := range t.Compares {
		guards = append(guards, wire.Compare{Key: k, Version: s})
	}
	sort.Slice(guards, func(a, b int) bool { return guards[a].Key < guards[b].Key })
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	revision, err := sc.Store.CompareAndSwap(cctx, t.Class, guards, t.Operations)
	stop()
	if err != nil {
		sc.Log.Debug(logging.EventCompareAndSwapFailed, logging.KeyKind, t.Kind, logging.KeyJobs, t.jobIDs, logging.KeyError, err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// What is stored now decides; read it before the next try.
			_ = sc.Syncer.ReadBarrier(tuning.BarrierWait)
		}
	}
	sc.Lock()
	defer sc.Unlock()
	sc.Metrics.CountWrite(t.Kind, err)
	if err == nil {
		sc.Cache.ApplyOwnWrite(t.Operations, revision)
		for _, l := range t.logLines {
			sc.Log.Debug(l[0].(string), l[1:]...)
		}
	}
	sc.ResolveQuota(t, err)
	for _, jobID := range t.jobIDs {
		delete(sc.WritesInFlight, jobID)
		if errors.Is(err, store.ErrMalformed) {
			// It would be refused again: guards against a write every pass.
			sc.BackoffUntil[jobID] = sc.Now().Add(tuning.RetryCap)
			sc.Log.Error(logging.EventCompareAndSwapMalformed, logging.KeyKind, t.Kind, logging.KeyJob, jobID, logging.KeyError, err)
		} else if err != nil {
			sc.BackoffUntil[jobID] = sc.Now().Add(timing.Jitter(tuning.ConflictPause))
		} else {
			delete(sc.BackoffUntil, jobID)
		}
	}
	cluster.Wake(sc.PassWake)
}
