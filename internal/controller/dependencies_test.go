package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// A job is claimed only once all its dependencies are stored as done. The time at which it became
// ready survives a restart of the controller.
func TestAJobStartsOnceAllItsDependenciesAreStoredDone(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	a, b := env.controllers["a"], env.controllers["b"]
	env.submit(a, arrayJob("wk-1", 1))
	env.submit(b, arrayJob("wk-2", 1))
	env.submit(a, dependentJob(arrayJob("wk-3", 2), "wk-1", "wk-2", "wk-1"))
	env.runPasses()
	for _, controller := range env.controllers {
		if c := controller.Table.Jobs["wk-3"].TaskCounts; c[jobs.Claimed] != 0 || controller.Table.ResourcesByTeam["x"].GPUs != 2 || controller.scheduler.Unplaced["wk-3"] != 0 {
			t.Fatalf("a waiting job has claims %v, its team holds %v, unplaced %d", c, controller.Table.ResourcesByTeam["x"], controller.scheduler.Unplaced["wk-3"])
		}
		if len(controller.Table.Jobs["wk-3"].Record.Spec.DependsOn) != 2 {
			t.Fatal("a repeated dependency is stored twice")
		}
	}
	env.checkStates("waiting", map[string]string{"wk-3": wire.StateQueued})
	env.finishTasks("h1", "wk-1/0")
	env.checkStates("half done", map[string]string{"wk-1": wire.StateDone, "wk-3": wire.StateQueued})
	if a.Table.Jobs["wk-3"].TaskCounts[jobs.Claimed] != 0 {
		t.Fatal("the job is claimed before all its dependencies are done")
	}
	_, _, response := sendRequest(a, "GET", "/status?job=wk-3", nil)
	if body := string(response.Response.Body()); !strings.Contains(body, "awaits wk-2\n") {
		t.Fatalf("status says %q", body)
	}
	// A controller that starts now finds the job open, ready since its last dependency ended.
	lastEnd := env.clock.now()
	env.finishTasks("h1", "wk-2/0")
	restarted := env.startController("c", []string{"a", "b", "c"})
	if job := restarted.Table.Jobs["wk-3"]; job.Phase != jobs.Open || job.ReadyAtMs < lastEnd.UnixMilli() {
		t.Fatalf("after a restart: %s, ready %d, ended %d", job.Phase, job.ReadyAtMs, lastEnd.UnixMilli())
	}
	delete(env.controllers, "c")
	env.runPasses()
	if a.Table.Jobs["wk-3"].TaskCounts[jobs.Claimed] != 2 {
		t.Fatal("the job is not claimed though all its dependencies are done")
	}
	env.finishTasks("h1", "wk-3/0", "wk-3/1")
	env.checkStates("over", map[string]string{"wk-3": wire.StateDone})
}

// A single write cancels a job and all its dependents. Every controller reports them as cancelled at
// once, also a dependent that is submitted concurrently.
func TestCancellationReachesDependentsAtEveryControllerAtOnce(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	env.submit(a, arrayJob("wk-1", 1))
	env.submit(a, dependentJob(arrayJob("wk-2", 1), "wk-1"))
	env.submit(b, dependentJob(arrayJob("wk-3", 1), "wk-2"))
	env.submit(b, arrayJob("wk-4", 1))
	env.submit(b, dependentJob(arrayJob("wk-5", 1), "wk-4"))
	before := env.store.Revision
	if code, status, _ := sendRequest(a, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %s", code, status.State)
	}
	if env.store.Revision != before+1 {
		t.Fatalf("%d writes for one cancellation", env.store.Revision-before)
	}
	// A dependent is submitted to a controller that has not read the cancellation yet.
	if code, _, _ := sendRequest(b, "POST", "/work", dependentJob(arrayJob("wk-6", 1), "wk-3")); code != http.StatusCreated {
		t.Fatalf("a submission after the cancellation: %d", code)
	}
	wantStates := map[string]string{"wk-1": wire.StateCancelled, "wk-2": wire.StateCancelled, "wk-3": wire.StateCancelled,
		"wk-6": wire.StateCancelled, "wk-4": wire.StateQueued, "wk-5": wire.StateQueued}
	env.checkStates("at once", wantStates)
	if code, status, _ := sendRequest(b, "POST", "/work/wk-3/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("cancelled again: %d %s", code, status.State)
	}
	// The cancellations of the dependents are stored later, so that intake records can be deleted and
	// older versions see the cancellations.
	env.runPasses()
	env.runPasses()
	for _, jobID := range []string{"wk-2", "wk-3", "wk-6"} {
		if r := a.jobRecord(jobID); r.Phase != jobs.Cancelled || r.CancelledByDependency == "" {
			t.Errorf("%s is stored %s", jobID, r.Phase)
		}
	}
	env.checkStates("stored", wantStates)
	// The cancellation of a dependent does not cancel its dependencies.
	if code, _, _ := sendRequest(a, "POST", "/work/wk-5/cancel", nil); code != http.StatusOK {
		t.Fatal(code)
	}
	env.checkStates("after the cancellation of a dependent", map[string]string{"wk-4": wire.StateQueued, "wk-5": wire.StateCancelled})
}

