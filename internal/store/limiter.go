package store

import (
	"context"
	"math"
	"sync"
	"time"
)

// Class is the priority class of a call that competes for the store's budget.
type Class int

// Classes, most urgent first.
const (
	ClassLease          Class = iota // sessions, leader election, membership: never wait
	ClassCancel                      // users' cancellations
	ClassClaim                       // claims and releases
	ClassSubmission                  // submissions
	ClassMachineRecords              // machine records and types, written by the leader
	ClassRead                        // read barriers, watches, full reads
	classCount
)

// grantInterval is the pause between two checks of the budget while calls wait.
const grantInterval = 10 * time.Millisecond

// submissionBacklog is the number of waiting submissions from which claims may use
// claimAllowance even if that cuts into the reserve for submissions.
const submissionBacklog = 3

// budget is a number of requests and of writes. It is used for a rate, the tokens in
// the bucket, or the cost of a call.
type budget struct {
	requests, writes float64
}

// burst returns the capacity of a bucket whose rate is b: one second's worth, but at
// least enough for one request with one write.
func (b budget) burst() budget {
	return budget{requests: max(b.requests, 1), writes: max(b.writes, 1)}
}

// Limiter shares a budget of requests and writes per second between the classes of
// calls. It is a token bucket with a bounded queue for each class; a call that finds
// its queue full is rejected at once.
type Limiter struct {
	mu         sync.Mutex // guards all fields below
	now        func() time.Time
	rate       budget // per second
	tokens     budget // in the bucket; below 0 after calls that do not wait for budget
	refilledAt time.Time
	// claimAllowance is the number of writes that claims and releases may make even while
	// submissions or machine records wait; it grows at half the rate of writes.
	claimAllowance   float64
	queues           [classCount][]*waiter
	queueLimit       int
	grantLoopRunning bool // the goroutine of grantLoop runs
}

// waiter is a call in a queue. It is abandoned when its call stops waiting, and stays
// in the queue until grant removes it.
type waiter struct {
	cost      budget
	granted   chan struct{} // closed when the call may proceed
	abandoned bool
}

// NewLimiter returns a limiter whose bucket holds one second's worth of tokens.
// queueLimit bounds the calls that wait in each class.
func NewLimiter(requestsPerSecond, writesPerSecond float64, queueLimit int, now func() time.Time) *Limiter {
	rate := budget{requests: requestsPerSecond, writes: writesPerSecond}
	return &Limiter{now: now, rate: rate, tokens: rate, refilledAt: now(), queueLimit: queueLimit}
}

// SetRate changes the rates, for example when the number of controllers changes.
func (l *Limiter) SetRate(requestsPerSecond, writesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.rate = budget{requests: requestsPerSecond, writes: writesPerSecond}
}

// EmptyBucket removes all tokens, after the store has rejected a call because of its
// rate limit.
func (l *Limiter) EmptyBucket() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.tokens.requests = min(l.tokens.requests, 0)
	l.tokens.writes = min(l.tokens.writes, 0)
}

// refill adds the tokens that have accrued since the last refill. The caller holds mu.
func (l *Limiter) refill() {
	now := l.now()
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	burst := l.rate.burst()
	l.tokens.requests = min(l.tokens.requests+elapsed*l.rate.requests, burst.requests)
	l.tokens.writes = min(l.tokens.writes+elapsed*l.rate.writes, burst.writes)
	l.claimAllowance = min(l.claimAllowance+elapsed*l.rate.writes/2, max(l.rate.writes/2, 1))
}

// affordable reports whether the bucket covers the cost. The caller holds mu.
func (l *Limiter) affordable(cost budget) bool {
	burst := l.rate.burst()
	return covers(l.tokens.requests, cost.requests, burst.requests) && covers(l.tokens.writes, cost.writes, burst.writes)
}

// covers reports whether the tokens cover a cost. A cost larger than the burst is
// covered by a full bucket.
func covers(tokens, cost, burst float64) bool {
	return cost <= 0 || tokens >= min(cost, burst)
}

