package store

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func TestLimiterKeepsToTheBudgetAndServesUrgentClassesFirst(t *testing.T) {
	clk := &fakeClock{t: time.Unix(1000, 0)}
	l := NewLimiter(2, 100, 4, clk.now)
	ctx := context.Background()
	for range 2 {
		if err := l.Acquire(ctx, ClassRead, 0); err != nil {
			t.Fatal(err)
		}
	}
	got := make(chan string, 2)
	go func() {
		if l.Acquire(ctx, ClassRead, 0) == nil {
			got <- "read"
		}
	}()
	waitQueued(t, l, 1)
	go func() {
		if l.Acquire(ctx, ClassClaim, 1) == nil {
			got <- "claim"
		}
	}()
	waitQueued(t, l, 2)
	select {
	case s := <-got:
		t.Fatalf("%s went beyond the budget", s)
	case <-time.After(30 * time.Millisecond):
	}
	clk.add(500 * time.Millisecond) // one request's worth
	if s := <-got; s != "claim" {
		t.Fatalf("%s went before the claim", s)
	}
	clk.add(500 * time.Millisecond)
	if s := <-got; s != "read" {
		t.Fatal(s)
	}
}

func waitQueued(t *testing.T, l *Limiter, n int) {
	t.Helper()
	for range 200 {
		l.mu.Lock()
		k := l.queuedUpTo(classes - 1)
		l.mu.Unlock()
		if k == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d calls never queued", n)
}

func TestLimiterNeverMakesASessionWaitAndRefusesWhatDoesNotFit(t *testing.T) {
	clk := &fakeClock{t: time.Unix(1000, 0)}
	l := NewLimiter(1, 1, 1, clk.now)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for range 5 {
		if err := l.Acquire(ctx, ClassLease, 1); err != nil {
			t.Fatal(err)
		}
	}
	go func() { _ = l.Acquire(ctx, ClassIntake, 1) }()
	waitQueued(t, l, 1)
	if err := l.Acquire(ctx, ClassIntake, 1); !errors.Is(err, ErrQueueFull) {
		t.Fatalf("a full buffer answered %v", err)
	}
}

// While submissions waited for their changes, no read went: the node held that
// it had lost the state service and decided nothing.
func TestReadsDoNotWaitForChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(100, 1, 8, func() time.Time { return now })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := l.Acquire(ctx, ClassIntake, 1); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		go func() { _ = l.Acquire(ctx, ClassIntake, 1) }()
	}
	for waiting := 0; waiting < 3; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		waiting = len(l.queues[ClassIntake])
		l.mu.Unlock()
	}
	for range 50 {
		quick, end := context.WithTimeout(ctx, time.Second)
		if err := l.Acquire(quick, ClassRead, 0); err != nil {
			t.Fatal("a read waits behind submissions")
		}
		end()
	}
	if l.AvailableWrites(1) != 0 {
		t.Fatalf("%v changes are free though submissions wait", l.AvailableWrites(1))
	}
	now = now.Add(10 * time.Second)
	if l.AvailableWrites(1) < 1 {
		t.Fatal("claims have no part of the changes while submissions wait")
	}
}

// Machine records in a row, one waiting at any time, took all changes of the
// leader: it stored no claim and no end of a job meanwhile.
func TestMachineRecordsLeaveHalfToClaimsAndGoAfterSubmissions(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(100, 4, 8, func() time.Time { return now })
	l.take([2]float64{0, 4})
	l.claimReserve = 0
	wait := func(c Class) {
		l.queues[c] = append(l.queues[c], &waiter{cost: [2]float64{1, 1}, ready: make(chan struct{})})
	}
	records, claims := 0, 0.0
	for range 40 { // ten seconds
		if len(l.queues[ClassRecords]) == 0 {
			wait(ClassRecords)
			records++
		}
		now = now.Add(250 * time.Millisecond)
		if free := l.AvailableWrites(1); free >= 1 {
			claims += free
			for range int(free) {
				wait(ClassClaim)
			}
			l.claimReserve = max(l.claimReserve-free, 0)
		}
		l.refill()
		l.grant()
	}
	if claims < 15 || records < 15 {
		t.Fatalf("in 40 changes: %v claims, %d machine records", claims, records)
	}
	l.queues = [classes][]*waiter{}
	l.tokens[1] = 0
	wait(ClassRecords)
	wait(ClassIntake)
	now = now.Add(250 * time.Millisecond)
	l.refill()
	l.grant()
	if len(l.queues[ClassIntake]) != 0 || len(l.queues[ClassRecords]) != 1 {
		t.Fatal("a submission waits behind a machine record")
	}
}
