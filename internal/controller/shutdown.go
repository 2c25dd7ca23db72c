package controller

import (
	"context"
	"errors"
	"fmt"

	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// ErrOperationsInFlight is returned by Drain if operations were still in flight when its context
// ended.
var ErrOperationsInFlight = errors.New("writes still in flight")

// Drain shuts the controller down gracefully: it rejects new requests, waits for operations in
// flight and revokes the session lease. The other controllers then take over its machines, and its
// leadership if it is the leader, at once instead of after the session expires. Tasks on the
// machines keep running. Operations that do not finish before ctx ends are reconciled by the other
// controllers, as after a crash.
func (c *Controller) Drain(ctx context.Context) error {
	c.Stopping.Store(true)
	remaining := c.awaitInFlight(ctx)
	if err := c.revokeSession(); err != nil {
		return fmt.Errorf("session not revoked and left to expire: %w", err)
	}
	if remaining > 0 {
		return fmt.Errorf("%w: %d", ErrOperationsInFlight, remaining)
	}
	return nil
}

// awaitInFlight waits until no operation is in flight or ctx ends, and returns the number of
// operations still in flight.
func (c *Controller) awaitInFlight(ctx context.Context) int {
	for {
		remaining := c.inFlight()
		if remaining == 0 || ctx.Err() != nil {
			return remaining
		}
		timing.Sleep(ctx, tuning.ShutdownPoll)
	}
}

// inFlight returns the number of submissions, scheduler writes and direct calls to workers that
// have not finished.
func (c *Controller) inFlight() int {
	c.Lock()
	defer c.Unlock()
	return len(c.api.SubmissionSlots) + len(c.api.SubmissionQueue) + len(c.scheduler.WritesInFlight) + len(c.Workers.CallSlots)
}

// revokeSession ends this controller's session, if it has one, and revokes its lease. From then on
// the controller accepts no heartbeats.
func (c *Controller) revokeSession() error {
	leaseID, session := c.leaveSession()
	if session == membership.NoLease {
		return nil
	}
	// The context of Drain may already have ended; the session is revoked in any case.
	ctx, cancel := context.WithTimeout(context.Background(), tuning.StoreCallTimeout)
	defer cancel()
	if err := c.Store.RevokeLease(ctx, leaseID); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		return err
	}
	return nil
}

// leaveSession sets the session state to NoLease and returns the previous lease and state.
func (c *Controller) leaveSession() (leaseID uint64, previous membership.SessionState) {
	c.Lock()
	defer c.Unlock()
	leaseID, previous = c.Self.Incarnation, c.Session
	c.Session = membership.NoLease
	return leaseID, previous
}
