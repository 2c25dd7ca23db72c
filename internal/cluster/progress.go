package cluster

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"wheatspur/internal/tuning"
)

// loop is one of the loops that a controller can't do without.
type loop int

// Loops of a controller whose progress is watched.
const (
	PassLoop       loop = iota // the scheduler's passes
	SessionLoop                // renewals of the session's lease
	MembershipLoop             // steps of the election and the membership
	Loops                      // the number of loops
)

// String returns the name of the loop in errors.
func (l loop) String() string { return [...]string{"passes", "session", "membership"}[l] }

// loopTimes are the times at which each loop last began a round, in nanoseconds of
// the Unix epoch; 0 before its first.
type loopTimes [Loops]atomic.Int64

// ErrStalled says that a loop of the controller makes no progress.
var ErrStalled = errors.New("loop stalled")

// RecordProgress notes that a loop begins a round. The lock is not needed.
func (cs *State) RecordProgress(l loop) { cs.loopProgress[l].Store(cs.Now().UnixNano()) }

// Progress returns nil while all loops that have begun make progress, else an error
// that wraps ErrStalled. It takes no lock, so that it also tells of loops that wait
// for the lock.
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

// Draining reports whether the controller accepts nothing new, since it stops. The
// lock is not needed.
func (cs *State) Draining() bool { return cs.Stopping.Load() }
