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

// RunSession keeps this node's lease in the state service, and does nothing
// else: a write of the membership that waits, or a busy processor, must not cost
// the session.
func (el *Election) RunSession(ctx context.Context) error {
	var due time.Time // of the next renewal
	for ctx.Err() == nil {
		el.RecordProgress(cluster.SessionLoop)
		el.Lock()
		state, leaseID := el.Session, el.Self.Incarnation
		el.Unlock()
		if state == membership.NoLease {
			if el.Draining() {
				return nil // ended for good
			}
			el.OpenSession(ctx)
			due = el.Now().Add(tuning.SessionRenewEvery)
			continue
		}
		timing.Sleep(ctx, max(due.Sub(el.Now()), time.Millisecond))
		due = el.Now().Add(tuning.SessionRenewEvery)
		if err := el.Store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrLeaseExpired) {
			el.EndSession(leaseID)
		} else if err != nil {
			el.Log.Debug(logging.EventSessionRenewalFailed, logging.KeyError, err)
			due = el.Now().Add(tuning.RetryPause)
		}
	}
	return nil
}

// OpenSession asks for a lease, once.
func (el *Election) OpenSession(ctx context.Context) {
	id, err := el.Store.GrantLease(ctx, tuning.SessionTTL)
	if err != nil {
		el.Log.Info(logging.EventLeaseNotGranted, logging.KeyError, err)
		timing.Sleep(ctx, tuning.RetryPause)
		return
	}
	el.Lock()
	defer el.Unlock()
	el.Self.Incarnation = id
	el.Session = el.Session.Next(membership.LeaseGranted)
	cluster.Wake(el.MembershipWake)
}

// EndSession notes that a lease has ended, unless another has been got since.
func (el *Election) EndSession(leaseID uint64) {
	el.Lock()
	defer el.Unlock()
	if el.Self.Incarnation != leaseID || el.Session == membership.NoLease {
		return
	}
	el.Session = el.Session.Next(membership.LeaseExpired)
	el.Log.Info(logging.EventSessionExpired)
}
