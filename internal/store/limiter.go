package store

import (
	"context"
	"math"
	"sync"
	"time"
)

// Class orders calls that compete for the state service's budget.
type Class int

// Classes, most urgent first.
const (
	ClassLease   Class = iota // sessions, leadership, membership: never wait
	ClassCancel               // users' cancellations
	ClassClaim                // claims and releases
	ClassIntake               // submissions
	ClassRecords              // machine records and types, by the leader
	ClassRead                 // read barriers, watches
	classes
)

// Limiter shares a budget of requests and writes per second between classes.
// Each class has a small buffer; what does not fit is refused at once.
type Limiter struct {
	mu           sync.Mutex
	now          func() time.Time
	rate         [2]float64 // requests, writes per second
	tokens       [2]float64
	claimReserve float64 // changes kept for claims while submissions wait
	refilledAt   time.Time
	queues       [classes][]*waiter
	queueLimit   int
	pumping      bool
}

type waiter struct {
	cost      [2]float64
	ready     chan struct{}
	abandoned bool
}

// NewLimiter returns a limiter with a burst of one second's worth.
func NewLimiter(rps, wps float64, room int, now func() time.Time) *Limiter {
	l := &Limiter{now: now, queueLimit: room, refilledAt: now()}
	l.rate = [2]float64{rps, wps}
	l.tokens = l.rate
	return l
}

// SetRate changes the budget, for example when the number of nodes changes.
func (l *Limiter) SetRate(rps, wps float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.rate = [2]float64{rps, wps}
}

// EmptyBucket empties the bucket after the service has refused for rate.
func (l *Limiter) EmptyBucket() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	for i := range l.tokens {
		l.tokens[i] = min(l.tokens[i], 0)
	}
}

func (l *Limiter) refill() {
	now := l.now()
	dt := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	for i := range l.tokens {
		l.tokens[i] = min(l.tokens[i]+dt*l.rate[i], max(l.rate[i], 1))
	}
	l.claimReserve = min(l.claimReserve+dt*l.rate[1]/2, max(l.rate[1]/2, 1))
}

func (l *Limiter) affordable(cost [2]float64) bool {
	for i, c := range cost {
		// A call larger than the burst goes when the bucket is full.
		if c > 0 && l.tokens[i] < min(c, max(l.rate[i], 1)) {
			return false
		}
	}
	return true
}

func (l *Limiter) take(cost [2]float64) {
	for i, c := range cost {
		l.tokens[i] -= c
	}
}

// intakeBurst is the number of waiting submissions from which claims no longer
// leave them the reserve.
const intakeBurst = 3

// AvailableWrites is the number of changes that claims and releases may make now with
// little wait: what decides on the stored state asks before it decides, so
// that the decision is not old when it goes. A reserve is left to submissions,
// which then never wait behind claims; but while several submissions wait all
// the same, half of the budget is there for claims, or what is accepted would
// not run. So it is while machine records wait: hundreds in a row, after a
// wave of lost machines, kept the leader from storing a job's end for 15 s.
func (l *Limiter) AvailableWrites(reserve float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	if l.queuedUpTo(ClassClaim) > 0 {
		return 0
	}
	free := max(l.tokens[1]-reserve, 0)
	if len(l.queues[ClassIntake]) >= intakeBurst || len(l.queues[ClassRecords]) > 0 {
		free = max(free, math.Floor(l.claimReserve))
	}
	return free
}

// QueuedWrites is the number of changes that wait for the budget.
func (l *Limiter) QueuedWrites() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0.0
	for _, q := range l.queues {
		for _, w := range q {
			if !w.abandoned {
				n += w.cost[1]
			}
		}
	}
	return n
}

// Acquire waits for the budget of one request with the given writes.
func (l *Limiter) Acquire(ctx context.Context, c Class, writes int) error {
	cost := [2]float64{1, float64(writes)}
	l.mu.Lock()
	l.refill()
	if c == ClassClaim {
		l.claimReserve = max(l.claimReserve-cost[1], 0)
	}
	if c == ClassLease {
		// A session that waits is a session that ends: leases run into debt.
		l.take(cost)
		l.mu.Unlock()
		return nil
	}
	free := l.queuedUpTo(c) == 0
	if writes == 0 {
		free = len(l.queues[c]) == 0 // see grant
	}
	if free && l.affordable(cost) {
		l.take(cost)
		l.mu.Unlock()
		return nil
	}
	if len(l.queues[c]) >= l.queueLimit {
		l.mu.Unlock()
		return ErrQueueFull
	}
	w := &waiter{cost: cost, ready: make(chan struct{})}
	l.queues[c] = append(l.queues[c], w)
	if !l.pumping {
		l.pumping = true
		go l.pump()
	}
	l.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		w.abandoned = true
		l.mu.Unlock()
		return ctx.Err()
	}
}

func (l *Limiter) queuedUpTo(c Class) int {
	n := 0
	for i := Class(0); i <= c; i++ {
		n += len(l.queues[i])
	}
	return n
}

// pump grants waiters in order of class until none is left.
func (l *Limiter) pump() {
	for {
		l.mu.Lock()
		l.refill()
		l.grant()
		if l.queuedUpTo(classes-1) == 0 {
			l.pumping = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// grant lets waiters go in order of class. What only reads does not wait for
// changes that wait for their budget. Guards against a node that holds that it
// has lost the state service because many submissions wait.
func (l *Limiter) grant() {
	full := false // the budget of changes is spent
	for c := range l.queues {
		for len(l.queues[c]) > 0 {
			w := l.queues[c][0]
			if !w.abandoned {
				if full && w.cost[1] > 0 {
					break
				}
				if !l.affordable(w.cost) {
					if w.cost[1] == 0 || !l.affordable([2]float64{w.cost[0]}) {
						return // no request can go
					}
					full = true
					break
				}
				l.take(w.cost)
				close(w.ready)
			}
			l.queues[c] = l.queues[c][1:]
		}
	}
}
