// Package election keeps the controller's session, takes the leadership, writes the
// membership, and stores whether workers reach the controller. What to write is decided
// by package membership.
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

// Election keeps this controller's session, takes the leadership and writes the
// membership.
type Election struct {
	*cluster.State
	*fleet.Fleet

	unreachableSince time.Time // when this controller chose to store that no worker reaches it
	probes           []string  // addresses of the workers to ask since then; replaced, never changed
	probeAnsweredAt  time.Time // when one of them last answered; zero: none has
}

// New returns the election of a controller that has no session yet.
func New(state *cluster.State, fleet *fleet.Fleet) *Election {
	return &Election{State: state, Fleet: fleet}
}

// RunMembership takes one step of the membership after the other until ctx ends: at
// once when what is stored about it changes, else every so often. It takes the lock.
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

// readyForStep reports whether this controller has a lease and a consistent cache, as
// a step of the membership needs, and returns the lease. It takes the lock.
func (el *Election) readyForStep() (leaseID uint64, ready bool) {
	el.Lock()
	defer el.Unlock()
	return el.Self.Incarnation, el.Session != membership.NoLease && el.Cache.Consistent()
}

// tryMembershipStep takes a step of the membership with a lease. After a failure it
// reads what is stored now, so that the next step starts from that. It takes the lock.
func (el *Election) tryMembershipStep(ctx context.Context, leaseID uint64) {
	err := el.MembershipStep(ctx)
	if err == nil {
		return
	}
	el.Log.Debug(logging.EventMembershipStepFailed, logging.KeyError, err)
	if errors.Is(err, store.ErrLeaseExpired) {
		el.EndSession(leaseID)
		return
	}
	// A barrier that fails changes nothing: the next step then fails like this one.
	_ = el.Syncer.ReadBarrier(tuning.BarrierWait)
}

// MembershipStep stores this controller's session or whether workers reach it, takes
// the leadership or writes the membership: the first of these that is due, if any. It
// takes the lock.
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
		// Not before: a controller that is cut off tries again and again.
		el.Log.Info(logging.EventReachabilityChanged, logging.KeyUnreachable, write.operation.Put != "")
	}
	el.applyMembershipWrite(write, revision, self)
	return nil
}

// planWrite chooses the next write, and returns it with the session that it was chosen
// for. It takes the lock.
func (el *Election) planWrite() (*membershipWrite, membership.Node) {
	el.Lock()
	defer el.Unlock()
	return el.nextMembershipWrite(), el.Self
}

// applyMembershipWrite enters a write that was chosen for the session of self and
// stored at a revision. It takes the lock.
func (el *Election) applyMembershipWrite(write *membershipWrite, revision uint64, self membership.Node) {
	key := write.operation.Put
	el.Lock()
	defer el.Unlock()
	if key != membership.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		el.Cache.ApplyOwnWrite([]wire.Operation{write.operation}, revision)
	}
	if key == membership.SessionKey(el.Self.Label) && self == el.Self {
		el.Session = el.Session.Next(membership.SessionStored)
	}
	cluster.Wake(el.MembershipWake)
}
