package controller

import (
	"fmt"
	"testing"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

func BenchmarkPass(b *testing.B) {
	env := newFleetEnv(b, "a", "b", "c")
	env.liftTeamLimit()
	env.submitJobs(120, 40)
	for range 12 {
		env.runPasses()
	}
	controller := env.leader()
	b.ReportAllocs()
	for b.Loop() {
		controller.Lock()
		controller.scheduler.PlanPass()
		controller.Unlock()
	}
}

func BenchmarkPassWithWorkWaiting(b *testing.B) {
	env := newFleetEnv(b, "a", "b", "c")
	env.liftTeamLimit()
	env.submitJobs(300, 0)
	controller := env.leader()
	for _, m := range controller.Workers.ByMachine {
		m.TerminationAt = env.clock.now() // no machine takes tasks
	}
	b.ReportAllocs()
	for b.Loop() {
		controller.Lock()
		controller.scheduler.PlanPass()
		controller.Unlock()
	}
}

func BenchmarkReport(b *testing.B) {
	env := newFleetEnv(b, "a")
	controller := env.leader()
	var tasks []wire.TaskStatus
	for i := range 8 {
		tasks = append(tasks, wire.TaskStatus{Task: jobs.TaskName("wk-1", i), Attempt: 1, State: wire.TaskRunning})
	}
	token := controller.fencingToken()
	b.ReportAllocs()
	for b.Loop() {
		controller.receiveHeartbeat(env.heartbeat("host-000007", 1, token, tasks...))
	}
}

func BenchmarkWatchDecode(b *testing.B) {
	env := newTestEnv(b, "a")
	controller := env.leader()
	env.submit(controller, arrayJob("wk-1", 60))
	tasks := make([]jobs.Task, 60)
	for i := range tasks {
		tasks[i] = jobs.Task{State: jobs.Claimed, Attempt: 1, Machine: fmt.Sprintf("host-%06d", i/8), Incarnation: 1}
	}
	v := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	b.ReportAllocs()
	for b.Loop() {
		if err := controller.Table.ApplyChunk(jobs.ChunkKey("wk-1", 0), v); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	env := newFleetEnv(b, "a")
	env.liftTeamLimit()
	env.submitJobs(300, 60)
	controller := env.leader()
	env.runPass(controller)
	b.ReportAllocs()
	for b.Loop() {
		controller.Lock()
		now := controller.Now()
		autoscale.Plan(controller.leaderLoop.PlanInput(controller.leaderLoop.CurrentTerm(), controller.MachineIndex.RefreshMachines(now), now))
		controller.Unlock()
	}
}
