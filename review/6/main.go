// Command case6 shows that a few services that were submitted with a mistake and then cancelled leave
// all machines closed to new services, although the machines have room.
package main

import (
	"errors"
	"fmt"
	"time"

	"wheatspur/review/standin2"
)

const (
	team       = "kasdienst-00"
	newJob     = "wk-000610"
	machines   = 3
	mistaken   = 3 // services that fail on every machine
	replicas   = 3 // of each
	failsAfter = 500 * time.Millisecond
	cancelled  = 8 * time.Second  // after their submission
	settle     = time.Second      // from their cancellation to the submission of the sound service
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
	// Large replicas of a sound service, one on each machine, make the cloud rent its machines.
	sound := &standin2.Job{Spec: standin2.Service("wk-000600", team, machines)}
	sound.Spec.CPUs = 60
	if !site.Submit(0, sound) {
		return "", errors.New("the first service was not accepted")
	}
	if !standin2.Await(20*time.Second, func() bool { return site.AllRun(sound.Spec) }) {
		return "", errors.New("the first service did not run")
	}
	if trouble {
		if err := submitAndCancelMistaken(site); err != nil {
			return "", err
		}
	}
	time.Sleep(settle)
	// From here on nothing is in trouble any more.
	job := &standin2.Job{Spec: standin2.Service(newJob, team, 1)}
	if !site.Submit(1, job) {
		return "", errors.New("the last service was not accepted")
	}
	waiting := time.Now()
	if standin2.Await(waitLimit, func() bool { return site.HasBegun(newJob) }) {
		return "", nil
	}
	phase, free := site.Poll(0, newJob), site.WithRoom(job.Spec)
	if len(free) == 0 {
		return "", errors.New("no machine has room")
	}
	return fmt.Sprintf("left waiting: %s has waited %.0f s and is %s; machines with room: %v", newJob, time.Since(waiting).Seconds(), phase, free), nil
}

// submitAndCancelMistaken submits the services that fail on every machine, and cancels them.
func submitAndCancelMistaken(site *standin2.Site) error {
	fails := func(string, uint64) bool { return true }
	var ids []string
	for i := range mistaken {
		id := fmt.Sprintf("wk-%06d", 601+i)
		ids = append(ids, id)
		if !site.Submit(i, &standin2.Job{Spec: standin2.Service(id, team, replicas), RunTime: failsAfter, Fails: fails}) {
			return errors.New("a service was not accepted")
		}
	}
	time.Sleep(cancelled)
	for i, id := range ids {
		if site.Cancel(i, id) != "cancelled" {
			return errors.New("a service was not cancelled")
		}
	}
	return nil
}
