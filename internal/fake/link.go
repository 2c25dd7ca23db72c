package fake

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Link is the network path from one client to a fake, with the faults on it.
type Link struct {
	mu     sync.Mutex // guards the two below
	random *rand.Rand
	faults Faults
}

// Faults are the faults that a link injects; the shares are of requests, from 0 to
// 1.
type Faults struct {
	Refuse bool          // requests get 503 and do nothing
	Cut    bool          // requests get no answer and do nothing
	Lost   float64       // share that is carried out and gets no answer
	Late   float64       // share that gets no answer and is carried out later
	Delay  time.Duration // of every request
}

// NewLink returns a link without faults; the seed decides which requests fail.
func NewLink(seed uint64) *Link { return &Link{random: rand.New(rand.NewPCG(seed, 0))} }

// Set replaces the faults.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// requestFault is what a link injects into one request.
type requestFault struct {
	refuse, cut, lost, late bool
	delay                   time.Duration
}

// draw decides on the fault of the next request.
func (l *Link) draw() requestFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.random.Float64()
	return requestFault{
		refuse: l.faults.Refuse,
		cut:    l.faults.Cut,
		lost:   share < l.faults.Lost,
		late:   share >= l.faults.Lost && share < l.faults.Lost+l.faults.Late,
		delay:  l.faults.Delay,
	}
}
