package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/api"
	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// submitConcurrently submits jobs while the store blocks, so that all but the first wait in the
// intake queue at the same time.
func (env *testEnv) submitConcurrently(controller *Controller, jobIDs ...string) {
	env.t.Helper()
	var wg sync.WaitGroup
	env.store.Mu.Lock()
	for i, jobID := range jobIDs {
		wg.Go(func() {
			if code, _, _ := sendRequest(controller, "POST", "/work", arrayJob(jobID, 1)); code != http.StatusCreated {
				env.t.Errorf("%s: %d", jobID, code)
			}
		})
		// RunIntake takes the first submission from the queue and blocks on its write. The others stay
		// in the queue.
		for want := i; len(controller.api.SubmissionQueue) < want || len(controller.api.SubmissionSlots) < i+1; {
			time.Sleep(time.Millisecond)
		}
		if i == 0 {
			for len(controller.api.SubmissionQueue) > 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
	env.store.Mu.Unlock()
	wg.Wait()
	env.refreshAll()
}

// intakeRecordKeys returns the keys of the stored intake records.
func (env *testEnv) intakeRecordKeys() (out []string) {
	for key := range env.store.Keys {
		if strings.HasPrefix(key, jobs.IntakePrefix) {
			out = append(out, key)
		}
	}
	return out
}

// Submissions that wait for the store at the same time share one write. Guards against one write for
// each, with which hundreds of concurrent submissions took half a minute.
func TestQueuedSubmissionsShareOneWrite(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	jobIDs := make([]string, 9)
	for i := range jobIDs {
		jobIDs[i] = fmt.Sprintf("wk-%d", i)
	}
	before := env.store.Revision
	env.submitConcurrently(a, jobIDs...)
	if n := env.store.Revision - before; n != 2 || len(env.intakeRecordKeys()) != 1 {
		t.Fatalf("%d writes, %d intake records", n, len(env.intakeRecordKeys()))
	}
	for _, jobID := range jobIDs {
		if code, _, _ := sendRequest(b, "POST", "/work", arrayJob(jobID, 1)); code != http.StatusOK {
			t.Errorf("a repeated submission of %s at another controller: %d", jobID, code)
		}
	}
	// One job is cancelled and the others run to their end. A controller that starts later reads the
	// same phases.
	if code, status, _ := sendRequest(b, "POST", "/work/wk-3/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %s", code, status.State)
	}
	env.addMachine("h1", "batch")
	env.addMachine("h2", "batch")
	env.addMachine("h3", "batch")
	for _, machineName := range []string{"h1", "h2", "h3"} {
		env.acknowledgeToken(machineName, 1)
	}
	for range 4 { // the team's limit is divided between the controllers, so the jobs run in several rounds
		env.exchangePeerStatus()
		env.runPasses()
		for _, machineName := range []string{"h1", "h2", "h3"} {
			var ended []wire.TaskStatus
			for id, job := range a.Table.ClaimsByMachine[machineName] {
				ended = append(ended, wire.TaskStatus{Task: id.String(), Attempt: job.Claims[id.Task].Attempt, State: wire.TaskExited, ExitCause: wire.ExitCauseDone})
			}
			env.acknowledgeToken(machineName, 1, ended...)
		}
		env.clock.add(tuning.RebalancePause)
	}
	env.runPasses()
	c := env.startController("c", []string{"a", "b", "c"})
	for _, jobID := range jobIDs {
		want := jobs.Done
		if jobID == "wk-3" {
			want = jobs.Cancelled
		}
		if phase := c.jobRecord(jobID).Phase; phase != want {
			t.Errorf("%s is %s for a controller that starts later, want %s", jobID, phase, want)
		}
	}
	delete(env.controllers, "c")
	env.runPasses()
	if len(env.intakeRecordKeys()) != 0 {
		t.Error("the intake record is not deleted though all its jobs have ended")
	}
	if code, status, _ := sendRequest(b, "POST", "/work", arrayJob("wk-4", 1)); code != http.StatusOK || status.State != wire.StateDone {
		t.Errorf("a repeated submission after the end of the job: %d %s", code, status.State)
	}
}

// Another controller has stored a job of the group, and this one has not read it yet. The write of
// the group then conflicts, and its submissions must be left to be stored one by one, not refused.
func TestAConflictOfOneSubmissionDoesNotRefuseItsGroup(t *testing.T) {
	env := newTestEnv(t, "a")
	a := env.controllers["a"]
	var group []*api.Submission
	for i := range 3 {
		spec := arrayJob(fmt.Sprintf("wk-%d", i), 1)
		group = append(group, &api.Submission{Spec: &spec, Record: jobs.Record{Phase: jobs.Open, Tasks: 1, TasksPerChunk: 4, Spec: &spec},
			Deadline: time.Now().Add(time.Minute), Done: make(chan error, 1)})
	}
	key := jobs.JobKey("wk-1")
	if _, err := env.store.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: key, Value: wire.MustMarshal(group[1].Record)}}); err != nil {
		t.Fatal(err)
	}
	a.api.StoreGroup(context.Background(), group)
	for _, s := range group {
		if err := <-s.Done; !errors.Is(err, api.ErrNotStoredInGroup) {
			t.Fatalf("%s: %v", s.Spec.ID, err)
		}
	}
	if len(env.intakeRecordKeys()) != 0 {
		t.Fatal("a job is stored twice")
	}
}

// The intake record of a group stays within the value limit. It holds no job twice and no submission
// whose deadline has passed, because its user was told to retry.
func TestSubmissionGroupsFitTheValueLimit(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.newUnsyncedController(settings("z", []string{"z"}))
	newSubmission := func(jobID string) *api.Submission {
		spec := arrayJob(jobID, 1)
		return &api.Submission{Spec: &spec, Record: jobs.Record{Phase: jobs.Open, Tasks: 1, TasksPerChunk: 70, Spec: &spec}, Deadline: time.Now().Add(time.Minute)}
	}
	expired := newSubmission("wk-late")
	expired.Deadline = time.Now()
	controller.api.SubmissionQueue <- expired
	for i := range 40 {
		controller.api.SubmissionQueue <- newSubmission(fmt.Sprintf("wk-%d", i))
	}
	for group, next := controller.api.NextSubmissionGroup(newSubmission("wk-0")); ; group, next = controller.api.NextSubmissionGroup(next) {
		if len(group) < 1 {
			t.Fatal("an empty group")
		}
		record := jobs.IntakeRecord{Jobs: map[string]jobs.Record{}}
		size := 0
		for _, s := range group {
			if s == expired {
				t.Error("a submission whose deadline has passed is stored")
			}
			record.Jobs[s.Spec.ID] = s.Record
			size += jobs.SpecJSONBytes(s.Spec) + 100
		}
		if len(record.Jobs) != len(group) {
			t.Error("the record of a group holds a job twice")
		}
		if limit := int(controller.Settings.Params.State.ValueKB * 1024); size > limit {
			t.Errorf("%d jobs take %d bytes of %d", len(group), size, limit)
		}
		if next == nil {
			break
		}
	}
}

// While all submission slots are in use, submissions get 429 at once, and reads of jobs are still
// answered.
func TestAFullIntakeQueueRefusesAtOnce(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	for range cap(controller.api.SubmissionSlots) {
		controller.api.SubmissionSlots <- struct{}{}
	}
	code, _, response := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1))
	if code != http.StatusTooManyRequests || len(response.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("a submission at a full intake queue: %d", code)
	}
	if code, _, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != http.StatusNotFound {
		t.Fatalf("a poll at a full intake queue: %d", code)
	}
}
