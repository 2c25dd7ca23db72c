package testcluster

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
)

// coldStartPoll is the interval at which the conditions of a cold start are polled.
const coldStartPoll = 50 * time.Millisecond

// coldStartCluster is a cluster whose tasks run until the test ends.
type coldStartCluster struct {
	*Cluster
	commands *fake.CommandLog

	mu      sync.Mutex // guards running and ended
	running map[string]bool
	ended   int
}

func newColdStartCluster(t *testing.T) *coldStartCluster {
	t.Helper()
	c := &coldStartCluster{commands: fake.NewCommandLog(), running: map[string]bool{}}
	cluster, err := Start(t.TempDir(), Options{
		Controllers:        5,
		Machines:           20,
		Teams:              []config.Team{{Name: "x"}},
		MachineTypes:       machineTypes,
		OperatorProperties: "recovery.hold=true\nrecovery.starts=50\n",
		Seed:               1,
		WorkerLease:        time.Minute,
		CommandLog:         c.commands,
		OnTaskStart:        c.taskStarted,
		OnTaskEnd:          c.taskEnded,
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Cluster = cluster
	t.Cleanup(cluster.Close)
	return c
}

// taskStarted records the start of a task. It returns 0, so the task does not end by itself.
func (c *coldStartCluster) taskStarted(_ *fake.Worker, task *fake.Task) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[task.TaskStatus.Task] = true
	return 0
}

func (c *coldStartCluster) taskEnded(_ *fake.Worker, task *fake.Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task.TaskStatus.Task)
	c.ended++
}

// taskCounts returns the number of running tasks and of ended tasks.
func (c *coldStartCluster) taskCounts() (running, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running), c.ended
}

// recovered reports whether every controller has finished recovery.
func (c *coldStartCluster) recovered() bool {
	for i := range c.controllers {
		status, page := c.Request(i, http.MethodGet, "/status", nil)
		if status != http.StatusOK || !strings.Contains(string(page), `recovery "recovered"`) {
			return false
		}
	}
	return true
}

// submit submits job arrays. It tries the controllers in turn for each until one accepts it.
func (c *coldStartCluster) submit(t *testing.T, jobCount, tasks int) {
	t.Helper()
	for i := range jobCount {
		spec := jobArray(fmt.Sprintf("wk-%d", i), "x", tasks, 1000)
		controller := i
		eventually(t, "submission of "+spec.ID, 30*time.Second, coldStartPoll, func() bool {
			controller++
			status, _ := c.Request(controller%len(c.controllers), http.MethodPost, "/work", spec)
			return status == http.StatusOK || status == http.StatusCreated
		})
	}
}

// restart kills all controllers, and starts them again after a pause.
func (c *coldStartCluster) restart(t *testing.T, pause time.Duration) {
	t.Helper()
	for i := range c.controllers {
		c.KillController(i)
	}
	time.Sleep(pause)
	for i := range c.controllers {
		if err := c.StartController(i); err != nil {
			t.Fatal(err)
		}
	}
}

// All controllers are killed at once, and again while they recover. They restart before any worker
// lease expires, so every task must keep running and no worker may get another command.
func TestColdStartOfAllControllersKeepsRunningTasks(t *testing.T) {
	c := newColdStartCluster(t)
	const jobCount, tasks = 30, 4
	c.submit(t, jobCount, tasks)
	eventually(t, "start of all tasks", 60*time.Second, coldStartPoll, func() bool {
		running, _ := c.taskCounts()
		return running == jobCount*tasks
	})
	if before := c.commands.Snapshot(); len(before.DuplicateStarts) != 0 {
		t.Errorf("%d start commands were repeated before the restart: %v", len(before.DuplicateStarts), before.DuplicateStarts)
	}
	firstKill := time.Now()
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second} {
		c.restart(t, pause)
		time.Sleep(pause)
	}
	elapsed := eventually(t, "recovery", 60*time.Second, coldStartPoll, c.recovered)
	t.Logf("recovered %v after the last pause, %v after the first kill", elapsed, time.Since(firstKill))
	time.Sleep(2 * time.Second) // gives unexpected commands time to arrive
	counts := c.commands.Snapshot()
	if running, ended := c.taskCounts(); running != jobCount*tasks || ended != 0 || counts.Starts != jobCount*tasks || len(counts.DuplicateStarts) != 0 || len(counts.Kills) != 0 {
		t.Errorf("%d tasks are running, %d have ended, %d attempts started, repeated starts %v, kills %v", running, ended, counts.Starts, counts.DuplicateStarts, counts.Kills)
	}
}
