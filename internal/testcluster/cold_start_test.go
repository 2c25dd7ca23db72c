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

// coldStartPoll is how often a cold start's conditions are looked at.
const coldStartPoll = 50 * time.Millisecond

// coldStartCluster is a cluster whose tasks run until the test is over.
type coldStartCluster struct {
	*Cluster
	commands *fake.CommandLog

	mu      sync.Mutex // guards the two below
	running map[string]bool
	ended   int
}

func newColdStartCluster(t *testing.T) *coldStartCluster {
	t.Helper()
	c := &coldStartCluster{commands: fake.NewCommandLog(), running: map[string]bool{}}
	cluster, err := Start(t.TempDir(), Options{
		Controllers: 5,
		Machines:    20,
		Teams:       []config.Team{{Name: "x"}},
		Types:       machineTypes,
		Properties:  "recovery.hold=true\nrecovery.starts=50\n",
		Seed:        1,
		Lease:       time.Minute,
		Commands:    c.commands,
		Begins:      c.taskBegins,
		Ended:       c.taskEnded,
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Cluster = cluster
	t.Cleanup(cluster.Close)
	return c
}

// taskBegins records the start of a task, which does not end by itself.
func (c *coldStartCluster) taskBegins(_ *fake.Worker, task *fake.Task) time.Duration {
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

// count is how many tasks run, and how many have ended.
func (c *coldStartCluster) count() (running, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running), c.ended
}

// recovered reports whether every controller is in ordinary operation.
func (c *coldStartCluster) recovered() bool {
	for i := range c.controllers {
		status, page := c.Request(i, http.MethodGet, "/status", nil)
		if status != http.StatusOK || !strings.Contains(string(page), `recovery "recovered"`) {
			return false
		}
	}
	return true
}

// submit submits job arrays, each to one controller after the other until one has
// accepted it.
func (c *coldStartCluster) submit(t *testing.T, jobCount, tasks int) {
	t.Helper()
	for i := range jobCount {
		spec := jobArray(fmt.Sprintf("wk-%d", i), "x", tasks, 1000)
		next := i
		eventually(t, "submission of "+spec.ID, 30*time.Second, coldStartPoll, func() bool {
			next++
			status, _ := c.Request(next%len(c.controllers), http.MethodPost, "/work", spec)
			return status == http.StatusOK || status == http.StatusCreated
		})
	}
}

// restart kills all controllers, and starts them after a pause.
func (c *coldStartCluster) restart(t *testing.T, pause time.Duration) {
	t.Helper()
	for i := range c.controllers {
		c.Kill(i)
	}
	time.Sleep(pause)
	for i := range c.controllers {
		if err := c.StartController(i); err != nil {
			t.Fatal(err)
		}
	}
}

// All controllers are killed at the same moment, twice, the second time in the
// middle of recovery, and are back before any worker's lease has expired: every
// task runs on, and no worker gets a command.
func TestColdStartOfAllControllersKeepsRunningTasks(t *testing.T) {
	c := newColdStartCluster(t)
	const jobCount, tasks = 30, 4
	c.submit(t, jobCount, tasks)
	eventually(t, "starts", 60*time.Second, coldStartPoll, func() bool {
		running, _ := c.count()
		return running == jobCount*tasks
	})
	if before := c.commands.Snapshot(); len(before.Repeated) != 0 {
		t.Errorf("%d starts were repeated in ordinary operation: %v", len(before.Repeated), before.Repeated)
	}
	begun := time.Now()
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second} {
		c.restart(t, pause)
		time.Sleep(pause)
	}
	took := eventually(t, "recovery", 60*time.Second, coldStartPoll, c.recovered)
	t.Logf("recovered %v after the last start, %v after the first end", took, time.Since(begun))
	time.Sleep(2 * time.Second) // commands that should not come would come now
	seen := c.commands.Snapshot()
	if running, ended := c.count(); running != jobCount*tasks || ended != 0 || seen.Starts != jobCount*tasks || len(seen.Repeated) != 0 || len(seen.Kills) != 0 {
		t.Errorf("%d tasks run, %d have ended, %d starts, repeated %v, killed %v", running, ended, seen.Starts, seen.Repeated, seen.Kills)
	}
}
