package testcluster

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// statusPage returns the status page of controller i, or an empty string if it does not respond.
func (c *Cluster) statusPage(i int) string {
	status, page := c.Request(i, http.MethodGet, "/status", nil)
	if status != http.StatusOK {
		return ""
	}
	return string(page)
}

// members returns the labels in the membership line on the status page of controller i.
func (c *Cluster) members(i int) []string {
	for line := range strings.Lines(c.statusPage(i)) {
		if strings.HasPrefix(line, "membership ") {
			_, labels, _ := strings.Cut(line, " nodes ")
			return strings.Fields(labels)
		}
	}
	return nil
}

// leader returns the index of the leader according to controller 0, or 0 if that reports none.
func (c *Cluster) leader() int {
	page := c.statusPage(0)
	for i := range c.controllers {
		if strings.Contains(page, "leader "+c.Label(i)+" ") {
			return i
		}
	}
	return 0
}

// awaitRemoval waits until the membership that one controller reports no longer includes another, and
// returns the time from since until then.
func (l *quotaLoad) awaitRemoval(observer, removed int, since time.Time) time.Duration {
	l.t.Helper()
	eventually(l.t, "membership without "+l.Label(removed), time.Until(since.Add(30*time.Second)), 10*time.Millisecond, func() bool {
		members := l.members(observer)
		return len(members) > 0 && !strings.Contains(strings.Join(members, " "), l.Label(removed))
	})
	return time.Since(since)
}

// stopGracefully terminates controller i, and fails the test unless it exits with code 0.
func (l *quotaLoad) stopGracefully(i int) {
	l.t.Helper()
	start := time.Now()
	code, err := l.StopController(i)
	if err != nil || code != 0 {
		l.t.Errorf("%s stopped with exit code %d, %v", l.Label(i), code, err)
	}
	l.t.Logf("%s stopped in %v", l.Label(i), time.Since(start))
}

// Controllers, including the leader, are stopped and killed one at a time under load. A controller that
// stops gracefully must exit with code 0 and hand over its shards at once, without waiting for its
// session to expire as after a kill. All accepted jobs must complete, and no limit may be exceeded.
func TestGracefulStopFailsOverWithoutWaitingForLeaseExpiry(t *testing.T) {
	l := newQuotaLoad(t, 3, "")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var users sync.WaitGroup
	users.Go(func() { l.runUsers(ctx) })
	time.Sleep(3 * time.Second)
	var afterStop, afterKill []time.Duration
	for _, c := range []struct {
		graceful, leader bool
	}{{true, true}, {true, false}, {false, true}, {false, false}} {
		stopped := l.leader()
		if !c.leader {
			stopped = (stopped + 1) % len(l.controllers)
		}
		observer := (stopped + 2) % len(l.controllers)
		if c.graceful {
			l.stopGracefully(stopped)
			afterStop = append(afterStop, l.awaitRemoval(observer, stopped, time.Now()))
		} else {
			start := time.Now()
			l.KillController(stopped)
			afterKill = append(afterKill, l.awaitRemoval(observer, stopped, start))
		}
		if err := l.StartController(stopped); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	cancel()
	users.Wait()
	t.Logf("time until removal from the membership: %v after a graceful stop, %v after a kill", afterStop, afterKill)
	for i := range afterStop {
		if afterStop[i] > 2*time.Second || afterStop[i] > afterKill[i] {
			t.Errorf("removal from the membership took %v after the exit of a stopped controller, %v after a kill", afterStop[i], afterKill[i])
		}
	}
	unfinished := l.awaitAllDone(200 * time.Millisecond)
	if usage := l.checker.Usage(); len(unfinished) > 0 || len(usage.Violations) > 0 || usage.StoredClaims == 0 {
		t.Errorf("%d jobs are not done, %d admissions, violations: %v", len(unfinished), usage.StoredClaims, usage.Violations)
	}
}
