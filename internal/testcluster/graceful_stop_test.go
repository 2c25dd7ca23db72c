package testcluster

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// statusPage is a controller's status page; empty if it does not answer.
func (c *Cluster) statusPage(i int) string {
	status, page := c.Request(i, http.MethodGet, "/status", nil)
	if status != http.StatusOK {
		return ""
	}
	return string(page)
}

// members are the labels in the membership line of a controller's status page.
func (c *Cluster) members(i int) []string {
	for line := range strings.Lines(c.statusPage(i)) {
		if strings.HasPrefix(line, "membership ") {
			_, labels, _ := strings.Cut(line, " nodes ")
			return strings.Fields(labels)
		}
	}
	return nil
}

// leader is the controller that leads according to the first one.
func (c *Cluster) leader() int {
	page := c.statusPage(0)
	for i := range c.controllers {
		if strings.Contains(page, "leader "+c.Label(i)+" ") {
			return i
		}
	}
	return 0
}

// awaitRemoval waits until a controller knows a membership without another, and
// returns how long that took since a moment.
func (l *quotaLoad) awaitRemoval(asked, removed int, since time.Time) time.Duration {
	l.t.Helper()
	eventually(l.t, "membership without "+l.Label(removed), time.Until(since.Add(30*time.Second)), 10*time.Millisecond, func() bool {
		members := l.members(asked)
		return len(members) > 0 && !strings.Contains(strings.Join(members, " "), l.Label(removed))
	})
	return time.Since(since)
}

// stopGracefully terminates a controller, which must exit with code 0.
func (l *quotaLoad) stopGracefully(i int) {
	l.t.Helper()
	begun := time.Now()
	code, err := l.Terminate(i)
	if err != nil || code != 0 {
		l.t.Errorf("%s stopped with exit code %d, %v", l.Label(i), code, err)
	}
	l.t.Logf("%s stopped in %v", l.Label(i), time.Since(begun))
}

// Controllers are stopped and killed one after the other under load, the leader
// too. A graceful stop exits with code 0 and hands the shards over at once, a kill
// when the controller's session expires; what was accepted is done, and no limit
// is exceeded.
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
		asked := (stopped + 2) % len(l.controllers)
		if c.graceful {
			l.stopGracefully(stopped)
			afterStop = append(afterStop, l.awaitRemoval(asked, stopped, time.Now()))
		} else {
			begun := time.Now()
			l.Kill(stopped)
			afterKill = append(afterKill, l.awaitRemoval(asked, stopped, begun))
		}
		if err := l.StartController(stopped); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	cancel()
	users.Wait()
	t.Logf("membership without it: %v after a stop, %v after a kill", afterStop, afterKill)
	for i := range afterStop {
		if afterStop[i] > 2*time.Second || afterStop[i] > afterKill[i] {
			t.Errorf("%v after the end of a stopped controller, %v after a kill", afterStop[i], afterKill[i])
		}
	}
	unfinished := l.awaitAllDone(200 * time.Millisecond)
	if seen := l.checker.Usage(); len(unfinished) > 0 || len(seen.Violations) > 0 || seen.Admitted == 0 {
		t.Errorf("%d jobs are not done, %d admissions, violations: %v", len(unfinished), seen.Admitted, seen.Violations)
	}
}
