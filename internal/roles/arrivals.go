package roles

import (
	"time"

	"wheatspur/internal/tuning"
)

// arrival is a service job that came, and the load that it asks for, in machines.
type arrival struct {
	at   time.Time
	load float64
}

// arrivalLog is the service arrivals of the long window, by time.
type arrivalLog []arrival

// add notes an arrival and drops those that are older than the long window.
func (a *arrivalLog) add(now time.Time, load float64) {
	*a = append(*a, arrival{at: now, load: load})
	expired := 0
	for expired < len(*a) && now.Sub((*a)[expired].at) > tuning.RoleLongWindow {
		expired++
	}
	*a = (*a)[expired:]
}

// loadWithin is the load that came in the last window of time, and the number of its
// arrivals.
func (a arrivalLog) loadWithin(now time.Time, window time.Duration) (load float64, count int) {
	for _, arrival := range a {
		if now.Sub(arrival.at) <= window {
			load += arrival.load
			count++
		}
	}
	return load, count
}

// countSince is the number of arrivals at or after a time.
func (a arrivalLog) countSince(start time.Time) int {
	count := 0
	for _, arrival := range a {
		if !arrival.at.Before(start) {
			count++
		}
	}
	return count
}
