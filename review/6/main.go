// Command case6 shows that a replica of a service that has failed once is never started again,
// although two other machines have room for it.
package main

import (
	"errors"
	"fmt"
	"time"

	"wheatspur/review/standin2"
)

const (
	team       = "kasdienst-00"
	machines   = 3
	failsAfter = time.Second
	settle     = 2 * time.Second  // from the failure until the wait is counted
	waitLimit  = 90 * time.Second // of the page
)

func main() {
	standin2.Main(standin2.Options{
		MachineType: standin2.Kasrek(2),
		Capacity:    machines,
		Teams:       []standin2.Team{{Name: team, GPUs: 24, GPUsLimit: 150}},
	}, play)
}

func play(site *standin2.Site, trouble bool) (string, error) {
	// Large replicas of another service, one on each machine, make the cloud rent its machines.
	filler := &standin2.Job{Spec: standin2.Service("wk-000600", team, machines)}
	filler.Spec.CPUs = 60
	if !site.Submit(0, filler) {
		return "", errors.New("the first service was not accepted")
	}
	if !standin2.Await(20*time.Second, func() bool { return site.AllRun(filler.Spec) }) {
		return "", errors.New("the first service did not run")
	}
	jobID, err := jobOfSmallShard(site)
	if err != nil {
		return "", err
	}
	job := &standin2.Job{Spec: standin2.Service(jobID, team, 1)}
	if trouble {
		job.FirstRunTime, job.Fails = failsAfter, func(string, uint64) bool { return true }
	}
	if !site.Submit(1, job) {
		return "", errors.New("the job was not accepted")
	}
	task := standin2.TaskName(jobID, 0)
	if !standin2.Await(10*time.Second, func() bool { return site.HasBegun(jobID) }) {
		return "", errors.New("the job did not begin")
	}
	time.Sleep(failsAfter + settle)
	// From here on nothing is in trouble any more.
	waiting := time.Now()
	if standin2.Await(waitLimit, func() bool { return len(site.Running(task)) > 0 }) {
		return "", nil
	}
	phase, free := site.Poll(0, jobID), site.WithRoom(job.Spec)
	if len(free) == 0 {
		return "", errors.New("no machine has room")
	}
	return fmt.Sprintf("no job left waiting: %s has waited %.0f s and is %s; machines with room: %v", task, time.Since(waiting).Seconds(), phase, free), nil
}

// jobOfSmallShard returns the ID of a job that is first taken by a controller with a single machine.
func jobOfSmallShard(site *standin2.Site) (string, error) {
	for _, node := range site.Nodes() {
		if len(site.OwnedBy(node.Label)) == 1 {
			return site.JobIDs(node.Label, 601, 1)[0], nil
		}
	}
	return "", errors.New("no controller has a single machine")
}
