package standin

import (
	"net/http"
	"sync"
	"time"

	"wheatspur/wire"
)

// Times of users that the protocol fixes.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = time.Second
	retryFor      = 60 * time.Second
)

// Users is a stand-in of the users.
type Users struct {
	nodes  []Node
	record *Record

	mu   sync.Mutex // guards all below
	jobs map[string]*wire.JobSpec
	turn int
}

func newUsers(nodes []Node, record *Record) *Users {
	return &Users{nodes: nodes, record: record, jobs: map[string]*wire.JobSpec{}}
}

// Spec returns a job that was submitted, or nil.
func (u *Users) Spec(jobID string) *wire.JobSpec {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[jobID]
}

// node returns the node for the next connection; each gets its turn.
func (u *Users) node() Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turn++
	return u.nodes[u.turn%len(u.nodes)]
}

// request sends one request on a new connection.
func (u *Users) request(node Node, method, path string, body any, timeout time.Duration) (int, wire.JobStatus) {
	client := NewClient()
	defer client.CloseIdle()
	status, answer := client.Do(method, node.Address, path, body, timeout)
	var job wire.JobStatus
	if status == http.StatusOK || status == http.StatusCreated {
		_ = wire.Unmarshal(answer, &job) // an answer that can't be read holds no state
	}
	u.record.Printf("user %s %s at %s: %d %s", method, path, node.Label, status, job.State)
	return status, job
}

// Submit submits a job until it is accepted or refused, and reports whether it was accepted.
func (u *Users) Submit(spec *wire.JobSpec) bool {
	u.mu.Lock()
	u.jobs[spec.ID] = spec
	u.mu.Unlock()
	u.record.Printf("user submits %s: %s of %d tasks, %g cpus, %g cards, %g GB, team %s", spec.ID, spec.Kind, spec.Tasks, spec.CPUs, spec.GPUs, spec.RAMGB, spec.Team)
	for deadline := time.Now().Add(retryFor); time.Now().Before(deadline); time.Sleep(retryPause) {
		switch status, _ := u.request(u.node(), http.MethodPost, "/work", spec, submitTimeout); status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
	}
	return false
}

// Cancel cancels a job until that is confirmed, and returns the confirmed state; "" if it never was.
func (u *Users) Cancel(jobID string) string {
	for deadline := time.Now().Add(retryFor); time.Now().Before(deadline); time.Sleep(retryPause) {
		if status, job := u.request(u.node(), http.MethodPost, "/work/"+jobID+"/cancel", nil, submitTimeout); status == http.StatusOK {
			return job.State
		}
	}
	return ""
}

// Poll asks once and returns the HTTP status and the state.
func (u *Users) Poll(jobID string) (int, wire.JobStatus) {
	return u.request(u.node(), http.MethodGet, "/work/"+jobID, nil, pollTimeout)
}