// A job that is stored as done stays done when it is cancelled afterwards, and its dependents run.
func TestACancellationAfterTheEndLetsDependentsRun(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.submit(env.controllers["a"], dependentJob(arrayJob("wk-2", 1), "wk-1"))
	env.runPasses()
	env.finishTasks("h1", "wk-1/0")
	if code, status, _ := sendRequest(env.controllers["b"], "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != wire.StateDone {
		t.Fatalf("cancellation of a done job: %d %s", code, status.State)
	}
	env.runPasses()
	env.checkStates("after the late cancellation", map[string]string{"wk-2": wire.StateRunning})
}

// Submissions are refused if they depend on too many jobs, or on a job that never ends, that was never
// accepted or whose name is malformed. A controller without a recent read of the store answers 503,
// never 422.
func TestSubmissionsWithDependenciesAreValidated(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	env.submit(a, serviceJob("wk-9", 1))
	// The other controller has just accepted wk-1, and this one has not read it yet.
	if code, _, _ := sendRequest(b, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusCreated {
		t.Fatal(code)
	}
	if code, _, _ := sendRequest(a, "POST", "/work", dependentJob(arrayJob("wk-2", 1), "wk-1")); code != http.StatusCreated {
		t.Fatalf("a dependency on a job that was just accepted: %d", code)
	}
	tooMany := dependentJob(arrayJob("wk-3", 1))
	for range 400 {
		tooMany.DependsOn = append(tooMany.DependsOn, "wk-1", "wk-2", "wk-000000000000000001")
	}
	for name, tc := range map[string]struct {
		spec wire.JobSpec
		want int
	}{
		"itself":         {dependentJob(arrayJob("wk-5", 1), "wk-5"), http.StatusUnprocessableEntity},
		"a service":      {dependentJob(arrayJob("wk-5", 1), "wk-9"), http.StatusUnprocessableEntity},
		"never accepted": {dependentJob(arrayJob("wk-5", 1), "wk-1", "wk-777"), http.StatusUnprocessableEntity},
		"malformed name": {dependentJob(arrayJob("wk-5", 1), "seven"), http.StatusUnprocessableEntity},
		"too many":       {tooMany, http.StatusUnprocessableEntity},
		"known before":   {dependentJob(arrayJob("wk-1", 1), "wk-777"), http.StatusOK},
	} {
		if code, _, _ := sendRequest(a, "POST", "/work", tc.spec); code != tc.want {
			t.Errorf("%s: %d, want %d", name, code, tc.want)
		}
	}
	var fields map[string]any
	if err := wire.Unmarshal(wire.MustMarshal(arrayJob("wk-6", 1)), &fields); err != nil {
		t.Fatal(err)
	}
	for _, value := range []any{"wk-1", 7, []any{7}, map[string]any{"wk-1": true}} {
		fields["awaits"] = value
		if code, _, _ := sendRequest(a, "POST", "/work", wire.MustMarshal(fields)); code != http.StatusBadRequest {
			t.Errorf("awaits %v: %d", value, code)
		}
	}
	fields["awaits"] = nil
	if code, _, _ := sendRequest(a, "POST", "/work", wire.MustMarshal(fields)); code != http.StatusCreated || a.jobRecord("wk-6").Phase != jobs.Open {
		t.Errorf("awaits null: %d", code)
	}
	// Without a recent read the controller can't tell whether the dependency exists.
	env.store.Unavailable = true
	env.clock.add(5 * time.Second)
	code, _, response := sendRequest(a, "POST", "/work", dependentJob(arrayJob("wk-7", 1), "wk-777"))
	if code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
		t.Errorf("without the store: %d", code)
	}
}

// While a member runs a version without support for dependencies, jobs with dependencies are neither
// accepted nor claimed, because that member would stop their tasks. A controller that is down is no
// member and does not delay them.
func TestJobsWithDependenciesWaitWhileAMemberRunsAnOlderVersion(t *testing.T) {
	for _, olderLeads := range []bool{false, true} {
		t.Run(fmt.Sprintf("the older version leads: %v", olderLeads), func(t *testing.T) {
			checkDependenciesBesideOlderVersion(t, olderLeads)
		})
	}
}

