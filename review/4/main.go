// Command case4 shows that a late copy of a start command, which arrives after the controller that
// sent it has ended, runs a task on two machines at once.
package main

import (
	"errors"
	"fmt"
	"time"

	"wheatspur/review/standin2"
	"wheatspur/wire"
)

const (
	team       = "kasdienst-00"
	cards      = 8               // of each task: a whole machine
	shortRun   = 6 * time.Second // of the first urgent task
	secondRun  = 9 * time.Second // of the second, so that the first one's machine is free before
	longRun    = 10 * time.Minute
	tries      = 3                      // to have a start sent by a direct call
	beginLimit = 20 * time.Second       // for a task to begin
	copyAfter  = 500 * time.Millisecond // from the end of the controller to the late copy
	watchFor   = 8 * time.Second        // after that
)

func main() {
	standin2.Main(standin2.Options{
		MachineType: standin2.Kasrek(2),
		Capacity:    2,
		Teams:       []standin2.Team{{Name: team, GPUs: 24, GPUsLimit: 150}},
	}, play)
}

// newJob returns an array of one task that takes a whole machine.
func newJob(number int, priority string, runTime time.Duration) *standin2.Job {
	job := &standin2.Job{Spec: standin2.Array(fmt.Sprintf("wk-%06d", number), team, 1, true), RunTime: runTime}
	job.Spec.GPUs, job.Spec.Priority, job.Spec.EstimateS = cards, priority, runTime.Seconds()
	return job
}

// submit submits a job and waits until its task runs.
func submit(site *standin2.Site, node int, job *standin2.Job) error {
	if !site.Submit(node, job) {
		return fmt.Errorf("%s was not accepted", job.Spec.ID)
	}
	if !standin2.Await(beginLimit, func() bool { return site.AllRun(job.Spec) }) {
		return fmt.Errorf("%s did not run", job.Spec.ID)
	}
	return nil
}

func play(site *standin2.Site, trouble bool) (string, error) {
	// The cloud rents two machines: one runs an urgent task, the other a task of low priority.
	warmUp := newJob(400, wire.PriorityCritical, time.Second)
	warmUp.Spec.Tasks = 2
	if err := submit(site, 0, warmUp); err != nil {
		return "", err
	}
	if !standin2.Await(beginLimit, func() bool { return !site.AnyRuns(warmUp.Spec) }) {
		return "", errors.New("the first job did not end")
	}
	urgent := newJob(401, wire.PriorityCritical, shortRun)
	if err := submit(site, 0, urgent); err != nil {
		return "", err
	}
	low, first, call, err := startDirectly(site)
	if err != nil {
		return "", err
	}
	task := standin2.TaskName(low.Spec.ID, 0)
	// A second urgent task takes the place of the one of low priority, which then runs on the other
	// machine, once that is free.
	preemptor := newJob(410, wire.PriorityCritical, secondRun)
	if err := submit(site, 0, preemptor); err != nil {
		return "", err
	}
	if !standin2.Await(beginLimit, func() bool { return site.Attempt(task) == 2 && !site.AnyRuns(preemptor.Spec) && !first.Knows(task) }) {
		return "", errors.New("the second attempt did not run, or the first was not reaped")
	}
	if trouble {
		site.Kill(site.Node(first.Node()))
		time.Sleep(copyAfter)
		first.Repeat(call)
	}
	time.Sleep(watchFor)
	if violations := site.Violations(); len(violations) > 0 {
		return violations[0], nil
	}
	return "", nil
}

// startDirectly submits jobs of low priority until one is started by a direct call. It returns the
// job, its machine and the call.
func startDirectly(site *standin2.Site) (*standin2.Job, *standin2.Worker, standin2.Call, error) {
	for try := range tries {
		job := newJob(402+try, wire.PriorityLow, longRun)
		if err := submit(site, 1, job); err != nil {
			return nil, nil, standin2.Call{}, err
		}
		if worker, call := directStart(site, standin2.TaskName(job.Spec.ID, 0)); worker != nil {
			return job, worker, call, nil
		}
		site.Cancel(1, job.Spec.ID)
		standin2.Await(beginLimit, func() bool { return !site.AnyRuns(job.Spec) })
	}
	return nil, nil, standin2.Call{}, errors.New("no task was started by a direct call")
}

// directStart returns the machine of a task's first attempt and the direct call that started it, nil
// if an answer to a report did.
func directStart(site *standin2.Site, task string) (*standin2.Worker, standin2.Call) {
	for _, worker := range site.Cloud.Workers() {
		for _, call := range worker.Calls() {
			for _, command := range call.Request.Commands {
				if command.Verb == wire.VerbStart && command.Task == task && command.Attempt == 1 {
					return worker, call
				}
			}
		}
	}
	return nil, standin2.Call{}
}
