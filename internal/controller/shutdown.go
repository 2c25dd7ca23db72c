// This file stops a node cleanly, and tells whether its loops go on.

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

// Ready reports whether users are served.
func (n *Controller) Ready() bool { return n.healthy() }

// ErrWritesInFlight says that writes were still under way when the time for a clean
// stop was over.
var ErrWritesInFlight = errors.New("writes are under way")

// Drain stops the node cleanly: it takes nothing new, lets what is under way end,
// and ends its session, so that the other nodes take its machines, and the lead
// if it has it, at once instead of when its session runs out. What runs on the
// machines goes on. Whatever it can't end within ctx is settled as after a
// crash.
func (n *Controller) Drain(ctx context.Context) error {
	n.Stopping.Store(true)
	left := 0
	for {
		if left = n.inFlight(); left == 0 || ctx.Err() != nil {
			break
		}
		timing.Sleep(ctx, tuning.ShutdownPoll)
	}
	n.Lock()
	leaseID, session := n.Self.Incarnation, n.Session
	n.Session = membership.NoLease // this node answers no report any more
	n.Unlock()
	if session != membership.NoLease {
		end, stop := context.WithTimeout(context.Background(), tuning.StoreCallTimeout)
		defer stop()
		if err := n.Store.RevokeLease(end, leaseID); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
			return fmt.Errorf("session not ended, it runs out by itself: %w", err)
		}
	}
	if left > 0 {
		return fmt.Errorf("%w: %d", ErrWritesInFlight, left)
	}
	return nil
}

// inFlight counts the submissions, decision writes and direct calls that have not
// ended.
func (n *Controller) inFlight() int {
	n.Lock()
	defer n.Unlock()
	return len(n.api.SubmissionSlots) + len(n.api.Intake) + len(n.scheduler.WritesInFlight) + len(n.Workers.CallSlots)
}
