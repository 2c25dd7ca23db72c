package controller

import (
	"fmt"
	"testing"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

func BenchmarkSchedulingPass(b *testing.B) {
	env := newFleetEnv(b, "a", "b", "c")
	env.raiseTeamLimit()
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

func BenchmarkSchedulingPassWithoutCapacity(b *testing.B) {
	env := newFleetEnv(b, "a", "b", "c")
	env.raiseTeamLimit()
	env.submitJobs(300, 0)
	controller := env.leader()
	for _, worker := range controller.Workers.ByMachine {
		worker.TerminationAt = env.clock.now() // no machine accepts tasks
	}
	b.ReportAllocs()
	for b.Loop() {
		controller.Lock()
		controller.scheduler.PlanPass()
		controller.Unlock()
	}
}

func BenchmarkHeartbeat(b *testing.B) {
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

func BenchmarkApplyChunk(b *testing.B) {
	env := newTestEnv(b, "a")
	controller := env.leader()
	env.submit(controller, arrayJob("wk-1", 60))
	tasks := make([]jobs.Task, 60)
	for i := range tasks {
		tasks[i] = jobs.Task{State: jobs.Claimed, Attempt: 1, Machine: fmt.Sprintf("host-%06d", i/8), Incarnation: 1}
	}
	encoded := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	b.ReportAllocs()
	for b.Loop() {
		if err := controller.Table.ApplyChunk(jobs.ChunkKey("wk-1", 0), encoded); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAutoscalePlan(b *testing.B) {
	env := newFleetEnv(b, "a")
	env.raiseTeamLimit()
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
