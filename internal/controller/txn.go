// This file holds guarded writes: how they are put together, carried out and entered.

package controller

import (
	"context"
	"errors"
	"sort"

	"wheatspur/internal/membership"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// pendingWrite collects the changes of one guarded write.
type pendingWrite struct {
	class      store.Class
	compares   map[string]uint64
	operations []wire.Operation
	bytes      int
	jobIDs     []string
	kind       string
	logLines   [][]any // log lines for when it is stored

	shares       *quota.Write     // the new shares of a team's limit that it stores
	admission    *quota.Admission // the room of a team's limit that its claims take
	reservations bool             // it stores the reservations
}

func (t *pendingWrite) logWhenStored(msg string, args ...any) {
	t.logLines = append(t.logLines, append([]any{msg}, args...))
}

func (sc *scheduler) newWrite(what string) *pendingWrite {
	return &pendingWrite{class: store.ClassClaim, kind: what, compares: map[string]uint64{membership.Key: sc.cache.Version(membership.Key)}}
}

// fits reports whether n more changes of the given size fit.
func (sc *scheduler) fits(t *pendingWrite, changes, bytes, guards int) bool {
	ops := sc.limits.TxnOps
	return len(t.operations)+changes <= ops && t.bytes+bytes <= tuning.TransactionBytes && len(t.compares)+guards <= 4*ops
}

func (t *pendingWrite) put(key string, v any) {
	raw := wire.MustMarshal(v)
	t.operations = append(t.operations, wire.Operation{Put: key, Value: raw})
	t.bytes += 2*len(raw) + len(key) // JSON is at most about twice the CBOR
}

func (t *pendingWrite) delete(key string) {
	t.operations = append(t.operations, wire.Operation{Delete: key})
	t.bytes += len(key) + 16
}

// addWrite adds a write about a job, and marks it as under way.
func (sc *scheduler) addWrite(txns []*pendingWrite, t *pendingWrite, jobID string, most *float64) []*pendingWrite {
	t.jobIDs = append(t.jobIDs, jobID)
	sc.writesInFlight[jobID] = true
	*most -= float64(len(t.operations))
	return append(txns, t)
}

// commit runs one transaction and enters its outcome.
func (sc *scheduler) commit(ctx context.Context, t *pendingWrite) {
	guards := make([]wire.Compare, 0, len(t.compares))
	for k, s := range t.compares {
		guards = append(guards, wire.Compare{Key: k, Version: s})
	}
	sort.Slice(guards, func(a, b int) bool { return guards[a].Key < guards[b].Key })
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	revision, err := sc.store.CompareAndSwap(cctx, t.class, guards, t.operations)
	stop()
	if err != nil {
		sc.log.Debug("write failed", "what", t.kind, "jobs", t.jobIDs, "err", err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// What is stored now decides; read it before the next try.
			_ = sc.syncer.ReadBarrier(tuning.BarrierWait)
		}
	}
	sc.Lock()
	defer sc.Unlock()
	sc.metrics.countWrite(t.kind, err)
	if err == nil {
		sc.cache.ApplyOwnWrite(t.operations, revision)
		for _, l := range t.logLines {
			sc.log.Debug(l[0].(string), l[1:]...)
		}
	}
	sc.resolveQuota(t, err)
	for _, jobID := range t.jobIDs {
		delete(sc.writesInFlight, jobID)
		if errors.Is(err, store.ErrMalformed) {
			// It would be refused again: guards against a write every pass.
			sc.backoffUntil[jobID] = sc.now().Add(tuning.RetryCap)
			sc.log.Error("write refused as malformed", "what", t.kind, "job", jobID, "err", err)
		} else if err != nil {
			sc.backoffUntil[jobID] = sc.now().Add(jitter(tuning.ConflictPause))
		} else {
			delete(sc.backoffUntil, jobID)
		}
	}
	wake(sc.passWake)
}
