package testcluster

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/wire"
)

// teamLimits has the maximum number of GPUs that each team may use at once. The machines have more in
// total, so that every team is at its limit most of the time.
var teamLimits = map[string]float64{"x": 7, "y": 5, "z": 11}

// maxWaitingJobs is the number of waiting jobs of a team at which users stop submitting. It is high
// enough that a job is always waiting for freed capacity.
const maxWaitingJobs = 12

// newDelays returns an empty histogram of delays in milliseconds.
func newDelays() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 3) }

// recordDelaySince records the delay since the given time. It drops delays beyond the range of the
// histogram.
func recordDelaySince(delays *hdrhistogram.Histogram, since time.Time) {
	_ = delays.RecordValue(max(1, time.Since(since).Milliseconds()))
}

// quotaLoad is a cluster with users who submit more work than the limits allow, and the measurements of
// it. Its fault injection is in faults_test.go.
type quotaLoad struct {
	*Cluster
	t             *testing.T
	checker       *fake.UsageChecker
	random        *rand.Rand // used only by the goroutine of runUsers
	lastJobNumber int        // used only by the goroutine of runUsers

	mu             sync.Mutex               // guards the fields below
	durations      map[string]time.Duration // of each task, by job ID
	teams          map[string]string        // by job ID
	acceptedAt     map[string]time.Time     // by job ID
	started        map[string]bool          // IDs of jobs that have started a task
	waiting        map[string]int           // number of submitted jobs that have not started, by team
	startDelays    *hdrhistogram.Histogram  // from the acceptance of a job to its first task start
	recoveryDelays *hdrhistogram.Histogram  // from a kill until every team has claimed all of its limit again
	kills          int
	linkFaults     int
}

func newQuotaLoad(t *testing.T, seed uint64, properties string) *quotaLoad {
	t.Helper()
	l := &quotaLoad{
		t:              t,
		checker:        fake.NewUsageChecker(teamLimits),
		random:         rand.New(rand.NewPCG(seed, 1)),
		durations:      map[string]time.Duration{},
		teams:          map[string]string{},
		acceptedAt:     map[string]time.Time{},
		started:        map[string]bool{},
		waiting:        map[string]int{},
		startDelays:    newDelays(),
		recoveryDelays: newDelays(),
	}
	var teams []config.Team
	for _, name := range teamNames() {
		teams = append(teams, config.Team{Name: name, GPUsMax: teamLimits[name]})
	}
	cluster, err := Start(t.TempDir(), Options{
		Controllers:        5,
		Machines:           8,
		Teams:              teams,
		MachineTypes:       machineTypes,
		OperatorProperties: properties,
		Seed:               seed,
		WorkerLease:        6 * time.Second,
		OnTaskStart:        l.taskStarted,
		OnTaskEnd:          func(_ *fake.Worker, task *fake.Task) { l.checker.RecordTaskEnd(task.TaskStatus.Task, task.JobID) },
	}, l.checker.RecordTransaction)
	if err != nil {
		t.Fatal(err)
	}
	l.Cluster = cluster
	t.Cleanup(cluster.Close)
	return l
}

// teamNames returns the team names in a fixed order.
func teamNames() []string { return slices.Sorted(maps.Keys(teamLimits)) }

// taskStarted records the start of a task and returns how long it runs.
func (l *quotaLoad) taskStarted(w *fake.Worker, task *fake.Task) time.Duration {
	l.checker.RecordTaskStart(w.Machine, task.TaskStatus.Task, task.JobID)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started[task.JobID] {
		l.started[task.JobID] = true
		l.waiting[l.teams[task.JobID]]--
		if acceptedAt, ok := l.acceptedAt[task.JobID]; ok {
			recordDelaySince(l.startDelays, acceptedAt)
		}
	}
	return l.durations[task.JobID]
}

// submit submits a job. It tries the controllers in turn, beginning with the given one, until one
// accepts it or ctx is done.
func (l *quotaLoad) submit(ctx context.Context, spec wire.JobSpec, duration time.Duration, first int) {
	l.addWaiting(spec, duration)
	l.checker.RecordSubmission(spec)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		status, _ := l.Request((first+attempt)%len(l.controllers), http.MethodPost, "/work", spec)
		if status == http.StatusOK || status == http.StatusCreated {
			l.setAccepted(spec.ID)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (l *quotaLoad) addWaiting(spec wire.JobSpec, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations[spec.ID], l.teams[spec.ID] = duration, spec.Team
	l.waiting[spec.Team]++
}

func (l *quotaLoad) setAccepted(jobID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptedAt[jobID] = time.Now()
}

// hasEnoughWaiting reports whether enough jobs of a team are waiting.
func (l *quotaLoad) hasEnoughWaiting(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[team] >= maxWaitingJobs
}

// nextJob returns a job of a few tasks, or occasionally one as large as the limit of its team.
func (l *quotaLoad) nextJob(team string) (spec wire.JobSpec, duration time.Duration) {
	l.lastJobNumber++
	tasks := 1 + l.random.IntN(4)
	if l.random.IntN(12) == 0 {
		tasks = int(teamLimits[team])
	}
	spec = jobArray(fmt.Sprintf("wk-%d", l.lastJobNumber), team, tasks, 1)
	return spec, time.Duration(50+l.random.IntN(500)) * time.Millisecond
}

// runUsers submits jobs for each team that has too few waiting ones, until ctx is done.
func (l *quotaLoad) runUsers(ctx context.Context) {
	var submissions sync.WaitGroup
	defer submissions.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(20+l.random.IntN(80)) * time.Millisecond)
		for _, team := range teamNames() {
			if l.hasEnoughWaiting(team) {
				continue
			}
			for range 1 + l.random.IntN(3) { // concurrently, to random controllers
				spec, duration := l.nextJob(team)
				first := l.random.IntN(len(l.controllers))
				submissions.Go(func() { l.submit(ctx, spec, duration, first) })
			}
		}
	}
}

// acceptedJobs returns the IDs of the accepted jobs.
func (l *quotaLoad) acceptedJobs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.acceptedAt))
}

// unfinished lists the accepted jobs that a controller does not report as done.
func (l *quotaLoad) unfinished() (out []string) {
	for i, jobID := range l.acceptedJobs() {
		code, body := l.Request(i%len(l.controllers), http.MethodGet, "/work/"+jobID, nil)
		var job wire.JobStatus
		if err := wire.Unmarshal(body, &job); err != nil || code != http.StatusOK || job.State != wire.StateDone {
			out = append(out, fmt.Sprintf("%s (%d %s)", jobID, code, job.State))
		}
	}
	return out
}

// awaitAllDone waits up to a minute until all accepted jobs are done, and lists those that are not.
func (l *quotaLoad) awaitAllDone(interval time.Duration) []string {
	unfinished := l.unfinished()
	for deadline := time.Now().Add(time.Minute); len(unfinished) > 0 && time.Now().Before(deadline); unfinished = l.unfinished() {
		time.Sleep(interval)
	}
	return unfinished
}

// storeRevision returns the number of transactions that the store has applied.
func (l *quotaLoad) storeRevision() uint64 {
	l.Store.Mu.Lock()
	defer l.Store.Mu.Unlock()
	return l.Store.Revision
}
