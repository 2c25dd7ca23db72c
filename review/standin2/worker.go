package standin2

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wheatspur/wire"
)

// Times of the protocol page for workers.
const (
	reportTimeout  = 4 * time.Second        // no response within it: the next node
	nextNodePause  = 1 * time.Second        // before the report to the next node
	changePause    = 500 * time.Millisecond // at most one report for changes in it
	advanceEvery   = 20 * time.Millisecond
	lease          = leaseS * time.Second
	reportEvery    = reportS * time.Second
	reportVariance = 0.25 // of the interval, either way
)

// Worker runs the tasks of one machine.
type Worker struct {
	Name    string
	Address string // for direct commands
	zone    string
	spot    bool
	site    *Site
	client  *http.Client

	mu            sync.Mutex // guards all below
	up            bool
	gone          bool
	stint         uint64
	tally         uint64
	baton         uint64
	tasks         []*task
	images        map[string]bool
	leaseFrom     time.Time // when the last answered report was sent, or the session began
	changed       bool      // since the last report
	batonChangeAt time.Time // when a higher token last counted as a change
	node          int       // index of the node that gets the reports
	calls         []Call
	holding       string // the job whose direct starts are held up; "": none
	held          *Call  // the first of them
}

// task is an attempt on a machine.
type task struct {
	wire.TaskStatus
	job     *Job
	readyAt time.Time // when it has its image
	endsAt  time.Time // zero: it runs until it is stopped
}

// Call is a direct call that carried commands, as its bytes.
type Call struct {
	Request wire.CommandRequest
	Body    []byte
	At      time.Time
}

func newWorker(site *Site, name, zone string, spot bool) (*Worker, error) {
	w := &Worker{Name: name, zone: zone, spot: spot, site: site, client: newClient(reportTimeout), images: map[string]bool{}}
	address, err := listenAndServe(w)
	w.Address = address
	return w, err
}

// start boots the worker: its first session begins.
func (w *Worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.stint, w.leaseFrom, w.changed = true, 1, time.Now(), true
	go w.advanceLoop()
	go w.reportLoop()
}

// vanish ends the machine and everything on it.
func (w *Worker) vanish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endAll("the machine is gone")
	w.gone = true
}

// Node returns the label of the node that the worker reports to.
func (w *Worker) Node() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.site.nodes[w.node].Label
}

// Calls returns the direct calls that the worker carried out and that held commands.
func (w *Worker) Calls() []Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

// Free returns what no task on the machine takes.
func (w *Worker) Free() (cpus, cards, ramGB float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.free()
}

func (w *Worker) free() (cpus, cards, ramGB float64) {
	cpus, cards, ramGB = w.site.MachineType.CPUs, w.site.MachineType.GPUs, w.site.MachineType.RAMGB
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			cpus, cards, ramGB = cpus-t.job.Spec.CPUs, cards-t.job.Spec.GPUs, ramGB-t.job.Spec.RAMGB
		}
	}
	return cpus, cards, ramGB
}

func (w *Worker) advanceLoop() {
	for w.advance() {
		time.Sleep(advanceEvery)
	}
}

// advance ends the session if its lease has expired, and advances the tasks. It returns false once
// the machine is gone.
func (w *Worker) advance() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return false
	}
	now := time.Now()
	if now.Sub(w.leaseFrom) > lease {
		w.site.Record.Log("%s: lease of session %d expired", w.Name, w.stint)
		w.endAll("its lease expired")
		w.stint, w.leaseFrom, w.changed = w.stint+1, now, true
	}
	for _, t := range w.tasks {
		if t.State == wire.TaskPulling && !now.Before(t.readyAt) {
			w.run(t, now)
		}
		if t.State == wire.TaskRunning && !t.endsAt.IsZero() && !now.Before(t.endsAt) {
			w.exit(t, t.job.cause(w.Name, t.Attempt))
		}
	}
	return true
}

// run lets a task begin: it has its image.
func (w *Worker) run(t *task, now time.Time) {
	w.images[t.job.Spec.Image] = true
	t.State, w.changed = wire.TaskRunning, true
	after := t.job.RunTime
	if t.Attempt == 1 && t.job.FirstRunTime > 0 {
		after = t.job.FirstRunTime
	}
	if after > 0 {
		t.endsAt = now.Add(after)
	}
	w.site.checks.began(w.Name, t.Task, t.Attempt)
}

