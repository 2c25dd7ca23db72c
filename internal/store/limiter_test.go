package store

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// manualClock only moves by advance. In a synctest bubble the grant loop does not run
// while the test does, so the test may advance the clock without a lock.
type manualClock struct{ t time.Time }

func newManualClock() *manualClock { return &manualClock{t: time.Unix(1000, 0)} }

func (c *manualClock) now() time.Time          { return c.t }
func (c *manualClock) advance(d time.Duration) { c.t = c.t.Add(d) }

// acquire acquires budget and fails the test if the call has to wait.
func acquire(t *testing.T, l *Limiter, class Class, writes int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	if err := l.Acquire(ctx, class, writes); err != nil {
		t.Fatalf("class %d with %d writes: %v, want no wait", class, writes, err)
	}
}

// waitContext returns a context for calls that wait. A cleanup cancels it and gives the
// grant loop time to end, because the bubble's clock stops with the test.
func waitContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * grantInterval)
	})
	return ctx
}

// startWaiting starts a call that has to wait. It sends the call's name to granted once
// the call has its budget.
func startWaiting(ctx context.Context, t *testing.T, l *Limiter, class Class, writes int, name string, granted chan<- string) {
	t.Helper()
	before := queued(l)
	go func() {
		if l.Acquire(ctx, class, writes) == nil {
			granted <- name
		}
	}()
	synctest.Wait()
	if after := queued(l); after != before+1 {
		t.Fatalf("%d calls wait after the %s, want %d", after, name, before+1)
	}
}

// queued returns the number of waiters in all queues.
func queued(l *Limiter) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedUpTo(classCount - 1)
}

func isGrantLoopRunning(l *Limiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantLoopRunning
}

// received empties the channel and returns what it held.
func received(granted <-chan string) []string {
	synctest.Wait()
	var names []string
	for len(granted) > 0 {
		names = append(names, <-granted)
	}
	return names
}

func TestLimiterKeepsToBudgetAndGrantsUrgentClassesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(2, 100, 4, time.Now)
		for range 2 {
			acquire(t, l, ClassRead, 0)
		}
		ctx, granted := waitContext(t), make(chan string, 2)
		startWaiting(ctx, t, l, ClassRead, 0, "read", granted)
		startWaiting(ctx, t, l, ClassClaim, 1, "claim", granted)
		// Two requests per second: one every 500 ms, granted up to grantInterval later.
		for _, step := range []struct {
			sleep time.Duration
			want  []string
		}{
			{490 * time.Millisecond, nil},
			{30 * time.Millisecond, []string{"claim"}},
			{460 * time.Millisecond, nil},
			{50 * time.Millisecond, []string{"read"}},
		} {
			time.Sleep(step.sleep)
			if got := received(granted); !slices.Equal(got, step.want) {
				t.Fatalf("granted %v, want %v", got, step.want)
			}
		}
	})
}

func TestLimiterNeverDelaysLeaseCallsAndRejectsWhenQueueFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(1, 1, 1, newManualClock().now)
		for range 5 {
			acquire(t, l, ClassLease, 1)
		}
		startWaiting(waitContext(t), t, l, ClassSubmission, 1, "submission", make(chan string, 1))
		if err := l.Acquire(t.Context(), ClassSubmission, 1); !errors.Is(err, ErrQueueFull) {
			t.Fatalf("error %v with a full queue, want ErrQueueFull", err)
		}
	})
}

// If reads wait behind submissions that lack write budget, the controller considers
// the store lost and makes no decisions.
func TestLimiterReadsDoNotWaitForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := newManualClock()
		l := NewLimiter(100, 1, 8, clock.now)
		acquire(t, l, ClassSubmission, 1)
		ctx := waitContext(t)
		for range 3 {
			startWaiting(ctx, t, l, ClassSubmission, 1, "submission", make(chan string, 1))
		}
		for range 50 {
			acquire(t, l, ClassRead, 0)
		}
		if l.AvailableWrites(1) != 0 {
			t.Fatalf("%v writes are available while submissions wait, want 0", l.AvailableWrites(1))
		}
		clock.advance(10 * time.Second)
		if l.AvailableWrites(1) < 1 {
			t.Fatal("claims get no share of the writes while submissions wait")
		}
	})
}

