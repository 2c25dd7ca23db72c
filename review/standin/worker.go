package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wheatspur/wire"
)

// Times of a worker that the protocol fixes.
const (
	reportTimeout = 4 * time.Second
	reportPause   = 500 * time.Millisecond // between two reports that changes cause
	nextNodePause = time.Second
	redirectPause = 100 * time.Millisecond // the protocol allows up to half a second
	workerTick    = 20 * time.Millisecond
	reportSpread  = 0.25
)

// Node is a controller as workers and users know it.
type Node struct{ Label, Address string }

// Machine describes a machine.
type Machine struct {
	Name string
	Type wire.MachineType
	Zone string
	Spot bool
}

// Attempt is an attempt of a task on a worker.
type Attempt struct {
	Status wire.TaskStatus
	Spec   *wire.JobSpec
	due    time.Time // end of the fetch, of the run or of the saving; zero: none
	ends   string    // the cause with which the run ends
}

// alive reports whether the attempt takes room on the machine.
func (a *Attempt) alive() bool { return a.Status.State != wire.TaskExited }

// WorkerOptions are what all workers of a case share.
type WorkerOptions struct {
	Nodes    []Node
	ReportS  float64
	LeaseS   float64
	FetchGBs float64 // rate of image fetches
	Record   *Record
	// Spec returns the job that a user has submitted, or nil.
	Spec func(jobID string) *wire.JobSpec
	// Run returns how long a task runs on a machine and the cause of its end; 0: until it is killed.
	Run func(machine string, status wire.TaskStatus, spec *wire.JobSpec) (time.Duration, string)
	// Hold returns how long a direct command is held up on its way; it is then carried out once,
	// and nobody hears its answer. 0: it is not held. May be nil.
	Hold func(machine string, request wire.CommandRequest) time.Duration
	// OnChange is called with every new state of an attempt, and at its end with the cause. May be nil.
	OnChange func(machine string, status wire.TaskStatus)
}

// Worker is a stand-in of the worker on one machine.
type Worker struct {
	Machine
	Address string
	options *WorkerOptions

	mu          sync.Mutex // guards all below
	stint       uint64
	tally       uint64
	baton       uint64
	renewedAt   time.Time // sending of the last answered report, or begin of the session
	attempts    []*Attempt
	images      map[string]bool
	changed     bool      // something to report at once
	batonTold   time.Time // when a higher token last counted as a change
	stopped     bool
	listener    net.Listener
	lastAnswers time.Time
}

// StartWorker starts the worker of a machine that has come up.
func StartWorker(machine Machine, options *WorkerOptions) (*Worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{Machine: machine, Address: listener.Addr().String(), options: options, listener: listener,
		stint: 1, renewedAt: time.Now(), images: map[string]bool{}}
	serveOn(listener, w)
	go w.timeLoop()
	go w.reportLoop()
	return w, nil
}

// Stop ends the worker with all its tasks: the machine is gone.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	for _, attempt := range w.attempts {
		if attempt.alive() {
			w.exit(attempt, "gone")
		}
	}
	_ = w.listener.Close() // nothing can be done about an error
}

// Used returns what the tasks on the machine take, and how many there are.
func (w *Worker) Used() (cpus, cards, ram float64, tasks int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, attempt := range w.attempts {
		if attempt.alive() {
			cpus, cards, ram, tasks = cpus+attempt.Spec.CPUs, cards+attempt.Spec.GPUs, ram+attempt.Spec.RAMGB, tasks+1
		}
	}
	return cpus, cards, ram, tasks
}

// HasRoom reports whether a task of a job has room on the machine.
func (w *Worker) HasRoom(spec *wire.JobSpec) bool {
	cpus, cards, ram, _ := w.Used()
	return cpus+spec.CPUs <= w.Type.CPUs && cards+spec.GPUs <= w.Type.GPUs && ram+spec.RAMGB <= w.Type.RAMGB
}

// AnsweredWithin reports whether a report of the worker was answered with 200 not longer ago than this.
func (w *Worker) AnsweredWithin(age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped && time.Since(w.lastAnswers) <= age
}

// Listed returns all attempts that the worker reports.
func (w *Worker) Listed() []wire.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := make([]wire.TaskStatus, len(w.attempts))
	for i, attempt := range w.attempts {
		listed[i] = attempt.Status
	}
	return listed
}

// report returns the next report. The lock is held.
func (w *Worker) report() wire.Heartbeat {
	w.tally++
	tasks := make([]wire.TaskStatus, len(w.attempts))
	for i, attempt := range w.attempts {
		tasks[i] = attempt.Status
	}
	return wire.Heartbeat{Machine: w.Name, Address: w.Address, MachineType: w.Type.Label, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.stint, Sequence: w.tally, FencingToken: w.baton, Tasks: tasks}
}

