// This file stops the controller cleanly.

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

// ErrWritesInFlight says that writes were still under way when the time for a clean
// stop was over.
var ErrWritesInFlight = errors.New("writes are under way")

// Drain stops the controller cleanly: it takes nothing new, lets what is under way
// end, and ends its session, so that the others take over its machines, and the
// leadership if it has it, at once instead of when its session expires. What runs on
// the machines goes on. What is not ended within ctx is reconciled as after a crash.
func (c *Controller) Drain(ctx context.Context) error {
	c.Stopping.Store(true)
	left := c.awaitInFlight(ctx)
	if err := c.revokeSession(); err != nil {
		return fmt.Errorf("session not ended, it runs out by itself: %w", err)
	}
	if left > 0 {
		return fmt.Errorf("%w: %d", ErrWritesInFlight, left)
	}
	return nil
}

// awaitInFlight waits for what is in flight to end, or for ctx, and returns how much
// is left.
func (c *Controller) awaitInFlight(ctx context.Context) int {
	for {
		left := c.inFlight()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		timing.Sleep(ctx, tuning.ShutdownPoll)
	}
}

// inFlight counts the submissions, decision writes and direct calls that have not
// ended.
func (c *Controller) inFlight() int {
	c.Lock()
	defer c.Unlock()
	return len(c.api.SubmissionSlots) + len(c.api.SubmissionQueue) + len(c.scheduler.WritesInFlight) + len(c.Workers.CallSlots)
}

// revokeSession ends this controller's session, if it has one. From then on it answers
// no heartbeat.
func (c *Controller) revokeSession() error {
	leaseID, session := c.leaveSession()
	if session == membership.NoLease {
		return nil
	}
	// Not the context of Drain, which may be over: the session is ended in any case.
	ctx, stop := context.WithTimeout(context.Background(), tuning.StoreCallTimeout)
	defer stop()
	if err := c.Store.RevokeLease(ctx, leaseID); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		return err
	}
	return nil
}

// leaveSession sets the session's state to that without a lease, and returns the lease
// and the state that it had.
func (c *Controller) leaveSession() (leaseID uint64, was membership.SessionState) {
	c.Lock()
	defer c.Unlock()
	leaseID, was = c.Self.Incarnation, c.Session
	c.Session = membership.NoLease
	return leaseID, was
}
