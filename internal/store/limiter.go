package store

import (
	"context"
	"math"
	"sync"
	"time"
)

// Class orders calls that compete for the store's budget.
type Class int

// Classes, most urgent first.
const (
	ClassLease   Class = iota // sessions, leader, membership: never wait
	ClassCancel               // users' cancellations
	ClassClaim                // claims and releases
	ClassIntake               // submissions
	ClassRecords              // machine records and types, by the leader
	ClassRead                 // read barriers, watches, full reads
	classCount
)

// grantInterval is the pause between two looks at the budget while calls wait.
const grantInterval = 10 * time.Millisecond

// submissionBacklog is the number of waiting submissions from which claims no longer
// leave them the reserve.
const submissionBacklog = 3

// budget is a number of requests and of writes: a rate, what the bucket holds, or the
// cost of a call.
type budget struct {
	requests, writes float64
}

// burst is the most that the bucket holds if the budget is its rate: one second's worth, and enough
// for one request with one write.
func (b budget) burst() budget {
	return budget{requests: max(b.requests, 1), writes: max(b.writes, 1)}
}

// Limiter shares a budget of requests and writes per second between the classes of
// calls. It is a token bucket with a short queue for each class; a call that finds
// its queue full is refused at once.
type Limiter struct {
	mu         sync.Mutex // guards all below
	now        func() time.Time
	rate       budget // per second
	tokens     budget // what the bucket holds; below 0 after calls that may not wait
	refilledAt time.Time
	// claimReserve is the number of writes that claims and releases may make though
	// submissions or machine records wait; it grows at half the rate of writes.
	claimReserve float64
	queues       [classCount][]*waiter
	queueLimit   int
	pumping      bool // the goroutine of pump runs
}

// waiter is a call in a queue. Its call has left it behind once it is abandoned; it
// stays in the queue until grant comes to it.
type waiter struct {
	cost      budget
	granted   chan struct{} // closed when the call may go
	abandoned bool
}

// NewLimiter returns a limiter with a full bucket of one second's worth. queueLimit
// bounds the calls that wait in each class.
func NewLimiter(requestsPerSecond, writesPerSecond float64, queueLimit int, now func() time.Time) *Limiter {
	rate := budget{requests: requestsPerSecond, writes: writesPerSecond}
	return &Limiter{now: now, rate: rate, tokens: rate, refilledAt: now(), queueLimit: queueLimit}
}

// SetRate changes the budget, for example when the number of controllers changes.
func (l *Limiter) SetRate(requestsPerSecond, writesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.rate = budget{requests: requestsPerSecond, writes: writesPerSecond}
}

// EmptyBucket empties the bucket, after the store has rejected a call for its rate.
func (l *Limiter) EmptyBucket() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.tokens.requests = min(l.tokens.requests, 0)
	l.tokens.writes = min(l.tokens.writes, 0)
}

// refill adds what the rate has brought since the last refill; mu is held.
func (l *Limiter) refill() {
	now := l.now()
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	burst := l.rate.burst()
	l.tokens.requests = min(l.tokens.requests+elapsed*l.rate.requests, burst.requests)
	l.tokens.writes = min(l.tokens.writes+elapsed*l.rate.writes, burst.writes)
	l.claimReserve = min(l.claimReserve+elapsed*l.rate.writes/2, max(l.rate.writes/2, 1))
}

// affordable reports whether the bucket covers the cost; mu is held.
func (l *Limiter) affordable(cost budget) bool {
	burst := l.rate.burst()
	return covers(l.tokens.requests, cost.requests, burst.requests) && covers(l.tokens.writes, cost.writes, burst.writes)
}

// covers reports whether tokens cover a cost. A call larger than the burst goes when the
// bucket is full.
func covers(tokens, cost, burst float64) bool {
	return cost <= 0 || tokens >= min(cost, burst)
}

// take removes the cost from the bucket; mu is held.
func (l *Limiter) take(cost budget) {
	l.tokens.requests -= cost.requests
	l.tokens.writes -= cost.writes
}

