// This file stops a node cleanly, and tells whether its loops go on.

package server

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"wheatspur/internal/member"
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

// heartbeats are when each loop last went round.
type heartbeats [loops]atomic.Int64

// beat notes that a loop goes round.
func (n *Node) beat(l loop) { n.beats[l].Store(n.now().UnixNano()) }

// ErrStalled says that a loop of the node does not go round.
var ErrStalled = errors.New("loop stalled")

// Progress is nil while all loops of the node go round, and can take its lock.
func (n *Node) Progress() error {
	for l := range loops {
		last := n.beats[l].Load()
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
func (n *Node) Ready() bool { return n.healthy() }

// draining reports whether the node takes nothing new.
func (n *Node) draining() bool { return n.stopping.Load() }

// ErrUnderWay says that writes were still under way when the time for a clean
// stop was over.
var ErrUnderWay = errors.New("writes are under way")

// Drain stops the node cleanly: it takes nothing new, lets what is under way end,
// and ends its session, so that the other nodes take its machines, and the lead
// if it has it, at once instead of when its session runs out. What runs on the
// machines goes on. Whatever it can't end within ctx is settled as after a
// crash.
func (n *Node) Drain(ctx context.Context) error {
	n.stopping.Store(true)
	left := 0
	for {
		if left = n.underWay(); left == 0 || ctx.Err() != nil {
			break
		}
		sleep(ctx, tuning.ShutdownPoll)
	}
	n.mu.Lock()
	leaseID, session := n.self.Incarnation, n.session
	n.session = member.NoLease // this node answers no report any more
	n.mu.Unlock()
	if session != member.NoLease {
		end, stop := context.WithTimeout(context.Background(), tuning.StoreCallTimeout)
		defer stop()
		if err := n.svc.RevokeLease(end, leaseID); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
			return fmt.Errorf("session not ended, it runs out by itself: %w", err)
		}
	}
	if left > 0 {
		return fmt.Errorf("%w: %d", ErrUnderWay, left)
	}
	return nil
}

// underWay counts the submissions, decision writes and direct calls that have not
// ended.
func (n *Node) underWay() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.takes) + len(n.intake) + len(n.busyJob) + len(n.calls)
}