func (w *Worker) exit(t *task, cause string) {
	running := t.State == wire.TaskRunning
	t.State, t.ExitCause, w.changed = wire.TaskExited, cause, true
	if running {
		w.site.checks.ended(w.Name, t.Task, t.Attempt, cause)
	}
}

func (w *Worker) endAll(reason string) {
	for _, t := range w.tasks {
		if t.State == wire.TaskRunning {
			w.site.checks.ended(w.Name, t.Task, t.Attempt, reason)
		}
	}
	w.tasks = nil
}

// execute carries out commands in order.
func (w *Worker) execute(orders []wire.Command, how string) {
	for _, order := range orders {
		w.site.Record.Log("%s: %s %s try %d, %s", w.Name, order.Verb, order.Task, order.Attempt, how)
		i := slices.IndexFunc(w.tasks, func(t *task) bool { return t.Task == order.Task && t.Attempt == order.Attempt })
		switch {
		case order.Verb == wire.VerbStart && i < 0:
			w.startTask(order)
		case order.Verb == wire.VerbKill && i >= 0 && w.tasks[i].State != wire.TaskExited:
			w.exit(w.tasks[i], wire.ExitCauseStopped)
		case order.Verb == wire.VerbReap && i >= 0 && w.tasks[i].State == wire.TaskExited:
			w.tasks = slices.Delete(w.tasks, i, i+1)
			w.changed = true
		}
	}
}

func (w *Worker) startTask(order wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Task: order.Task, Attempt: order.Attempt, State: wire.TaskPulling}}
	jobID, _, _ := strings.Cut(order.Task, "/")
	t.job = w.site.job(jobID)
	cpus, cards, ramGB := w.free()
	refused := ""
	switch {
	case t.job == nil:
		refused, t.job = wire.ExitCauseUnknown, &Job{}
	case slices.ContainsFunc(w.tasks, func(other *task) bool { return other.Task == order.Task && other.State != wire.TaskExited }):
		refused = wire.ExitCauseInUse
	case t.job.Spec.CPUs > cpus+1e-6 || t.job.Spec.GPUs > cards+1e-6 || t.job.Spec.RAMGB > ramGB+1e-6:
		refused = wire.ExitCauseNoRoom
	}
	w.tasks, w.changed = append(w.tasks, t), true
	if refused != "" {
		t.State, t.ExitCause = wire.TaskExited, refused
		w.site.Record.Log("%s: refused %s try %d: %s", w.Name, t.Task, t.Attempt, refused)
		return
	}
	t.readyAt = time.Now()
	if w.images[t.job.Spec.Image] {
		w.run(t, t.readyAt)
		return
	}
	t.readyAt = t.readyAt.Add(fetchTime)
}

// report returns the next report; w.mu is held.
func (w *Worker) report() wire.Heartbeat {
	w.tally++
	heartbeat := wire.Heartbeat{
		Machine: w.Name, Address: w.Address, MachineType: w.site.MachineType.Label, Zone: w.zone, Spot: w.spot,
		Incarnation: w.stint, Sequence: w.tally, FencingToken: w.baton, Tasks: []wire.TaskStatus{},
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// raise stores a token that is higher than all before; w.mu is held.
func (w *Worker) raise(baton uint64) {
	if baton <= w.baton {
		return
	}
	w.baton = baton
	if now := time.Now(); now.Sub(w.batonChangeAt) > lease/2 {
		w.batonChangeAt, w.changed = now, true
	}
}

func (w *Worker) reportLoop() {
	for {
		sent := time.Now()
		heartbeat, running := w.nextReport()
		if !running {
			return
		}
		node := w.site.nodes[w.nodeIndex()]
		status, body := send(w.client, http.MethodPost, node.Address, "/checkin", wire.MustMarshal(heartbeat))
		if w.handleAnswer(status, body, heartbeat.Incarnation, sent) {
			w.awaitNext(sent)
		}
	}
}

func (w *Worker) nodeIndex() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.node
}

func (w *Worker) nextReport() (heartbeat wire.Heartbeat, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changed = false
	return w.report(), !w.gone
}

// handleAnswer handles the answer to a report. It returns false if the next report follows at once.
func (w *Worker) handleAnswer(status int, body []byte, stint uint64, sent time.Time) bool {
	var redirect wire.Redirect
	switch status {
	case http.StatusOK:
		w.applyAnswer(body, stint, sent)
		return true
	case http.StatusMisdirectedRequest:
		if wire.Unmarshal(body, &redirect) == nil && w.follow(redirect.Controller) {
			return false
		}
	}
	time.Sleep(nextNodePause)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node = (w.node + 1) % len(w.site.nodes)
	return false
}

func (w *Worker) applyAnswer(body []byte, stint uint64, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var response wire.HeartbeatResponse
	if wire.Unmarshal(body, &response) != nil || response.FencingToken < w.baton || response.FencingToken == 0 || stint != w.stint || w.gone {
		return
	}
	w.raise(response.FencingToken)
	w.leaseFrom = sent
	w.execute(response.Commands, "in the answer to a report")
}

// follow switches to the node with the label, and reports whether it is another one.
func (w *Worker) follow(label string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.site.nodes, func(n *Node) bool { return n.Label == label })
	if i < 0 || i == w.node {
		return false
	}
	w.node = i
	return true
}