// AvailableWrites is the number of writes that claims and releases may make now with
// little wait. Who decides on the stored state asks before deciding, so that the
// decision is not stale when it is written. A reserve is left to submissions, which
// then never wait behind claims; but while several submissions wait all the same,
// half of the budget is there for claims, or what is accepted would not run. So
// it is while machine records wait: hundreds in a row, after many machines were
// lost at once, kept the leader from storing a job's end for 15 s.
func (l *Limiter) AvailableWrites(reserve float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	if l.queuedUpTo(ClassClaim) > 0 {
		return 0
	}
	available := max(l.tokens.writes-reserve, 0)
	if len(l.queues[ClassIntake]) >= submissionBacklog || len(l.queues[ClassRecords]) > 0 {
		available = max(available, math.Floor(l.claimReserve))
	}
	return available
}

// QueuedWrites is the number of writes that wait for the budget.
func (l *Limiter) QueuedWrites() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	queued := 0.0
	for _, queue := range l.queues {
		for _, w := range queue {
			if !w.abandoned {
				queued += w.cost.writes
			}
		}
	}
	return queued
}

// Acquire waits for the budget of one request with the given writes. It returns
// ErrQueueFull at once if too many calls of the class wait, and the context's error
// if that ends first.
func (l *Limiter) Acquire(ctx context.Context, class Class, writes int) error {
	w, err := l.takeOrQueue(class, budget{requests: 1, writes: float64(writes)})
	if w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		l.abandon(w)
		return ctx.Err()
	}
}

// takeOrQueue takes the cost of a call if it may go now; else it returns the waiter
// that it has queued for it.
func (l *Limiter) takeOrQueue(class Class, cost budget) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	if class == ClassClaim {
		l.claimReserve = max(l.claimReserve-cost.writes, 0)
	}
	// A session whose renewal waits is a session that expires: leases run into debt.
	if class == ClassLease || l.isNext(class, cost) && l.affordable(cost) {
		l.take(cost)
		return nil, nil
	}
	if len(l.queues[class]) >= l.queueLimit {
		return nil, ErrQueueFull
	}
	w := &waiter{cost: cost, granted: make(chan struct{})}
	l.queues[class] = append(l.queues[class], w)
	if !l.pumping {
		l.pumping = true
		go l.pump()
	}
	return w, nil
}

// isNext reports whether no call waits that goes before a new one. What only reads goes
// before the writes that wait; see grant. mu is held.
func (l *Limiter) isNext(class Class, cost budget) bool {
	if cost.writes == 0 {
		return len(l.queues[class]) == 0
	}
	return l.queuedUpTo(class) == 0
}

func (l *Limiter) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.abandoned = true
}

// queuedUpTo is the number of calls that wait in the class and in more urgent ones; mu
// is held.
func (l *Limiter) queuedUpTo(class Class) int {
	queued := 0
	for _, queue := range l.queues[:class+1] {
		queued += len(queue)
	}
	return queued
}

// pump grants waiters until none is left. It is the limiter's one goroutine, which
// nobody waits for: it ends by itself, at most one grantInterval after the last
// waiter has left, and holds nothing but the limiter meanwhile. There is never more
// than one, and never a waiter without one: takeOrQueue starts it and grantQueued
// ends it in the critical sections that add the first waiter and see the last one
// gone. It can't leak, as no waiter stays for good: the bucket fills up to what each
// of them costs, and one whose context has ended leaves without any budget. The
// contexts of all callers end with the controller or within tuning.DecisionWait.
func (l *Limiter) pump() {
	for l.grantQueued() {
		time.Sleep(grantInterval)
	}
}

// grantQueued grants what the budget covers now, and reports whether any waiter is left.
// If none is, the pump counts as ended.
func (l *Limiter) grantQueued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.grant()
	l.pumping = l.queuedUpTo(classCount-1) > 0
	return l.pumping
}

// grant lets waiters go in order of class, and drops those that are abandoned; mu is
// held. What only reads does not wait for writes that wait for their budget. Guards
// against a controller that takes the store for lost because many submissions wait.
func (l *Limiter) grant() {
	writesSpent := false
	for class := range l.queues {
		for len(l.queues[class]) > 0 {
			w := l.queues[class][0]
			if !w.abandoned {
				if writesSpent && w.cost.writes > 0 {
					break
				}
				if !l.affordable(w.cost) {
					if w.cost.writes == 0 || !l.affordable(budget{requests: w.cost.requests}) {
						return // no request can go
					}
					writesSpent = true
					break
				}
				l.take(w.cost)
				close(w.granted)
			}
			l.queues[class] = l.queues[class][1:]
		}
	}
}