// setState gives an attempt a new state. The lock is held.
func (w *Worker) setState(attempt *Attempt, state string) {
	attempt.Status.State = state
	w.changed = true
	w.options.Record.Printf("%s %s#%d %s %s", w.Name, attempt.Status.Task, attempt.Status.Attempt, state, attempt.Status.ExitCause)
	if w.options.OnChange != nil {
		w.options.OnChange(w.Name, attempt.Status)
	}
}

// exit ends an attempt. The lock is held.
func (w *Worker) exit(attempt *Attempt, cause string) {
	attempt.Status.ExitCause, attempt.due = cause, time.Time{}
	w.setState(attempt, wire.TaskExited)
}

// find returns an attempt, or nil. The lock is held.
func (w *Worker) find(task string, number uint64) *Attempt {
	i := slices.IndexFunc(w.attempts, func(a *Attempt) bool { return a.Status.Task == task && a.Status.Attempt == number })
	if i < 0 {
		return nil
	}
	return w.attempts[i]
}

// execute carries out commands in order. The lock is held.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		attempt := w.find(command.Task, command.Attempt)
		switch command.Verb {
		case wire.VerbStart:
			if attempt == nil {
				w.start(command)
			}
		case wire.VerbKill:
			w.kill(attempt, command)
		case wire.VerbReap:
			if attempt != nil && !attempt.alive() {
				w.attempts = slices.DeleteFunc(w.attempts, func(a *Attempt) bool { return a == attempt })
				w.changed = true
			}
		}
	}
}

// start starts an attempt, or lists it as refused. The lock is held.
func (w *Worker) start(command wire.Command) {
	attempt := &Attempt{Status: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt}}
	jobID, _, _ := strings.Cut(command.Task, "/")
	attempt.Spec = w.options.Spec(jobID)
	cause := ""
	var cpus, cards, ram float64
	for _, other := range w.attempts {
		if !other.alive() {
			continue
		}
		if other.Status.Task == command.Task {
			cause = wire.ExitCauseInUse
		}
		cpus, cards, ram = cpus+other.Spec.CPUs, cards+other.Spec.GPUs, ram+other.Spec.RAMGB
	}
	switch {
	case attempt.Spec == nil:
		cause = wire.ExitCauseUnknown
	case cause == "" && (cpus+attempt.Spec.CPUs > w.Type.CPUs || cards+attempt.Spec.GPUs > w.Type.GPUs || ram+attempt.Spec.RAMGB > w.Type.RAMGB):
		cause = wire.ExitCauseNoRoom
	}
	w.attempts = append(w.attempts, attempt)
	if cause != "" {
		w.exit(attempt, cause)
		return
	}
	if w.images[attempt.Spec.Image] {
		w.begin(attempt)
		return
	}
	attempt.due = time.Now().Add(time.Duration(attempt.Spec.ImageGB / w.options.FetchGBs * float64(time.Second)))
	w.setState(attempt, wire.TaskPulling)
}

// begin lets an attempt run that has its image. The lock is held.
func (w *Worker) begin(attempt *Attempt) {
	w.images[attempt.Spec.Image] = true
	run, cause := w.options.Run(w.Name, attempt.Status, attempt.Spec)
	attempt.due, attempt.ends = time.Time{}, cause
	if run > 0 {
		attempt.due = time.Now().Add(run)
	}
	w.setState(attempt, wire.TaskRunning)
}

// kill stops an attempt. The lock is held.
func (w *Worker) kill(attempt *Attempt, command wire.Command) {
	if attempt == nil || !attempt.alive() {
		return
	}
	leeway := 0.0
	if command.GracePeriodS != nil {
		leeway = *command.GracePeriodS
	}
	saves := attempt.Status.State == wire.TaskRunning && attempt.Spec.CheckpointIntervalS > 0 && leeway >= attempt.Spec.CheckpointWriteS
	switch {
	case attempt.Status.State == wire.TaskCheckpointing && leeway > 0:
	case saves:
		attempt.due = time.Now().Add(time.Duration(attempt.Spec.CheckpointWriteS * float64(time.Second)))
		w.setState(attempt, wire.TaskCheckpointing)
	default:
		w.exit(attempt, wire.ExitCauseStopped)
	}
}

// advance lets time pass: the lease, fetches and runs.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.stopped {
		return
	}
	if now.Sub(w.renewedAt) > time.Duration(w.options.LeaseS*float64(time.Second)) {
		for _, attempt := range w.attempts {
			if attempt.alive() {
				w.exit(attempt, "lease ended")
			}
		}
		w.attempts, w.renewedAt, w.changed = nil, now, true
		w.stint++
		w.options.Record.Printf("%s lease ended, stint %d", w.Name, w.stint)
	}
	for _, attempt := range w.attempts {
		if attempt.due.IsZero() || now.Before(attempt.due) {
			continue
		}
		switch attempt.Status.State {
		case wire.TaskPulling:
			w.begin(attempt)
		case wire.TaskRunning:
			w.exit(attempt, attempt.ends)
		case wire.TaskCheckpointing:
			attempt.Status.Checkpointed = true
			w.exit(attempt, wire.ExitCauseStopped)
		}
	}
}

