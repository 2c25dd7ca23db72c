package cluster

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"wheatspur/internal/tuning"
)

// loop identifies one of the loops that a controller needs in order to work.
type loop int

// Loops whose progress is monitored.
const (
	PassLoop       loop = iota // scheduler passes
	SessionLoop                // renewals of the session lease
	MembershipLoop             // steps of the leader election and the membership
	LoopCount                  // the number of loops
)

// String returns the name that error messages use for the loop.
func (l loop) String() string { return [...]string{"passes", "session", "membership"}[l] }

// loopTimes holds the time at which each loop last began an iteration, in nanoseconds since the
// Unix epoch; 0 before the first iteration.
type loopTimes [LoopCount]atomic.Int64

// ErrStalled is returned if a loop of the controller makes no progress.
var ErrStalled = errors.New("loop stalled")

// RecordProgress records that a loop begins an iteration. The lock is not needed.
func (cs *State) RecordProgress(l loop) { cs.loopProgress[l].Store(cs.Now().UnixNano()) }

// CheckProgress returns nil while all loops that have begun make progress, and otherwise an error
// that wraps ErrStalled. It takes no lock, so that it also detects loops that are blocked on
// the lock.
func (cs *State) CheckProgress() error {
	for l := range LoopCount {
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

// IsStopping reports whether the controller is stopping and accepts nothing new. The lock is not
// needed.
func (cs *State) IsStopping() bool { return cs.Stopping.Load() }
