package election

import (
	"context"
	"errors"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// RunSession acquires and renews this controller's lease in the store until ctx ends or the
// controller drains. It does nothing else, so that neither a blocked write of the membership
// nor a busy CPU costs the session. It takes the lock.
func (el *Election) RunSession(ctx context.Context) error {
	var renewalDue time.Time
	for ctx.Err() == nil {
		el.RecordProgress(cluster.SessionLoop)
		state, leaseID := el.currentSession()
		if state != membership.NoLease {
			timing.Sleep(ctx, max(renewalDue.Sub(el.Now()), tuning.MinRenewPause))
			renewalDue = el.renewSession(ctx, leaseID)
			continue
		}
		if el.IsStopping() {
			return nil // the session has ended for good
		}
		el.AcquireLease(ctx)
		renewalDue = el.Now().Add(tuning.SessionRenewEvery)
	}
	return nil
}

// currentSession returns the state of this controller's session and the ID of its lease. It
// takes the lock.
func (el *Election) currentSession() (state membership.SessionState, leaseID uint64) {
	el.Lock()
	defer el.Unlock()
	return el.Session, el.Self.Incarnation
}

// renewSession tries once to renew the lease, and returns when the next renewal is due. It
// takes the lock.
func (el *Election) renewSession(ctx context.Context, leaseID uint64) (due time.Time) {
	due = el.Now().Add(tuning.SessionRenewEvery)
	if err := el.Store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrLeaseExpired) {
		el.ExpireSession(leaseID)
	} else if err != nil {
		el.Log.Debug(logging.EventSessionRenewalFailed, logging.KeyError, err)
		due = el.Now().Add(tuning.RetryPause)
	}
	return due
}

// AcquireLease requests a lease once, and pauses if none is granted. It takes the lock.
func (el *Election) AcquireLease(ctx context.Context) {
	leaseID, err := el.Store.GrantLease(ctx, tuning.SessionTTL)
	if err != nil {
		el.Log.Info(logging.EventSessionLeaseNotGranted, logging.KeyError, err)
		timing.Sleep(ctx, tuning.RetryPause)
		return
	}
	el.Lock()
	defer el.Unlock()
	el.Self.Incarnation = leaseID
	el.Session = el.Session.Next(membership.LeaseGranted)
	cluster.Wake(el.MembershipWake)
}

// ExpireSession ends the session whose lease has expired, unless another lease has been granted
// since. It takes the lock.
func (el *Election) ExpireSession(leaseID uint64) {
	el.Lock()
	defer el.Unlock()
	if el.Self.Incarnation != leaseID || el.Session == membership.NoLease {
		return
	}
	el.Session = el.Session.Next(membership.LeaseExpired)
	el.Log.Info(logging.EventSessionExpired)
}
