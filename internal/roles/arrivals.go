package roles

import (
	"time"

	"wheatspur/internal/tuning"
)

// arrival is the arrival of a service job.
type arrival struct {
	at   time.Time
	load float64 // requested, in machines
}

// arrivalLog holds the service arrivals of tuning.RoleLongWindow in order of time.
type arrivalLog []arrival

// add appends an arrival and removes those that are older than the long window.
func (a *arrivalLog) add(now time.Time, load float64) {
	*a = append(*a, arrival{at: now, load: load})
	expired := 0
	for expired < len(*a) && now.Sub((*a)[expired].at) > tuning.RoleLongWindow {
		expired++
	}
	*a = (*a)[expired:]
}

// loadWithin returns the total load and the number of the arrivals within the window before now.
func (a arrivalLog) loadWithin(now time.Time, window time.Duration) (load float64, count int) {
	for _, arrival := range a {
		if now.Sub(arrival.at) <= window {
			load += arrival.load
			count++
		}
	}
	return load, count
}

// countSince returns the number of arrivals at or after start.
func (a arrivalLog) countSince(start time.Time) int {
	count := 0
	for _, arrival := range a {
		if !arrival.at.Before(start) {
			count++
		}
	}
	return count
}
