package testcluster

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/wire"
)

// cold is a cluster whose tasks run until the test is over.
type cold struct {
	*Cluster
	t      *testing.T
	orders *fake.OrderLog

	mu      sync.Mutex
	running map[string]bool
	ended   int
}

func newCold(t *testing.T) *cold {
	t.Helper()
	c := &cold{t: t, orders: fake.NewOrderLog(), running: map[string]bool{}}
	cluster, err := Start(t.TempDir(), Options{Controllers: 5, Machines: 20, Teams: []config.Team{{Name: "x"}}, Seed: 1, Lease: time.Minute, Orders: c.orders,
		Types:      []wire.MachineType{{Label: "g", CPUs: 64, GPUs: 8, RAMGB: 64, FetchGBPerS: 10, Price: 1, SpotPrice: 1, StartupS: 30, Zones: []string{"z"}}},
		Properties: "recovery.hold=true\nrecovery.starts=50\n",
		Begins: func(_ *fake.Worker, task *fake.Task) time.Duration {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.running[task.TaskStatus.Task] = true
			return 0
		},
		Ended: func(_ *fake.Worker, task *fake.Task) {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.running, task.TaskStatus.Task)
			c.ended++
		},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Cluster = cluster
	t.Cleanup(cluster.Close)
	return c
}

// count is how many tasks run, and how many have ended.
func (c *cold) count() (running, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running), c.ended
}

// until waits for a condition.
func (c *cold) until(what string, within time.Duration, holds func() bool) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for !holds() {
		if time.Since(begin) > within {
			c.t.Fatalf("%s: not within %v", what, within)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin)
}

// recovered reports whether every controller is in ordinary operation.
func (c *cold) recovered() bool {
	for i := range c.controllers {
		if code, page := c.Ask(i, "GET", "/status", nil); code != 200 || !strings.Contains(string(page), `recovery "recovered"`) {
			return false
		}
	}
	return true
}

// All controllers are killed at the same moment, twice, the second time in the
// middle of recovery, and are back before any lease has ended: every task runs
// on, and no worker is told anything.
func TestAColdStartOfProcessesKeepsWhatRuns(t *testing.T) {
	c := newCold(t)
	const jobCount, tasks = 30, 4
	for i := range jobCount {
		spec := wire.JobSpec{ID: fmt.Sprintf("wk-%d", i), Class: "c", Team: "x", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: 1000}
		node := i
		c.until("submission of "+spec.ID, 30*time.Second, func() bool {
			node++
			code, _ := c.Ask(node%len(c.controllers), "POST", "/work", spec)
			return code == 200 || code == 201
		})
	}
	c.until("starts", 60*time.Second, func() bool {
		running, _ := c.count()
		return running == jobCount*tasks
	})
	if before := c.orders.Seen(); len(before.Repeated) != 0 {
		t.Errorf("%d starts were repeated in ordinary operation: %v", len(before.Repeated), before.Repeated)
	}
	begin := time.Now()
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second} {
		for i := range c.controllers {
			c.Kill(i)
		}
		time.Sleep(pause)
		for i := range c.controllers {
			if err := c.StartController(i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(pause)
	}
	took := c.until("recovery", 60*time.Second, c.recovered)
	t.Logf("recovered %v after the last start, %v after the first end", took, time.Since(begin))
	time.Sleep(2 * time.Second)
	seen := c.orders.Seen()
	if running, ended := c.count(); running != jobCount*tasks || ended != 0 || seen.Starts != jobCount*tasks || len(seen.Repeated) != 0 || len(seen.Kills) != 0 {
		t.Errorf("%d tasks run, %d have ended, %d starts, repeated %v, killed %v", running, ended, seen.Starts, seen.Repeated, seen.Kills)
	}
}
