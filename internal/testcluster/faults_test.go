package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wheatspur/internal/fake"
)

// randomPause waits for a random time between shortest and longest, or until ctx is done.
func randomPause(ctx context.Context, random *rand.Rand, shortest, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(shortest + time.Duration(random.Int64N(int64(longest-shortest)))):
	}
}

// injectRepeatedly calls inject after every random pause, until ctx is done.
func injectRepeatedly(ctx context.Context, random *rand.Rand, shortest, longest time.Duration, inject func()) {
	for {
		randomPause(ctx, random, shortest, longest)
		if ctx.Err() != nil {
			return
		}
		inject()
	}
}

// increment adds one to a counter that l.mu guards.
func (l *quotaLoad) increment(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// killControllers kills and restarts random controllers, one at a time.
func (l *quotaLoad) killControllers(ctx context.Context, random *rand.Rand) {
	var recoveryWatchers sync.WaitGroup
	defer recoveryWatchers.Wait()
	injectRepeatedly(ctx, random, time.Second, 5*time.Second, func() {
		i := random.IntN(len(l.controllers))
		if !l.KillController(i) {
			l.t.Errorf("%s exited before it was killed; end of its log:\n%s", l.Label(i), l.controllers[i].log)
		}
		l.increment(&l.kills)
		killed := time.Now()
		recoveryWatchers.Go(func() { l.watchRecovery(ctx, killed) })
		randomPause(ctx, random, 50*time.Millisecond, 1500*time.Millisecond)
		if err := l.StartController(i); err != nil {
			l.t.Error(err)
		}
	})
}

// watchRecovery records how long it takes after a kill until every team has claimed all of its limit
// again.
func (l *quotaLoad) watchRecovery(ctx context.Context, killed time.Time) {
	for !l.checker.AllReachedLimitAfter(killed) {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recordDelaySince(l.recoveryDelays, killed)
}

// failStoreLinks injects random faults into the store links of random controllers, one at a time.
func (l *quotaLoad) failStoreLinks(ctx context.Context, random *rand.Rand) {
	faults := []fake.Faults{{Reject: true}, {Cut: true}, {LostShare: 0.5}, {LateShare: 0.5}, {LostShare: 0.2, LateShare: 0.2, Delay: 30 * time.Millisecond}}
	injectRepeatedly(ctx, random, 300*time.Millisecond, 2*time.Second, func() {
		link := l.StoreLink(random.IntN(len(l.controllers)))
		link.SetFaults(faults[random.IntN(len(faults))])
		l.increment(&l.linkFaults)
		randomPause(ctx, random, 500*time.Millisecond, 4*time.Second)
		link.SetFaults(fake.Faults{})
	})
}

// cutMachineLinks cuts the links between random machines and random controllers, one at a time.
func (l *quotaLoad) cutMachineLinks(ctx context.Context, random *rand.Rand) {
	injectRepeatedly(ctx, random, 300*time.Millisecond, 2*time.Second, func() {
		link := l.Machines[random.IntN(len(l.Machines))].Link(l.Label(random.IntN(len(l.controllers))))
		link.SetFaults(fake.Faults{Cut: true})
		l.increment(&l.linkFaults)
		randomPause(ctx, random, 500*time.Millisecond, 8*time.Second)
		link.SetFaults(fake.Faults{})
	})
}
