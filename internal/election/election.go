// Package election keeps the controller's session, takes the leadership and writes
// the membership. What to write is decided by package membership.
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

	probes           []string  // workers' addresses to ask while this controller is unreachable
	probeAnsweredAt  time.Time // when one of them last answered
	unreachableSince time.Time
}

func New(state *cluster.State, fleet *fleet.Fleet) *Election {
	return &Election{State: state, Fleet: fleet}
}

// RunMembership stores the session's key, and takes part in the leadership and the
// membership.
func (el *Election) RunMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		el.RecordProgress(cluster.MemberLoop)
		el.Lock()
		leaseID := el.Self.Incarnation
		ready := el.Session != membership.NoLease && el.Cache.Consistent()
		el.Unlock()
		if ready {
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

// tryMembershipStep takes a step of the membership. Before the next one after a
// failure, what is stored now is read.
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
	_ = el.Syncer.ReadBarrier(tuning.BarrierWait)
}

// MembershipStep stores the session key, takes the lead or writes the membership.
func (el *Election) MembershipStep(ctx context.Context) error {
	el.Lock()
	write, self := el.nextMembershipWrite(), el.Self
	el.Unlock()
	if write == nil {
		return nil
	}
	changes := []wire.Operation{write.operation}
	revision, err := el.Store.CompareAndSwap(ctx, store.ClassLease, write.compares, changes)
	if err != nil {
		return err
	}
	if write.reachability {
		// Not before: a node that is cut off tries again and again.
		el.Log.Info(logging.EventReachabilityChanged, logging.KeyUnreachable, write.operation.Put != "")
	}
	el.Lock()
	defer el.Unlock()
	if write.operation.Put != membership.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		el.Cache.ApplyOwnWrite(changes, revision)
	}
	if write.operation.Put == membership.SessionKey(el.Self.Label) && self == el.Self {
		el.Session = el.Session.Next(membership.SessionStored)
	}
	cluster.Wake(el.MembershipWake)
	return nil
}
