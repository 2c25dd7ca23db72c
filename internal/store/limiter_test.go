package store

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// manualClock stands still but for advance. In a synctest bubble the pump does not run
// while the test does, so the test may advance it without a lock.
type manualClock struct{ t time.Time }

func newManualClock() *manualClock { return &manualClock{t: time.Unix(1000, 0)} }

func (c *manualClock) now() time.Time          { return c.t }
func (c *manualClock) advance(d time.Duration) { c.t = c.t.Add(d) }

// acquire takes the budget of a call that must not wait.
func acquire(t *testing.T, l *Limiter, class Class, writes int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	if err := l.Acquire(ctx, class, writes); err != nil {
		t.Fatalf("class %d with %d writes: %v, want no wait", class, writes, err)
	}
}

// waitContext returns a context for calls that wait. It ends with the test, which then
// gives the pump time to end: a bubble's clock stops with its test.
func waitContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * grantInterval)
	})
	return ctx
}

// startWaiting starts a call that has to wait; once it is granted, its name goes to
// granted.
func startWaiting(ctx context.Context, t *testing.T, l *Limiter, class Class, writes int, name string, granted chan<- string) {
	t.Helper()
	before := queued(l)
	go func() {
		if l.Acquire(ctx, class, writes) == nil {
			granted <- name
		}
	}()
	synctest.Wait()
	if now := queued(l); now != before+1 {
		t.Fatalf("%d calls wait after the %s, want %d", now, name, before+1)
	}
}

// queued is the number of calls that wait.
func queued(l *Limiter) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedUpTo(classCount - 1)
}

// isPumping reports whether the limiter's goroutine runs.
func isPumping(l *Limiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pumping
}

// received returns what the channel holds now.
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
		// Two requests per second: one each 500 ms, and the pump's interval later.
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
		startWaiting(waitContext(t), t, l, ClassIntake, 1, "submission", make(chan string, 1))
		if err := l.Acquire(t.Context(), ClassIntake, 1); !errors.Is(err, ErrQueueFull) {
			t.Fatalf("a full queue answered %v", err)
		}
	})
}

// While submissions waited for their writes, no read went: the controller took the
// store for lost and decided nothing.
func TestLimiterReadsDoNotWaitForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := newManualClock()
		l := NewLimiter(100, 1, 8, clock.now)
		acquire(t, l, ClassIntake, 1)
		ctx := waitContext(t)
		for range 3 {
			startWaiting(ctx, t, l, ClassIntake, 1, "submission", make(chan string, 1))
		}
		for range 50 {
			acquire(t, l, ClassRead, 0)
		}
		if l.AvailableWrites(1) != 0 {
			t.Fatalf("%v writes are available though submissions wait", l.AvailableWrites(1))
		}
		clock.advance(10 * time.Second)
		if l.AvailableWrites(1) < 1 {
			t.Fatal("claims have no part of the writes while submissions wait")
		}
	})
}

// enqueue lets a call with one write wait, without a pump.
func enqueue(l *Limiter, class Class) {
	l.queues[class] = append(l.queues[class], &waiter{cost: budget{requests: 1, writes: 1}, granted: make(chan struct{})})
}

// Machine records in a row, one waiting at any time, took all writes of the leader: it
// stored no claim and no end of a job meanwhile.
func TestLimiterMachineRecordsLeaveHalfOfWritesToClaims(t *testing.T) {
	clock := newManualClock()
	l := NewLimiter(100, 4, 8, clock.now)
	l.take(budget{writes: 4})
	l.claimReserve = 0
	records, claims := 0, 0.0
	for range 40 { // ten seconds
		if len(l.queues[ClassRecords]) == 0 {
			enqueue(l, ClassRecords)
			records++
		}
		clock.advance(250 * time.Millisecond)
		if available := l.AvailableWrites(1); available >= 1 {
			claims += available
			for range int(available) {
				enqueue(l, ClassClaim)
			}
			l.claimReserve = max(l.claimReserve-available, 0)
		}
		l.refill()
		l.grant()
	}
	if claims < 15 || records < 15 {
		t.Fatalf("in 40 writes: %v claims, %d machine records", claims, records)
	}
}

func TestLimiterGrantsSubmissionsBeforeMachineRecords(t *testing.T) {
	clock := newManualClock()
	l := NewLimiter(100, 4, 8, clock.now)
	l.tokens.writes = 0
	enqueue(l, ClassRecords)
	enqueue(l, ClassIntake)
	clock.advance(250 * time.Millisecond)
	l.refill()
	l.grant()
	if len(l.queues[ClassIntake]) != 0 || len(l.queues[ClassRecords]) != 1 {
		t.Fatal("a submission waits behind a machine record")
	}
}

func TestLimiterGrantsCallLargerThanBurstFromFullBucket(t *testing.T) {
	clock := newManualClock()
	l := NewLimiter(100, 4, 8, clock.now)
	if !l.affordable(budget{requests: 1, writes: 9}) {
		t.Fatal("a call larger than the burst never goes")
	}
	l.take(budget{requests: 1, writes: 9})
	clock.advance(time.Second) // 4 of the 5 writes that are owed
	l.refill()
	if l.affordable(budget{requests: 1, writes: 1}) {
		t.Fatal("the writes beyond the burst were not paid for")
	}
}

// A synctest bubble fails if a goroutine is left in it that never ends.
func TestLimiterPumpEndsWithLastWaiter(t *testing.T) {
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
				acquire(t, l, ClassIntake, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				granted := make(chan string, 2)
				for range 2 {
					startWaiting(ctx, t, l, ClassIntake, 1, "submission", granted)
				}
				if !isPumping(l) {
					t.Fatal("calls wait and no pump runs")
				}
				c.leave(cancel)
				if got := received(granted); !slices.Equal(got, c.want) {
					t.Fatalf("granted %v, want %v", got, c.want)
				}
				time.Sleep(grantInterval)
				synctest.Wait()
				if isPumping(l) || queued(l) != 0 {
					t.Fatalf("pump runs: %v; %d calls wait", isPumping(l), queued(l))
				}
			})
		})
	}
}