// take removes the cost from the bucket. The caller holds mu.
func (l *Limiter) take(cost budget) {
	l.tokens.requests -= cost.requests
	l.tokens.writes -= cost.writes
}

// AvailableWrites returns the number of writes that claims and releases may make now
// with little wait. Code that decides on the stored state calls it before deciding, so
// that the decision is not stale when it is written.
//
// submissionReserve is left to submissions, so that they do not wait behind claims. If
// several submissions wait nevertheless, claims get half of the write rate, or accepted
// jobs would not run. Claims also get it while machine records wait: hundreds of these
// in a row, after many machines were lost at once, kept the leader from storing the
// end of a job for 15 s.
func (l *Limiter) AvailableWrites(submissionReserve float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	if l.queuedUpTo(ClassClaim) > 0 {
		return 0
	}
	available := max(l.tokens.writes-submissionReserve, 0)
	if len(l.queues[ClassSubmission]) >= submissionBacklog || len(l.queues[ClassMachineRecords]) > 0 {
		available = max(available, math.Floor(l.claimAllowance))
	}
	return available
}

// QueuedWrites returns the number of writes that wait for budget.
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

// Acquire waits for the budget of one request with the given number of writes. It
// returns ErrQueueFull at once if too many calls of the class wait, and the context's
// error if the context ends first.
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

// takeOrQueue takes the cost of a call if the call may proceed now. Otherwise it queues
// a waiter for the call and returns it.
func (l *Limiter) takeOrQueue(class Class, cost budget) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	if class == ClassClaim {
		l.claimAllowance = max(l.claimAllowance-cost.writes, 0)
	}
	// A session expires if its renewal waits, so lease calls may overdraw the bucket.
	if class == ClassLease || l.isNext(class, cost) && l.affordable(cost) {
		l.take(cost)
		return nil, nil
	}
	if len(l.queues[class]) >= l.queueLimit {
		return nil, ErrQueueFull
	}
	w := &waiter{cost: cost, granted: make(chan struct{})}
	l.queues[class] = append(l.queues[class], w)
	if !l.grantLoopRunning {
		l.grantLoopRunning = true
		go l.grantLoop()
	}
	return w, nil
}

// isNext reports whether no waiting call has priority over a new one. Calls without
// writes have priority over waiting writes; see grant. The caller holds mu.
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

// queuedUpTo returns the number of waiters in the queues of the class and of more
// urgent ones. The caller holds mu.
func (l *Limiter) queuedUpTo(class Class) int {
	queued := 0
	for _, queue := range l.queues[:class+1] {
		queued += len(queue)
	}
	return queued
}

// grantLoop grants budget to waiters until none is left. It runs in the limiter's only
// goroutine, which is not joined: it ends by itself, at most one grantInterval after
// the last waiter has left, and refers only to the limiter. At most one runs at a time,
// and one runs whenever there are waiters: takeOrQueue starts it in the critical
// section that adds the first waiter, and grantQueued ends it in the one that finds the
// queues empty. It cannot leak, because no waiter stays forever: the bucket fills up to
// the cost of each, and an abandoned waiter is removed without any budget. The contexts
// of all callers end with the controller or within tuning.DurableWriteTimeout.
func (l *Limiter) grantLoop() {
	for l.grantQueued() {
		time.Sleep(grantInterval)
	}
}

// grantQueued grants the waiters that the budget covers now and reports whether any is
// left. If none is, it marks grantLoop as ended.
func (l *Limiter) grantQueued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.grant()
	l.grantLoopRunning = l.queuedUpTo(classCount-1) > 0
	return l.grantLoopRunning
}

// grant grants budget to waiters in order of class and removes abandoned ones. The
// caller holds mu. Calls without writes do not wait behind writes that lack budget;
// otherwise a controller with many waiting submissions would not read, and would
// consider the store lost.
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
						return // the request budget is spent
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
