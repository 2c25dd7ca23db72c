// Package election maintains the controller's session, acquires the leadership, writes the
// membership, and stores whether workers reach the controller. Package membership decides
// what to write.
package election

import (
	"context"
	"errors"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Election maintains this controller's session, acquires the leadership and writes the
// membership.
type Election struct {
	*cluster.State
	*fleet.Fleet

	unreachableSince time.Time // when this controller decided to store that no worker reaches it
	probes           []string  // addresses of the workers to probe since then; the slice is replaced, never modified
	probeAnsweredAt  time.Time // when a probed worker last answered; zero if none has
}

// New returns the Election of a controller that has no session yet.
func New(state *cluster.State, fleet *fleet.Fleet) *Election {
	return &Election{State: state, Fleet: fleet}
}

// RunMembership runs membership steps until ctx ends: shortly after a change of the stored
// state, and otherwise at regular intervals. It takes the lock.
func (el *Election) RunMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		el.RecordProgress(cluster.MembershipLoop)
		if leaseID, ready := el.readyForStep(); ready {
			el.tryMembershipStep(ctx, leaseID)
		}
		select {
		case <-ctx.Done():
		case <-el.MembershipWake:
			timing.Sleep(ctx, tuning.MembershipCheckPause)
		case <-time.After(tuning.MembershipCheckEvery):
		}
	}
	return nil
}

// readyForStep reports whether this controller has the lease and the consistent cache that a
// membership step needs, and returns the ID of the lease. It takes the lock.
func (el *Election) readyForStep() (leaseID uint64, ready bool) {
	el.Lock()
	defer el.Unlock()
	return el.Self.Incarnation, el.Session != membership.NoLease && el.Cache.Consistent()
}

// tryMembershipStep runs a membership step under a lease. If the step fails, it reads what is
// stored now, so that the next step starts from that. It takes the lock.
func (el *Election) tryMembershipStep(ctx context.Context, leaseID uint64) {
	err := el.MembershipStep(ctx)
	if err == nil {
		return
	}
	el.Log.Debug(logging.EventMembershipStepFailed, logging.KeyError, err)
	if errors.Is(err, store.ErrLeaseExpired) {
		el.ExpireSession(leaseID)
		return
	}
	// A failed barrier needs no handling: the next step then fails like this one.
	_ = el.Syncer.ReadBarrier(tuning.BarrierWait)
}

// MembershipStep makes the first of these writes that is due, if any: it stores this
// controller's session, stores whether workers reach it, acquires the leadership, or writes
// the membership. It takes the lock.
func (el *Election) MembershipStep(ctx context.Context) error {
	write, self := el.planWrite()
	if write == nil {
		return nil
	}
	revision, err := el.Store.CompareAndSwap(ctx, store.ClassLease, write.compares, []wire.Operation{write.operation})
	if err != nil {
		return err
	}
	if write.changesReachability {
		// Logged only after the write, because a controller that is cut off from the store
		// retries it many times.
		el.Log.Info(logging.EventControllerReachabilityChanged, logging.KeyUnreachable, write.operation.Put != "")
	}
	el.applyMembershipWrite(write, revision, self)
	return nil
}

// planWrite chooses the next write, and returns it with the incarnation for which it was
// chosen. It takes the lock.
func (el *Election) planWrite() (*membershipWrite, membership.Controller) {
	el.Lock()
	defer el.Unlock()
	return el.nextMembershipWrite(), el.Self
}

// applyMembershipWrite applies a write that was chosen for the incarnation self and stored at
// a revision. It takes the lock.
func (el *Election) applyMembershipWrite(write *membershipWrite, revision uint64, self membership.Controller) {
	key := write.operation.Put
	el.Lock()
	defer el.Unlock()
	if key != membership.RecordKey {
		// The membership record is applied by the watch only, because everything that was
		// stored before it must be in the cache before it takes effect.
		el.Cache.ApplyOwnWrite([]wire.Operation{write.operation}, revision)
	}
	if key == membership.SessionKey(el.Self.Label) && self == el.Self {
		el.Session = el.Session.Next(membership.SessionStored)
	}
	cluster.Wake(el.MembershipWake)
}
