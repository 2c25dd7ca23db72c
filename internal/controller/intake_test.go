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

// submitTogether submits jobs while the store hangs, so that all but the first wait in
// the intake queue at once.
func (env *testEnv) submitTogether(controller *Controller, jobIDs ...string) {
	env.t.Helper()
	var g sync.WaitGroup
	env.store.Mu.Lock()
	for i, jobID := range jobIDs {
		g.Go(func() {
			if code, _, _ := sendRequest(controller, "POST", "/work", arrayJob(jobID, 1)); code != http.StatusCreated {
				env.t.Errorf("%s: %d", jobID, code)
			}
		})
		// The lane takes the first; the others wait behind it.
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
	g.Wait()
	env.refreshAll()
}

// intakeRecords returns the keys of the stored intake records.
func (env *testEnv) intakeRecords() (out []string) {
	for key := range env.store.Keys {
		if strings.HasPrefix(key, jobs.IntakePrefix) {
			out = append(out, key)
		}
	}
	return out
}

// Submissions that wait for the store at the same time share one write. Guards against
// one write each: hundreds at once took half a minute.
func TestQueuedSubmissionsShareOneWrite(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	jobIDs := make([]string, 9)
	for i := range jobIDs {
		jobIDs[i] = fmt.Sprintf("wk-%d", i)
	}
	before := env.store.Revision
	env.submitTogether(a, jobIDs...)
	if n := env.store.Revision - before; n != 2 || len(env.intakeRecords()) != 1 {
		t.Fatalf("%d changes, %d intake records", n, len(env.intakeRecords()))
	}
	for _, jobID := range jobIDs {
		if code, _, _ := sendRequest(b, "POST", "/work", arrayJob(jobID, 1)); code != http.StatusOK {
			t.Errorf("a repeat of %s at another controller: %d", jobID, code)
		}
	}
	// One is cancelled, the others run; a controller that starts later agrees.
	if code, status, _ := sendRequest(b, "POST", "/work/wk-3/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %s", code, status.State)
	}
	env.addMachine("h1", "batch")
	env.addMachine("h2", "batch")
	env.addMachine("h3", "batch")
	for _, machineName := range []string{"h1", "h2", "h3"} {
		env.acknowledgeToken(machineName, 1)
	}
	for range 4 { // the team's limit is shared out between the controllers
		env.exchangePeerStatus()
		env.runPasses()
		for _, machineName := range []string{"h1", "h2", "h3"} {
			var done []wire.TaskStatus
			for id, job := range a.Table.ClaimsByMachine[machineName] {
				done = append(done, wire.TaskStatus{Task: id.String(), Attempt: job.Claims[id.Task].Attempt, State: wire.TaskExited, ExitCause: wire.ExitCauseDone})
			}
			env.acknowledgeToken(machineName, 1, done...)
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
		if p := c.jobRecord(jobID).Phase; p != want {
			t.Errorf("%s is %s for a controller that starts later, want %s", jobID, p, want)
		}
	}
	delete(env.controllers, "c")
	env.runPasses()
	if len(env.intakeRecords()) != 0 {
		t.Error("the intake record stays though nothing needs it")
	}
	if code, status, _ := sendRequest(b, "POST", "/work", arrayJob("wk-4", 1)); code != http.StatusOK || status.State != wire.StateDone {
		t.Errorf("a repeat after the end: %d %s", code, status.State)
	}
}

// Another controller has stored a job of the group meanwhile, unseen: the others of
// the group are stored one by one, not refused.
func TestAConflictOfOneSubmissionDoesNotRefuseItsGroup(t *testing.T) {
	env := newTestEnv(t, "a")
	a := env.controllers["a"]
	var group []*api.Submission
	for i := range 3 {
		spec := arrayJob(fmt.Sprintf("wk-%d", i), 1)
		group = append(group, &api.Submission{Spec: &spec, Record: jobs.Record{Phase: jobs.Open, Tasks: 1, ChunkSize: 4, Spec: &spec},
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
	if len(env.intakeRecords()) != 0 {
		t.Fatal("a job is stored twice")
	}
}

// The record of a group stays below the value limit, holds no job twice, and none
// whose user was told to come back.
func TestSubmissionGroupsFitTheValueLimit(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.newUnreadController(settings("z", []string{"z"}))
	add := func(jobID string) *api.Submission {
		spec := arrayJob(jobID, 1)
		return &api.Submission{Spec: &spec, Record: jobs.Record{Phase: jobs.Open, Tasks: 1, ChunkSize: 70, Spec: &spec}, Deadline: time.Now().Add(time.Minute)}
	}
	late := add("wk-late")
	late.Deadline = time.Now()
	controller.api.SubmissionQueue <- late
	for i := range 40 {
		controller.api.SubmissionQueue <- add(fmt.Sprintf("wk-%d", i))
	}
	for group, next := controller.api.NextSubmissionGroup(add("wk-0")); ; group, next = controller.api.NextSubmissionGroup(next) {
		if len(group) < 1 {
			t.Fatal("an empty group")
		}
		v := jobs.IntakeRecord{Jobs: map[string]jobs.Record{}}
		size := 0
		for _, s := range group {
			if s == late {
				t.Error("a submission whose user was told to come back is stored")
			}
			v.Jobs[s.Spec.ID] = s.Record
			size += jobs.JSONSize(s.Spec) + 100
		}
		if len(v.Jobs) != len(group) {
			t.Error("one record holds a job twice")
		}
		if limit := int(controller.Settings.Params.State.ValueKB * 1024); size > limit {
			t.Errorf("%d jobs take %d bytes of %d", len(group), size, limit)
		}
		if next == nil {
			break
		}
	}
}

// A full intake queue answers 429 at once, and does not hold up polls.
func TestAFullIntakeQueueRefusesAtOnce(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	for range cap(controller.api.SubmissionSlots) {
		controller.api.SubmissionSlots <- struct{}{}
	}
	code, _, response := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1))
	if code != http.StatusTooManyRequests || len(response.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("%d from a full intake", code)
	}
	if code, _, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != http.StatusNotFound {
		t.Fatalf("a poll beside a full intake: %d", code)
	}
}
