package fake

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Link is the network path from one client to a fake. It injects faults into requests.
type Link struct {
	mu     sync.Mutex // guards the two below
	random *rand.Rand
	faults Faults
}

// Faults configures the faults that a link injects. LostShare and LateShare are shares of the
// requests, from 0 to 1.
type Faults struct {
	Reject    bool          // requests are not carried out and get status 503, or no response on a Machine's link
	Cut       bool          // requests are not carried out and get no response
	LostShare float64       // share of requests that are carried out but get no response
	LateShare float64       // share of requests that get no response and are carried out later
	Delay     time.Duration // added to every request
}

// NewLink returns a link without faults; the seed decides which requests fail.
func NewLink(seed uint64) *Link { return &Link{random: rand.New(rand.NewPCG(seed, 0))} }

// SetFaults replaces the faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// requestFault is the set of faults that a link injects into one request.
type requestFault struct {
	refuse, cut, lost, late bool
	delay                   time.Duration
}

// nextFault returns the faults of the next request, chosen at random by the configured shares.
func (l *Link) nextFault() requestFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	sample := l.random.Float64()
	return requestFault{
		refuse: l.faults.Reject,
		cut:    l.faults.Cut,
		lost:   sample < l.faults.LostShare,
		late:   sample >= l.faults.LostShare && sample < l.faults.LostShare+l.faults.LateShare,
		delay:  l.faults.Delay,
	}
}
