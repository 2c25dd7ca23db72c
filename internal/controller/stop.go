// This file stops a node cleanly, and tells whether its loops go on.

package controller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
)

// loop is one of the loops that a node can't do without.
type loop int

// Loops of a node.
const (
	passLoop loop = iota
	sessionLoop
	memberLoop
	loops
)

// String names the loop.
func (l loop) String() string { return [...]string{"passes", "session", "membership"}[l] }

// loopTimes are when each loop last went round.
type loopTimes [loops]atomic.Int64

// recordProgress notes that a loop goes round.
func (cs *clusterState) recordProgress(l loop) { cs.loopProgress[l].Store(cs.now().UnixNano()) }

// ErrStalled says that a loop of the node does not go round.
var ErrStalled = errors.New("loop stalled")

// Progress is nil while all loops of the node go round, and can take its lock.
func (n *Controller) Progress() error {
	for l := range loops {
		last := n.loopProgress[l].Load()
		if last == 0 {
			continue // not begun yet
		}
		if age := n.now().Sub(time.Unix(0, last)); age > tuning.StallAfter {
			return fmt.Errorf("%w: %s, for %v", ErrStalled, l, age.Round(time.Second))
		}
	}
	return nil
}

// Ready reports whether users are served.
func (n *Controller) Ready() bool { return n.healthy() }

// draining reports whether the node takes nothing new.
func (cs *clusterState) draining() bool { return cs.stopping.Load() }

// ErrWritesInFlight says that writes were still under way when the time for a clean
// stop was over.
var ErrWritesInFlight = errors.New("writes are under way")

// Drain stops the node cleanly: it takes nothing new, lets what is under way end,
// and ends its session, so that the other nodes take its machines, and the lead
// if it has it, at once instead of when its session runs out. What runs on the
// machines goes on. Whatever it can't end within ctx is settled as after a
// crash.
func (n *Controller) Drain(ctx context.Context) error {
	n.stopping.Store(true)
	left := 0
	for {
		if left = n.inFlight(); left == 0 || ctx.Err() != nil {
			break
		}
		sleep(ctx, tuning.ShutdownPoll)
	}
	n.mu.Lock()
	leaseID, session := n.self.Incarnation, n.session
	n.session = membership.NoLease // this node answers no report any more
	n.mu.Unlock()
	if session != membership.NoLease {
		end, stop := context.WithTimeout(context.Background(), tuning.StoreCallTimeout)
		defer stop()
		if err := n.store.RevokeLease(end, leaseID); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
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
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.api.submissionSlots) + len(n.api.intake) + len(n.scheduler.writesInFlight) + len(n.workers.callSlots)
}
