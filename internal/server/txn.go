// This file holds guarded writes: how they are put together, carried out and entered.

package server

import (
	"context"
	"errors"
	"sort"

	"wheatspur/internal/member"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// txn collects the changes of one guarded write.
type txn struct {
	class   store.Class
	guards  map[string]uint64
	changes []wire.Operation
	bytes   int
	jobs    []string
	what    string
	notes   [][]any // log lines for when it is stored

	shares    *quota.Write     // the new shares of a team's limit that it stores
	admission *quota.Admission // the room of a team's limit that its claims take
	reserves  bool             // it stores the reservations
}

func (t *txn) note(msg string, args ...any) { t.notes = append(t.notes, append([]any{msg}, args...)) }

func (n *Node) newTxn(what string) *txn {
	return &txn{class: store.ClassClaim, what: what, guards: map[string]uint64{member.Key: n.cache.Version(member.Key)}}
}

// room reports whether n more changes of the given size fit.
func (n *Node) room(t *txn, changes, bytes, guards int) bool {
	ops := n.limits.TxnOps
	return len(t.changes)+changes <= ops && t.bytes+bytes <= tuning.TransactionBytes && len(t.guards)+guards <= 4*ops
}

func (t *txn) set(key string, v any) {
	raw := wire.MustMarshal(v)
	t.changes = append(t.changes, wire.Operation{Put: key, Value: raw})
	t.bytes += 2*len(raw) + len(key) // JSON is at most about twice the CBOR
}

func (t *txn) drop(key string) {
	t.changes = append(t.changes, wire.Operation{Delete: key})
	t.bytes += len(key) + 16
}

// under adds a write about a job, and marks it as under way.
func (n *Node) under(txns []*txn, t *txn, jobID string, most *float64) []*txn {
	t.jobs = append(t.jobs, jobID)
	n.busyJob[jobID] = true
	*most -= float64(len(t.changes))
	return append(txns, t)
}

// commit runs one transaction and enters its outcome.
func (n *Node) commit(ctx context.Context, t *txn) {
	guards := make([]wire.Compare, 0, len(t.guards))
	for k, s := range t.guards {
		guards = append(guards, wire.Compare{Key: k, Version: s})
	}
	sort.Slice(guards, func(a, b int) bool { return guards[a].Key < guards[b].Key })
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	revision, err := n.svc.CompareAndSwap(cctx, t.class, guards, t.changes)
	stop()
	if err != nil {
		n.log.Debug("write failed", "what", t.what, "jobs", t.jobs, "err", err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// What is stored now decides; read it before the next try.
			_ = n.sync.ReadBarrier(tuning.BarrierWait)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.metrics.wrote(t.what, err)
	if err == nil {
		n.cache.ApplyOwnWrite(t.changes, revision)
		for _, l := range t.notes {
			n.log.Debug(l[0].(string), l[1:]...)
		}
	}
	n.settleQuota(t, err)
	for _, jobID := range t.jobs {
		delete(n.busyJob, jobID)
		if errors.Is(err, store.ErrMalformed) {
			// It would be refused again: guards against a write every pass.
			n.notUntil[jobID] = n.now().Add(tuning.RetryCap)
			n.log.Error("write refused as malformed", "what", t.what, "job", jobID, "err", err)
		} else if err != nil {
			n.notUntil[jobID] = n.now().Add(jitter(tuning.ConflictPause))
		} else {
			delete(n.notUntil, jobID)
		}
	}
	wake(n.passWake)
}