// checkDependenciesBesideOlderVersion checks jobs with dependencies at a controller, a, beside one of an
// older version, which is the leader at first or not.
func checkDependenciesBesideOlderVersion(t *testing.T, olderLeads bool) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	a := env.leader()
	older := env.otherLabel(a)
	if olderLeads {
		a, older = env.controllers[older], a.Self.Label
	}
	token := a.fencingToken()
	env.storeSessionVersion(older, true)
	for range 4 {
		env.stepMembership()
	}
	if env.leader() != a {
		t.Fatal("the older version leads")
	}
	if changed := a.fencingToken() != token; changed != olderLeads {
		t.Fatalf("the membership changes with the version in a session: %v, want it only if the leader's is older", changed)
	}
	if olderLeads {
		env.acknowledgeToken("h1", 1)
	}
	env.submit(a, arrayJob("wk-1", 1))
	code, _, response := sendRequest(a, "POST", "/work", dependentJob(arrayJob("wk-2", 1), "wk-1"))
	if code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("a submission with dependencies beside a member of an older version: %d", code)
	}
	env.storeSessionVersion(older, false)
	env.submit(a, dependentJob(arrayJob("wk-2", 1), "wk-1"))
	env.runPasses()
	env.finishTasks("h1", "wk-1/0")
	// A controller of an older version rejoins. It would stop tasks of jobs with dependencies on its
	// machines.
	job := a.Table.Jobs["wk-2"]
	if job.TaskCounts[jobs.Claimed] != 1 {
		t.Fatalf("%v", job.TaskCounts)
	}
	env.submit(a, dependentJob(arrayJob("wk-3", 1), "wk-1"))
	env.submit(a, arrayJob("wk-4", 1))
	env.submit(a, dependentJob(arrayJob("wk-5", 1), "wk-4"))
	env.storeSessionVersion(older, true)
	env.runPasses()
	env.finishTasks("h1", "wk-2/0", "wk-4/0")
	env.runPasses()
	if c := a.Table.Jobs["wk-5"].TaskCounts; c[jobs.Claimed] != 0 || a.Table.Jobs["wk-5"].Phase != jobs.Open {
		t.Fatalf("a job that is stored as waiting is claimed beside a member of an older version: %v", c)
	}
	// A controller that is down leaves the membership and no longer delays the job.
	env.store.ExpireLease(env.controllers[older].Self.Incarnation)
	delete(env.controllers, older)
	for range 3 {
		env.stepMembership()
	}
	env.acknowledgeToken("h1", 1)
	env.runPasses()
	env.runPasses()
	if c := a.Table.Jobs["wk-5"].TaskCounts; c[jobs.Claimed] != 1 {
		t.Fatalf("the job waits for a controller that is down: %v, members %v", c, a.Membership.Members)
	}
}

// Dependency graphs add no writes to those of their jobs: releasing a dependent takes none, and
// cancelling a job with all its dependents takes one.
func TestDependencyGraphsCostNoWritesOfTheirOwn(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	const pipelines = 300
	jobID := func(pipeline, step int) string { return fmt.Sprintf("wk-%d", pipeline*10+step) }
	for p := range pipelines {
		for step, dependsOn := range [][]int{{}, {0}, {0}, {1, 2}} {
			spec := arrayJob(jobID(p, step), 1)
			for _, dependency := range dependsOn {
				spec.DependsOn = append(spec.DependsOn, jobID(p, dependency))
			}
			record := jobs.Record{Phase: jobs.Open, Tasks: 1, TasksPerChunk: 64, Spec: &spec}
			if step > 0 {
				record.Phase = jobs.Waiting
			}
			env.store.Put(jobs.JobKey(jobID(p, step)), wire.MustMarshal(record))
		}
	}
	env.refreshAll()
	if len(controller.Table.Open) != pipelines || len(controller.Table.Waiting) != 3*pipelines {
		t.Fatalf("%d jobs are open, %d waiting", len(controller.Table.Open), len(controller.Table.Waiting))
	}
	before := env.store.Revision
	for p := range pipelines {
		env.store.Put(jobs.JobKey(jobID(p, 0)), wire.MustMarshal(jobs.Record{Phase: jobs.Done, Tasks: 1, TasksPerChunk: 64, EndedAtMs: 1}))
	}
	env.refreshAll()
	env.runPass(controller)
	if len(controller.Table.Open) != 2*pipelines || env.store.Revision != before+pipelines {
		t.Fatalf("%d jobs are open, %d writes", len(controller.Table.Open), env.store.Revision-before-pipelines)
	}
	before = env.store.Revision
	if code, _, _ := sendRequest(controller, "POST", "/work/"+jobID(7, 1)+"/cancel", nil); code != http.StatusOK || env.store.Revision != before+1 {
		t.Fatalf("a cancellation: %d, %d writes", code, env.store.Revision-before)
	}
	if controller.Table.Jobs[jobID(7, 3)].Phase != jobs.Cancelled || controller.Table.Jobs[jobID(7, 2)].Phase != jobs.Open {
		t.Fatal("the cancellation misses a dependent or cancels a job that does not depend on the cancelled one")
	}
}
