// This file holds the writes of a pass: how they are put together, sent to the
// store as one compare-and-swap each, and what their outcome changes.

package scheduler

import (
	"context"
	"errors"
	"slices"
	"strings"

	"wheatspur/internal/cluster"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// writeKind names what a write is for. It is the value of a metric's label and of
// a log line's key, so the texts stay as they are. The writes of a team's shares
// take the text of their quota.Event.
type writeKind string

// Kinds of writes.
const (
	writeClaims          writeKind = "claim"
	writeReleases        writeKind = "release"
	writeCompletedJob    writeKind = "finish"
	writeCancelledJob    writeKind = "cancelled with another"
	writeIntakeRemoval   writeKind = "intake over"
	writeReservationsSet writeKind = "reserve"
)

// Bounds of the size of a write.
const (
	// jsonPerCBORByte bounds the JSON form of a value, which the store counts, by
	// its CBOR form.
	jsonPerCBORByte = 2
	// deleteBytes bounds the JSON form of a delete operation, all but its key.
	deleteBytes = 16
)

// PendingWrite is a compare-and-swap in the making: a pass collects what it
// compares and changes, and what is to follow when it is stored. It is not
// changed any more once Schedule has returned it.
type PendingWrite struct {
	Class      store.Class       // who goes first when the budget is short
	Compares   map[string]uint64 // expected version by key
	Operations []wire.Operation
	Kind       string   // a writeKind; label of the metric of writes
	bytes      int      // bounds the JSON form of the operations
	inFlight   []string // what it is about in Scheduler.WritesInFlight
	logLines   []logLine

	shares       *quota.Write     // the new shares of a team's limit that it stores; nil: none
	Admission    *quota.Admission // the part of a team's limit that its claims take; nil: none to account for
	reservations bool             // it stores the reservations
}

// logLine is a line for the log that is written when a write is stored.
type logLine struct {
	event string
	args  []any // keys and values, as log/slog takes them
}

// writeBudget is how many operations may still be written in this pass. What does
// not fit is not decided: it would wait in the limiter's queue until its compares
// are old, and fail.
type writeBudget float64

// covers reports whether there is room for a number of operations.
func (b *writeBudget) covers(operations float64) bool { return float64(*b) >= operations }

// spend takes a number of operations.
func (b *writeBudget) spend(operations float64) { *b -= writeBudget(operations) }

// newWrite begins a write. Every write compares the membership: no controller that
// was fenced out can store what it decided before.
func (sc *Scheduler) newWrite(kind writeKind) *PendingWrite {
	write := &PendingWrite{Class: store.ClassClaim, Kind: string(kind), Compares: map[string]uint64{}}
	sc.compareCurrent(write, membership.Key)
	return write
}

// compareCurrent lets a write succeed only if the key's version is still the one
// known here. The caller holds the lock.
func (sc *Scheduler) compareCurrent(write *PendingWrite, key string) {
	write.Compares[key] = sc.Cache.Version(key)
}

// hasRoom reports whether more operations of the given size in all, and more
// compares, fit the write.
func (sc *Scheduler) hasRoom(write *PendingWrite, operations, bytes, compares int) bool {
	most := sc.Limits.TxnOps
	return len(write.Operations)+operations <= most &&
		write.bytes+bytes <= tuning.TransactionBytes &&
		len(write.Compares)+compares <= tuning.ComparesPerOperation*most
}

// put adds the operation that stores a value.
func (write *PendingWrite) put(key string, v any) {
	raw := wire.MustMarshal(v)
	write.Operations = append(write.Operations, wire.Operation{Put: key, Value: raw})
	write.bytes += jsonPerCBORByte*len(raw) + len(key)
}

// delete adds the operation that drops a key.
func (write *PendingWrite) delete(key string) {
	write.Operations = append(write.Operations, wire.Operation{Delete: key})
	write.bytes += len(key) + deleteBytes
}

// logWhenStored adds a line for the log.
func (write *PendingWrite) logWhenStored(event string, args ...any) {
	write.logLines = append(write.logLines, logLine{event, args})
}

// sortedCompares lists the compares by key.
func (write *PendingWrite) sortedCompares() []wire.Compare {
	compares := make([]wire.Compare, 0, len(write.Compares))
	for key, version := range write.Compares {
		compares = append(compares, wire.Compare{Key: key, Version: version})
	}
	slices.SortFunc(compares, func(a, b wire.Compare) int { return strings.Compare(a.Key, b.Key) })
	return compares
}

// addWrite adds a complete write about a job or an intake record, and marks that
// as having a write in flight. The caller holds the lock.
func (sc *Scheduler) addWrite(writes []*PendingWrite, write *PendingWrite, subject string, budget *writeBudget) []*PendingWrite {
	write.inFlight = append(write.inFlight, subject)
	sc.WritesInFlight[subject] = true
	budget.spend(float64(len(write.Operations)))
	return append(writes, write)
}

// Commit sends a write to the store and enters its outcome. It takes the lock
// itself. It waits for its turn in the budget for up to tuning.DecisionWait or
// until ctx ends, then for the store's answer for up to tuning.StoreCallTimeout,
// and after an answer that leaves open what is stored for up to tuning.BarrierWait.
func (sc *Scheduler) Commit(ctx context.Context, write *PendingWrite) {
	revision, err := sc.compareAndSwap(ctx, write)
	if err != nil {
		sc.Log.Debug(logging.EventCompareAndSwapFailed, logging.KeyKind, write.Kind, logging.KeyJobs, write.inFlight, logging.KeyError, err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// What is stored now decides; read it before the next try. If that
			// fails, a pass that starts from what is known here only loses again.
			_ = sc.Syncer.ReadBarrier(tuning.BarrierWait)
		}
	}
	sc.applyOutcome(write, revision, err)
}

// compareAndSwap sends a write to the store.
func (sc *Scheduler) compareAndSwap(ctx context.Context, write *PendingWrite) (revision uint64, err error) {
	ctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	return sc.Store.CompareAndSwap(ctx, write.Class, write.sortedCompares(), write.Operations)
}

// applyOutcome enters what became of a write, and wakes the scheduler. All of it
// is one critical section: no pass sees a write that is neither in flight nor in
// the cache.
func (sc *Scheduler) applyOutcome(write *PendingWrite, revision uint64, err error) {
	sc.Lock()
	defer sc.Unlock()
	sc.Metrics.CountWrite(write.Kind, err)
	if err == nil {
		sc.Cache.ApplyOwnWrite(write.Operations, revision)
		for _, line := range write.logLines {
			sc.Log.Debug(line.event, line.args...)
		}
	}
	sc.ResolveQuota(write, err)
	for _, subject := range write.inFlight {
		delete(sc.WritesInFlight, subject)
		sc.backOff(write, subject, err)
	}
	cluster.Wake(sc.PassWake)
}

// backOff sets when a job is tried again after a write about it; at once if the
// write was stored. The caller holds the lock.
func (sc *Scheduler) backOff(write *PendingWrite, jobID string, err error) {
	switch {
	case err == nil:
		delete(sc.BackoffUntil, jobID)
	case errors.Is(err, store.ErrMalformed):
		// It would be refused again: guards against a write every pass.
		sc.BackoffUntil[jobID] = sc.Now().Add(tuning.RetryCap)
		sc.Log.Error(logging.EventCompareAndSwapMalformed, logging.KeyKind, write.Kind, logging.KeyJob, jobID, logging.KeyError, err)
	default:
		sc.BackoffUntil[jobID] = sc.Now().Add(timing.Jitter(tuning.ConflictPause))
	}
}
