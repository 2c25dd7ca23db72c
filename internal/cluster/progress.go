package cluster

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
	PassLoop loop = iota
	SessionLoop
	MemberLoop
	Loops
)

// String names the loop.
func (l loop) String() string { return [...]string{"passes", "session", "membership"}[l] }

// loopTimes are when each loop last went round.
type loopTimes [Loops]atomic.Int64

// RecordProgress notes that a loop goes round.
func (cs *State) RecordProgress(l loop) { cs.loopProgress[l].Store(cs.Now().UnixNano()) }

// ErrStalled says that a loop of the node does not go round.
var ErrStalled = errors.New("loop stalled")

// Progress is nil while all loops of the node go round, and can take its lock.
func (cs *State) Progress() error {
	for l := range Loops {
		last := cs.loopProgress[l].Load()
		if last == 0 {
			continue // not begun yet
		}
		if age := cs.Now().Sub(time.Unix(0, last)); age > tuning.StallAfter {
			return fmt.Errorf("%w: %s, for %v", ErrStalled, l, age.Round(time.Second))
		}
	}
	return nil
}

// Draining reports whether the node takes nothing new.
func (cs *State) Draining() bool { return cs.Stopping.Load() }
