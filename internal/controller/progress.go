package controller

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

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
func (cs *clusterState) Progress() error {
	for l := range loops {
		last := cs.loopProgress[l].Load()
		if last == 0 {
			continue // not begun yet
		}
		if age := cs.now().Sub(time.Unix(0, last)); age > tuning.StallAfter {
			return fmt.Errorf("%w: %s, for %v", ErrStalled, l, age.Round(time.Second))
		}
	}
	return nil
}

// draining reports whether the node takes nothing new.
func (cs *clusterState) draining() bool { return cs.stopping.Load() }
