package fake

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Link is the way from one client to a stand-in, and what fails on it.
type Link struct {
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// Faults are what fails on a link; the shares are of requests, from 0 to 1.
type Faults struct {
	Refuse bool          // requests get 503 and do nothing
	Cut    bool          // requests get no answer and do nothing
	Lost   float64       // they are carried out, and get no answer
	Late   float64       // they get no answer, and are carried out later
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

// fate is what becomes of one request.
type fate struct {
	refuse, cut, lost, late bool
	delay                   time.Duration
}

// next draws the fate of a request.
func (l *Link) next() fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	draw := l.random.Float64()
	f := l.faults
	return fate{refuse: f.Refuse, cut: f.Cut, lost: draw < f.Lost, late: draw >= f.Lost && draw < f.Lost+f.Late, delay: f.Delay}
}
