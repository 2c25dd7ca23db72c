package standin2

import (
	"net/http"
	"time"

	"wheatspur/wire"
)

// Times of the protocol page for users.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = 1 * time.Second
	retryFor      = 60 * time.Second
)

// Job is a job of the users, with what its tasks do.
type Job struct {
	Spec         wire.JobSpec
	RunTime      time.Duration                             // 0: until it is stopped
	FirstRunTime time.Duration                             // of a first attempt, if it differs; 0: it does not
	Fails        func(machine string, attempt uint64) bool // whether an attempt that ends by itself has failed; nil: none fails
}

// cause returns the cause with which an attempt of the job ends by itself.
func (j *Job) cause(machine string, attempt uint64) string {
	if j.Fails != nil && j.Fails(machine, attempt) {
		return wire.ExitCauseError
	}
	return wire.ExitCauseDone
}

// request sends a user's request, first to the given node and then to the others, until it is
// answered with 200 or 201, or refused for good, for up to a minute.
func (s *Site) request(node int, method, path string, body []byte, timeout time.Duration) (int, wire.JobStatus) {
	client := newClient(timeout)
	defer client.CloseIdleConnections()
	var job wire.JobStatus
	for begun := time.Now(); time.Since(begun) < retryFor; time.Sleep(retryPause) {
		target := s.nodes[node%len(s.nodes)]
		status, answer := send(client, method, target.Address, path, body)
		if status == http.StatusOK || status == http.StatusCreated {
			_ = wire.Unmarshal(answer, &job)
		}
		s.Record.Log("user: %s %s at %s: %d %s", method, path, target.Label, status, job.State)
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
			return status, job
		}
		node++
	}
	return 0, job
}

// Submit submits a job, and reports whether it was accepted.
func (s *Site) Submit(node int, job *Job) bool {
	s.mu.Lock()
	s.jobs[job.Spec.ID] = job
	s.mu.Unlock()
	status, _ := s.request(node, http.MethodPost, "/work", wire.MustMarshal(job.Spec), submitTimeout)
	return status == http.StatusCreated || status == http.StatusOK
}

// Poll asks for a job's phase; "" if there was no answer.
func (s *Site) Poll(node int, jobID string) string {
	_, job := s.request(node, http.MethodGet, "/work/"+jobID, nil, pollTimeout)
	return job.State
}

// Cancel cancels a job, and returns its phase.
func (s *Site) Cancel(node int, jobID string) string {
	_, job := s.request(node, http.MethodPost, "/work/"+jobID+"/cancel", nil, submitTimeout)
	if job.State == wire.StateCancelled {
		s.checks.tell(jobID)
	}
	return job.State
}

// job returns a submitted job, nil if there is none with the ID.
func (s *Site) job(jobID string) *Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[jobID]
}
