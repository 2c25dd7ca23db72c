package testcluster

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// members are the labels in the membership line of a controller's status page.
func (c *Cluster) members(i int) []string {
	code, page := c.Ask(i, "GET", "/status", nil)
	if code != 200 {
		return nil
	}
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "membership ") {
			_, labels, _ := strings.Cut(line, " nodes ")
			return strings.Fields(labels)
		}
	}
	return nil
}

// gone waits until a controller knows a membership without another, and returns
// how long that took.
func (r *race) gone(asked, other int, since time.Time) time.Duration {
	r.t.Helper()
	for {
		members := r.members(asked)
		if len(members) > 0 && !strings.Contains(strings.Join(members, " "), r.Label(other)) {
			return time.Since(since)
		}
		if time.Since(since) > 30*time.Second {
			r.t.Fatalf("%s is a member after 30 s", r.Label(other))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leader is the controller that leads.
func (r *race) leader() int {
	_, page := r.Ask(0, "GET", "/status", nil)
	for i := range r.controllers {
		if strings.Contains(string(page), "leader "+r.Label(i)+" ") {
			return i
		}
	}
	return 0
}

// Controllers are stopped and killed one after the other under load, the leader
// too. A clean stop ends with exit code 0 and hands the machines over at once, a
// kill when the session runs out; what was accepted is done, and no limit is
// exceeded.
func TestACleanStopHandsOverAtOnce(t *testing.T) {
	r := newRace(t, 3, "")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var users sync.WaitGroup
	users.Go(func() { r.users(ctx) })
	time.Sleep(3 * time.Second)
	var stopped, killed []time.Duration
	for round := range 4 {
		victim := r.leader()
		if round%2 == 1 {
			victim = (victim + 1) % len(r.controllers)
		}
		asked := (victim + 2) % len(r.controllers)
		begin := time.Now()
		if round < 2 {
			code, err := r.Terminate(victim)
			if err != nil || code != 0 {
				t.Errorf("%s stopped with exit code %d, %v", r.Label(victim), code, err)
			}
			t.Logf("%s stopped in %v", r.Label(victim), time.Since(begin))
			stopped = append(stopped, r.gone(asked, victim, time.Now()))
		} else {
			r.Kill(victim)
			killed = append(killed, r.gone(asked, victim, begin))
		}
		if err := r.StartController(victim); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	stop()
	users.Wait()
	t.Logf("membership without it: %v after a stop, %v after a kill", stopped, killed)
	for i := range stopped {
		if stopped[i] > 2*time.Second || stopped[i] > killed[i] {
			t.Errorf("%v after the end of a stopped controller, %v after a kill", stopped[i], killed[i])
		}
	}
	left := r.unfinished()
	for deadline := time.Now().Add(60 * time.Second); len(left) > 0 && time.Now().Before(deadline); left = r.unfinished() {
		time.Sleep(200 * time.Millisecond)
	}
	if seen := r.checker.Seen(); len(left) > 0 || len(seen.Faults) > 0 || seen.Admitted == 0 {
		t.Errorf("%d jobs are not done, %d admissions, faults: %v", len(left), seen.Admitted, seen.Faults)
	}
}