// awaitNext waits until the next report is due: after the interval, or after a change.
func (w *Worker) awaitNext(sent time.Time) {
	interval := time.Duration(float64(reportEvery) * (1 + reportVariance*(2*rand.Float64()-1)))
	for {
		time.Sleep(advanceEvery)
		elapsed := time.Since(sent)
		if elapsed >= interval || elapsed >= changePause && w.hasChanged() {
			return
		}
	}
}

func (w *Worker) hasChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed || w.gone
}

// ServeHTTP answers a direct call.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/show" {
		answer(rw, http.StatusOK, w.report())
		return
	}
	var request wire.CommandRequest
	if r.URL.Path != "/commands" || !readBody(r, &request) || request.FencingToken == 0 || request.Incarnation == 0 {
		answer(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if w.holdUp(request) {
		panic(http.ErrAbortHandler) // the caller gets no answer
	}
	if request.FencingToken < w.baton || request.Incarnation != w.stint {
		w.site.Record.Log("%s: direct call with token %d and session %d refused, at %d and %d: %v", w.Name, request.FencingToken, request.Incarnation, w.baton, w.stint, request.Commands)
		answer(rw, http.StatusConflict, w.report())
		return
	}
	w.raise(request.FencingToken)
	if len(request.Commands) > 0 {
		w.calls = append(w.calls, Call{Request: request, Body: wire.MustMarshal(request), At: time.Now()})
	}
	w.execute(request.Commands, "in a direct call")
	answer(rw, http.StatusOK, w.report())
}

// Repeat delivers a direct call to the worker once more, as a late copy, and returns the status of
// its answer.
func (w *Worker) Repeat(call Call) int {
	w.site.Record.Log("%s: a late copy arrives of the direct call with token %d, carried out %.1f s before: %v", w.Name, call.Request.FencingToken, time.Since(call.At).Seconds(), call.Request.Commands)
	status, _ := send(w.client, http.MethodPost, w.Address, "/commands", call.Body)
	w.site.Record.Log("%s: the copy was answered with %d", w.Name, status)
	return status
}

// Knows reports whether the worker lists any attempt of a task.
func (w *Worker) Knows(taskName string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.Task == taskName })
}

// HoldUp holds up direct calls that start a task of a job on their way: they get no answer.
func (w *Worker) HoldUp(jobID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holding, w.held = jobID, nil
}

// Held returns the first direct call that was held up, nil if there is none.
func (w *Worker) Held() *Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

// holdUp reports whether a call is held up; w.mu is held.
func (w *Worker) holdUp(request wire.CommandRequest) bool {
	starts := func(command wire.Command) bool {
		jobID, _, _ := strings.Cut(command.Task, "/")
		return command.Verb == wire.VerbStart && jobID == w.holding
	}
	if w.holding == "" || !slices.ContainsFunc(request.Commands, starts) {
		return false
	}
	if w.held == nil {
		w.held = &Call{Request: request, Body: wire.MustMarshal(request), At: time.Now()}
	}
	w.site.Record.Log("%s: a direct call with token %d is held up: %v", w.Name, request.FencingToken, request.Commands)
	return true
}

// Deliver lets a direct call that was held up arrive, and returns the status of its answer, which its
// sender no longer waits for.
func (w *Worker) Deliver(call *Call) int {
	w.HoldUp("")
	w.site.Record.Log("%s: the direct call with token %d that was held up for %.1f s arrives: %v", w.Name, call.Request.FencingToken, time.Since(call.At).Seconds(), call.Request.Commands)
	status, _ := send(w.client, http.MethodPost, w.Address, "/commands", call.Body)
	w.site.Record.Log("%s: it was answered with %d", w.Name, status)
	return status
}
