// This file defines the writes of a pass: how they are built, committed to the store as one
// compare-and-swap each, and how their outcomes are applied.

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

// writeKind is the purpose of a write. Its values appear as a metric label and in log lines, so the
// texts must not change. Writes of a team's shares use the text of their quota.Event instead.
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

// Bounds for estimating the size of a write.
const (
	// jsonPerCBORByte is an upper bound of the ratio between a value's size as JSON, which the
	// store's limit applies to, and its size as CBOR.
	jsonPerCBORByte = 2
	// deleteBytes is an upper bound of the size of a delete operation as JSON, without its key.
	deleteBytes = 16
)

// PendingWrite is a compare-and-swap that a pass builds up: its compares, its operations and the
// actions to take once its outcome is known. It is immutable once PlanPass has returned it.
type PendingWrite struct {
	Class      store.Class       // priority class in the queue for the write budget
	Compares   map[string]uint64 // expected version by key
	Operations []wire.Operation
	Kind       string   // a writeKind or quota.Event; label of the metric that counts writes
	jsonBytes  int      // upper bound of the size of the operations as JSON
	subjects   []string // its entries in Scheduler.WritesInFlight: jobs or intake record keys
	logLines   []logLine

	shares       *quota.Write     // the shares of a team's limit that it stores; nil: none
	Admission    *quota.Admission // the admission of its claims under the team's limit; nil: nothing to account for
	reservations bool             // whether it stores the reservations
}

// logLine is a log line that is written once a write is stored.
type logLine struct {
	event string
	args  []any // keys and values, as log/slog takes them
}

// writeBudget is the number of operations that may still be written in this pass. Writes beyond
// the budget are not planned: they would wait in the limiter's queue until their compares are
// stale, and then fail.
type writeBudget float64

// covers reports whether the budget covers a number of operations.
func (b *writeBudget) covers(operations float64) bool { return float64(*b) >= operations }

// spend deducts a number of operations.
func (b *writeBudget) spend(operations float64) { *b -= writeBudget(operations) }

// newWrite returns a write without operations. Every write compares the membership record, so that
// a controller that was fenced out can't store decisions it made before.
func (sc *Scheduler) newWrite(kind writeKind) *PendingWrite {
	write := &PendingWrite{Class: store.ClassClaim, Kind: string(kind), Compares: map[string]uint64{}}
	sc.compareCurrent(write, membership.RecordKey)
	return write
}

// compareCurrent adds a compare with the cached version of a key: the write succeeds only if the
// key has not changed since. The caller holds the lock.
func (sc *Scheduler) compareCurrent(write *PendingWrite, key string) {
	write.Compares[key] = sc.Cache.Version(key)
}

// hasRoom reports whether the write has room for the given number of further operations, with the
// given total size, and of further compares.
func (sc *Scheduler) hasRoom(write *PendingWrite, operations, jsonBytes, compares int) bool {
	maxOperations := sc.Limits.TxnOps
	return len(write.Operations)+operations <= maxOperations &&
		write.jsonBytes+jsonBytes <= tuning.TransactionBytes &&
		len(write.Compares)+compares <= tuning.ComparesPerOperation*maxOperations
}

// put adds an operation that stores a value.
func (write *PendingWrite) put(key string, value any) {
	encoded := wire.MustMarshal(value)
	write.Operations = append(write.Operations, wire.Operation{Put: key, Value: encoded})
	write.jsonBytes += jsonPerCBORByte*len(encoded) + len(key)
}

// delete adds an operation that deletes a key.
func (write *PendingWrite) delete(key string) {
	write.Operations = append(write.Operations, wire.Operation{Delete: key})
	write.jsonBytes += len(key) + deleteBytes
}

// logWhenStored adds a log line that is written once the write is stored.
func (write *PendingWrite) logWhenStored(event string, args ...any) {
	write.logLines = append(write.logLines, logLine{event, args})
}

// sortedCompares returns the compares, sorted by key.
func (write *PendingWrite) sortedCompares() []wire.Compare {
	compares := make([]wire.Compare, 0, len(write.Compares))
	for key, version := range write.Compares {
		compares = append(compares, wire.Compare{Key: key, Version: version})
	}
	slices.SortFunc(compares, func(a, b wire.Compare) int { return strings.Compare(a.Key, b.Key) })
	return compares
}

// addWrite adds a complete write about a job or an intake record to the pass, deducts it from the
// budget and marks its subject as having a write in flight. The caller holds the lock.
func (sc *Scheduler) addWrite(writes []*PendingWrite, write *PendingWrite, subject string, budget *writeBudget) []*PendingWrite {
	write.subjects = append(write.subjects, subject)
	sc.WritesInFlight[subject] = true
	budget.spend(float64(len(write.Operations)))
	return append(writes, write)
}

// Commit sends a write to the store and applies its outcome. It takes the lock itself. It waits for
// the write budget for up to tuning.DurableWriteTimeout or until ctx ends, then for the store's
// response for up to tuning.StoreCallTimeout. After a conflict or an unknown outcome it also waits up
// to tuning.BarrierWait for a read of the store.
func (sc *Scheduler) Commit(ctx context.Context, write *PendingWrite) {
	revision, err := sc.compareAndSwap(ctx, write)
	if err != nil {
		sc.Log.Debug(logging.EventCompareAndSwapFailed, logging.KeyKind, write.Kind, logging.KeyJobs, write.subjects, logging.KeyError, err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// Read the current records before the next attempt. An error can be ignored: a
			// pass that uses the stale cache only causes another conflict.
			_ = sc.Syncer.ReadBarrier(tuning.BarrierWait)
		}
	}
	sc.applyOutcome(write, revision, err)
}

// compareAndSwap sends a write to the store.
func (sc *Scheduler) compareAndSwap(ctx context.Context, write *PendingWrite) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.DurableWriteTimeout)
	defer cancel()
	return sc.Store.CompareAndSwap(ctx, write.Class, write.sortedCompares(), write.Operations)
}

// applyOutcome applies the outcome of a write and wakes the scheduler. It is one critical section,
// so that no pass sees a stored write that is neither in flight nor in the cache.
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
	for _, subject := range write.subjects {
		delete(sc.WritesInFlight, subject)
		sc.backOff(write, subject, err)
	}
	cluster.Wake(sc.PassWake)
}

// backOff sets how long a job waits after a write about it: not at all if the write was stored. The
// caller holds the lock.
func (sc *Scheduler) backOff(write *PendingWrite, jobID string, err error) {
	switch {
	case err == nil:
		delete(sc.BackoffUntil, jobID)
	case errors.Is(err, store.ErrMalformed):
		// The store would reject it again, so don't repeat it in every pass.
		sc.BackoffUntil[jobID] = sc.Now().Add(tuning.RetryCap)
		sc.Log.Error(logging.EventCompareAndSwapMalformed, logging.KeyKind, write.Kind, logging.KeyJob, jobID, logging.KeyError, err)
	default:
		sc.BackoffUntil[jobID] = sc.Now().Add(timing.Jitter(tuning.ConflictPause))
	}
}