// enqueue adds a waiter for a call with one write, without starting the grant loop.
func enqueue(l *Limiter, class Class) {
	l.queues[class] = append(l.queues[class], &waiter{cost: budget{requests: 1, writes: 1}, granted: make(chan struct{})})
}

// With a machine record always waiting, machine records used up the leader's write
// budget: it stored neither claims nor the ends of jobs.
func TestLimiterMachineRecordsLeaveHalfOfWritesToClaims(t *testing.T) {
	clock := newManualClock()
	l := NewLimiter(100, 4, 8, clock.now)
	l.take(budget{writes: 4})
	l.claimAllowance = 0
	records, claims := 0, 0.0
	for range 40 { // 10 s
		if len(l.queues[ClassMachineRecords]) == 0 {
			enqueue(l, ClassMachineRecords)
			records++
		}
		clock.advance(250 * time.Millisecond)
		if available := l.AvailableWrites(1); available >= 1 {
			claims += available
			for range int(available) {
				enqueue(l, ClassClaim)
			}
			l.claimAllowance = max(l.claimAllowance-available, 0)
		}
		l.refill()
		l.grant()
	}
	if claims < 15 || records < 15 {
		t.Fatalf("of 40 writes: %v claims, %d machine records; want at least 15 of each", claims, records)
	}
}

func TestLimiterGrantsSubmissionsBeforeMachineRecords(t *testing.T) {
	clock := newManualClock()
	l := NewLimiter(100, 4, 8, clock.now)
	l.tokens.writes = 0
	enqueue(l, ClassMachineRecords)
	enqueue(l, ClassSubmission)
	clock.advance(250 * time.Millisecond)
	l.refill()
	l.grant()
	if len(l.queues[ClassSubmission]) != 0 || len(l.queues[ClassMachineRecords]) != 1 {
		t.Fatal("a submission waits behind a machine record")
	}
}

func TestLimiterGrantsCallLargerThanBurstFromFullBucket(t *testing.T) {
	clock := newManualClock()
	l := NewLimiter(100, 4, 8, clock.now)
	if !l.affordable(budget{requests: 1, writes: 9}) {
		t.Fatal("a full bucket does not cover a call larger than the burst")
	}
	l.take(budget{requests: 1, writes: 9})
	clock.advance(time.Second) // refills 4 of the 5 writes overdrawn
	l.refill()
	if l.affordable(budget{requests: 1, writes: 1}) {
		t.Fatal("the writes beyond the burst were not charged")
	}
}

// A leaked grant loop would fail the test: a synctest bubble panics if one of its
// goroutines never ends.
func TestLimiterGrantLoopEndsWithLastWaiter(t *testing.T) {
	for _, c := range []struct {
		name  string
		clock func() time.Time
		leave func(cancel context.CancelFunc)
		want  []string
	}{
		{"granted", time.Now, func(context.CancelFunc) { time.Sleep(3 * time.Second) }, []string{"submission", "submission"}},
		{"abandoned without any budget", newManualClock().now, func(cancel context.CancelFunc) { cancel() }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewLimiter(100, 1, 8, c.clock)
				acquire(t, l, ClassSubmission, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				granted := make(chan string, 2)
				for range 2 {
					startWaiting(ctx, t, l, ClassSubmission, 1, "submission", granted)
				}
				if !isGrantLoopRunning(l) {
					t.Fatal("calls wait and the grant loop does not run")
				}
				c.leave(cancel)
				if got := received(granted); !slices.Equal(got, c.want) {
					t.Fatalf("granted %v, want %v", got, c.want)
				}
				time.Sleep(grantInterval)
				synctest.Wait()
				if isGrantLoopRunning(l) || queued(l) != 0 {
					t.Fatalf("grant loop runs: %v; %d calls wait", isGrantLoopRunning(l), queued(l))
				}
			})
		})
	}
}