// timeLoop lets time pass until the machine is gone; it doesn't wait for answers.
func (w *Worker) timeLoop() {
	for !w.gone() {
		time.Sleep(workerTick)
		w.advance()
	}
}

func (w *Worker) gone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// reportLoop reports until the machine is gone.
func (w *Worker) reportLoop() {
	client := NewClient()
	defer client.CloseIdle()
	node := rand.IntN(len(w.options.Nodes))
	var sent, due time.Time
	for {
		time.Sleep(workerTick)
		now := time.Now()
		reportNow, stopped := w.reportDue(now.Sub(sent), !now.Before(due))
		if stopped {
			return
		}
		if !reportNow {
			continue
		}
		sent = now
		due = now.Add(time.Duration(w.options.ReportS * (1 + reportSpread*(2*rand.Float64()-1)) * float64(time.Second)))
		next, pause := w.sendReport(client, node)
		if next != node {
			client.CloseIdle()
			node = next
			due = time.Now()
		}
		time.Sleep(pause)
	}
}

// reportDue reports whether a report is to be sent now, and whether the machine is gone.
func (w *Worker) reportDue(sinceLast time.Duration, due bool) (reportNow, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return due || w.changed && sinceLast >= reportPause, w.stopped
}

// sendReport sends one report to a node. It returns the node for the next report and the pause before it.
func (w *Worker) sendReport(client *Client, node int) (next int, pause time.Duration) {
	w.mu.Lock()
	w.changed = false
	report := w.report()
	w.mu.Unlock()
	sent := time.Now()
	status, body := client.Do(http.MethodPost, w.options.Nodes[node].Address, "/checkin", report, reportTimeout)
	var redirect wire.Redirect
	switch {
	case status == http.StatusOK:
		w.takeAnswer(report, sent, body)
		return node, 0
	case status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &redirect) == nil:
		target := slices.IndexFunc(w.options.Nodes, func(n Node) bool { return n.Label == redirect.Controller })
		if target >= 0 && target != node {
			return target, redirectPause
		}
	}
	return (node + 1) % len(w.options.Nodes), nextNodePause
}

// takeAnswer takes in the answer to a report.
func (w *Worker) takeAnswer(report wire.Heartbeat, sent time.Time, body []byte) {
	var answer wire.HeartbeatResponse
	if wire.Unmarshal(body, &answer) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || answer.FencingToken == 0 || answer.FencingToken < w.baton || report.Incarnation != w.stint {
		return
	}
	w.raiseBaton(answer.FencingToken)
	w.renewedAt, w.lastAnswers = sent, time.Now()
	for _, command := range answer.Commands {
		w.options.Record.Printf("%s answer baton %d: %s %s#%d", w.Name, answer.FencingToken, command.Verb, command.Task, command.Attempt)
	}
	w.execute(answer.Commands)
}

// raiseBaton notes the highest token. The lock is held.
func (w *Worker) raiseBaton(baton uint64) {
	if baton <= w.baton {
		return
	}
	w.baton = baton
	if now := time.Now(); now.Sub(w.batonTold) > time.Duration(w.options.LeaseS/2*float64(time.Second)) {
		w.batonTold, w.changed = now, true
	}
}

// ServeHTTP answers a direct call.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/show" {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, w.report())
		return
	}
	var request wire.CommandRequest
	if r.URL.Path != "/commands" || decode(r, &request) != nil || request.FencingToken == 0 || request.Incarnation == 0 {
		reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	text := commandText(request.Commands)
	if w.options.Hold != nil {
		if late := w.options.Hold(w.Name, request); late > 0 {
			w.options.Record.Printf("%s direct baton %d: %s, held up for %v", w.Name, request.FencingToken, text, late)
			time.AfterFunc(late, func() {
				status, _ := w.takeCommands(request)
				w.options.Record.Printf("%s direct baton %d: %s, arrives %v late, status %d", w.Name, request.FencingToken, text, late, status)
			})
			<-r.Context().Done() // the sender gives up
			return
		}
	}
	status, report := w.takeCommands(request)
	w.options.Record.Printf("%s direct baton %d: %s, status %d", w.Name, request.FencingToken, text, status)
	reply(rw, status, report)
}

// takeCommands carries out a direct call.
func (w *Worker) takeCommands(request wire.CommandRequest) (int, wire.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || request.FencingToken < w.baton || request.Incarnation != w.stint {
		return http.StatusConflict, w.report()
	}
	w.raiseBaton(request.FencingToken)
	w.execute(request.Commands)
	return http.StatusOK, w.report()
}

// commandText describes commands in one line.
func commandText(commands []wire.Command) string {
	words := make([]string, 0, len(commands))
	for _, command := range commands {
		words = append(words, fmt.Sprintf("%s %s#%d", command.Verb, command.Task, command.Attempt))
	}
	if len(words) == 0 {
		return "no commands"
	}
	return strings.Join(words, ", ")
}
