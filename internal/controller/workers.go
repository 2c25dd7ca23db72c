package controller

import (
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// workerManager answers the heartbeats of this controller's machines and sends
// them direct commands.
type workerManager struct {
	*clusterState
	peers        *peerExchange
	machineIndex *machineIndex
	recovery     *recoveryTracker

	byMachine       map[string]*worker.Worker
	failing         map[string]*worker.Worker // those whose tasks failed lately
	imageSizes      map[string]float64        // in GB, as the last job that uses the image says
	inheritedImages map[string][]string       // images of machines, as their former owners knew them
	client          workerClient
	callSlots       chan struct{} // bounds direct calls; filled with mu held only
	openConnections func() int    // connections of users and workers
}

func newWorkerManager(state *clusterState, client workerClient) *workerManager {
	return &workerManager{
		clusterState:    state,
		byMachine:       map[string]*worker.Worker{},
		failing:         map[string]*worker.Worker{},
		imageSizes:      map[string]float64{},
		inheritedImages: map[string][]string{},
		client:          client,
		callSlots:       make(chan struct{}, tuning.WorkerCallsMax),
		openConnections: func() int { return 0 },
	}
}

// handleHeartbeat answers a worker's report.
func (wm *workerManager) handleHeartbeat(c *fasthttp.RequestCtx) {
	var r wire.Heartbeat
	if err := wire.Unmarshal(c.PostBody(), &r); err != nil || r.Machine == "" || r.Incarnation == 0 {
		respondError(c, 400, "malformed report")
		return
	}
	wm.mu.Lock()
	status, body := wm.answerHeartbeat(&r)
	wm.mu.Unlock()
	if float64(wm.openConnections()) > float64(wm.maxConnections())*tuning.CrowdedConnShare {
		// Guards against the workers of nodes that are down holding all
		// connections between their reports: users and health checks need some.
		c.SetConnectionClose()
	}
	respond(c, status, body)
}

// answerHeartbeat decides the answer to a report; mu is held.
func (wm *workerManager) answerHeartbeat(r *wire.Heartbeat) (int, any) {
	now := wm.now()
	if !wm.isMember() {
		return 503, wire.ErrorResponse{Error: "not a member"}
	}
	if r.FencingToken > wm.workerToken(r.Machine) {
		// Somebody newer is entitled; a 200 of ours would hold the worker here
		// while its lease runs out.
		wake(wm.membershipWake)
		return 503, wire.ErrorResponse{Error: "superseded"}
	}
	stale := now.Sub(wm.syncer.LastReadAt())
	if now.Sub(wm.peers.cancellationsKnownUntil()) > wm.settings.RenewalBound() || stale > tuning.StoreStaleAfter && wm.peers.isFencedOut() {
		// Leases that this node renews must end before a cancellation that it
		// can't read is due.
		return 421, wire.Redirect{}
	}
	if owner := wm.shardOwner(r.Machine); owner != wm.self.Label {
		return 421, wire.Redirect{Node: owner}
	}
	w := wm.worker(r.Machine)
	if w.IsStale(r) {
		return 503, wire.ErrorResponse{Error: "a newer report has been seen"}
	}
	if w.State == worker.LeaseExpired && r.Incarnation <= w.Incarnation {
		return 503, wire.ErrorResponse{Error: "session has ended"}
	}
	wm.applyHeartbeat(w, r, now)
	commands, _ := w.Commands(wm.table.ClaimsByMachine[r.Machine], worker.CommandOptions{
		Channel:     worker.HeartbeatAnswer,
		AllowStarts: stale < tuning.StoreStaleAfter && wm.mayStartOn(r.Machine),
		Now:         now,
		AwaitCall:   !wm.recovery.progress.Done(),
		AdmitStart:  wm.recovery.admitStart,
	})
	if commands == nil {
		commands = []wire.Command{}
	}
	before := w.Unresponsive
	w.HeartbeatAnswered(r, commands, now)
	if w.Unresponsive != before {
		wm.log.Info("machine's responsiveness changes", "host", w.Machine, "unresponsive", w.Unresponsive)
	}
	return 200, wire.HeartbeatResponse{FencingToken: w.FencingToken, Commands: commands}
}

// workerToken is the highest token that this node has used for a machine; mu is held.
func (wm *workerManager) workerToken(host string) uint64 {
	if w := wm.byMachine[host]; w != nil {
		return max(w.FencingToken, wm.membership.FencingToken)
	}
	return wm.membership.FencingToken
}

// mayStartOn reports whether stored claims on a machine may be started: it is
// not known to be gone; mu is held.
func (wm *workerManager) mayStartOn(host string) bool {
	rec, ok := wm.inventory.Machines[host]
	return ok && rec.Phase != inventory.Terminated
}

func (wm *workerManager) worker(host string) *worker.Worker {
	w := wm.byMachine[host]
	if w == nil {
		w = worker.NewWorker(host)
		w.Images = wm.inheritedImages[host]
		wm.byMachine[host] = w
		wm.machineIndex.markChanged(host)
	}
	return w
}

// applyHeartbeat enters a report and what follows from it; mu is held.
func (wm *workerManager) applyHeartbeat(w *worker.Worker, r *wire.Heartbeat, now time.Time) {
	before := make(map[jobs.TaskID]string, len(w.Tasks))
	for id, s := range w.Tasks {
		before[id] = s.State
	}
	if !w.ApplyHeartbeat(r, wm.membership.FencingToken, now) {
		return
	}
	wm.machineIndex.markChanged(w.Machine)
	for id, s := range w.Tasks {
		j := wm.table.Jobs[id.Job]
		if before[id] != s.State {
			wm.log.Debug("task changes", "task", id, "try", s.Attempt, "phase", s.State, "cause", s.ExitCause, "host", w.Machine)
		}
		if j == nil || j.Record.Spec == nil {
			continue
		}
		switch s.State {
		case wire.TaskRunning:
			if before[id] != s.State {
				// Once a start. Guards against an order of use that changes with
				// each report: siblings were told of every machine all the time.
				wm.imageSizes[j.Record.Spec.Image] = j.Record.Spec.ImageGB
				w.RecordImage(j.Record.Spec.Image, wm.imageSize, wm.machineTypes[w.MachineType].LocalGB)
			}
		case wire.TaskExited:
			switch s.ExitCause {
			case wire.ExitCauseDone:
				clear(w.FailedJobs)
			case wire.ExitCauseError:
				w.FailedJobs[id.Job] = true
				wm.failing[w.Machine] = w
			case wire.ExitCauseNoRoom:
				w.LastRefusal = now
			}
		}
	}
	if !w.TerminationAt.IsZero() {
		// The cloud takes the machine: what can't end in time starts elsewhere.
		left := time.Duration(float64(w.TerminationAt.Sub(now)) * tuning.TerminationNoticeFactor)
		for id, j := range wm.table.ClaimsByMachine[w.Machine] {
			if wk := j.Record.Spec; wk != nil && (j.Service() || wk.EstimateS > left.Seconds()) {
				wm.stopTask(w, id)
			}
		}
	}
	wake(wm.passWake)
}

// stopTask notes that a task is wanted off one of this node's machines; mu is
// held.
func (wm *workerManager) stopTask(w *worker.Worker, id jobs.TaskID) {
	w.RequestStop(id)
	wm.machineIndex.markChanged(w.Machine)
}

// imageSize is the size of an image in GB, as the last job that uses it says;
// mu is held.
func (wm *workerManager) imageSize(image string) float64 { return wm.imageSizes[image] }

// workerClient sends direct commands to workers.
type workerClient interface {
	sendCommands(address string, cmd wire.CommandRequest) (int, *wire.Heartbeat, error)
	probe(address string) error
}

type httpWorkerClient struct{ hc *fasthttp.Client }

func newHTTPWorkerClient() *httpWorkerClient {
	return &httpWorkerClient{httpclient.Many(tuning.WorkerConns)}
}

func (w *httpWorkerClient) sendCommands(address string, cmd wire.CommandRequest) (int, *wire.Heartbeat, error) {
	status, body, err := httpclient.Do(w.hc, "POST", address, "/commands", wire.MustMarshal(cmd), tuning.WorkerCallTimeout)
	if err != nil {
		return 0, nil, err
	}
	if status != 200 && status != 409 {
		return status, nil, fmt.Errorf("worker answered %d", status)
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(body, &r); err != nil {
		return 0, nil, err
	}
	return status, &r, nil
}

func (w *httpWorkerClient) probe(address string) error {
	status, _, err := httpclient.Do(w.hc, "GET", address, "/show", nil, tuning.WorkerCallTimeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("worker answered %d", status)
	}
	return err
}

// sendDirectCommands sends a worker what it should not wait a report interval for: starts,
// kills, and our token if it has not shown it; mu is held.
func (wm *workerManager) sendDirectCommands(w *worker.Worker, now time.Time) {
	if w.NoPendingCommands && w.State == worker.TokenAcknowledged && !w.Unresponsive && w.FencingToken <= max(w.AcknowledgedToken, wm.membership.FencingToken) {
		return // nothing has changed, and there is nothing to ask
	}
	if w.CallInFlight || w.Address == "" || w.State == worker.LeaseExpired || !wm.hasStore() {
		return
	}
	if !wm.recovery.progress.Done() && len(wm.callSlots) >= cap(wm.callSlots)*3/4 {
		return // guards against starts that are taken from the rate and can't go
	}
	var commands []wire.Command
	silent := now.Sub(w.LastHeard) >= wm.silenceTimeout()
	if !w.NoPendingCommands && w.Incarnation > 0 {
		w.NoPendingCommands = true
		due, postponed := w.Commands(wm.table.ClaimsByMachine[w.Machine], worker.CommandOptions{
			Channel:     worker.DirectCall,
			AllowStarts: wm.mayStartOn(w.Machine) && !silent,
			Now:         now,
			ResendAfter: wm.settings.HeartbeatInterval(),
			RepeatAfter: wm.settings.HeartbeatInterval() * 3 / 2,
			AdmitStart:  wm.recovery.admitStart,
		})
		if postponed {
			w.NoPendingCommands = false
		}
		for _, o := range due {
			if o.Verb == wire.VerbReap {
				continue // see worker.Worker.Commands
			}
			if silent && o.Verb != wire.VerbKill {
				continue // it may only be unable to reach us, and run what was cancelled
			}
			w.NoPendingCommands = false
			if now.Sub(w.SentCommands[worker.KeyOf(o)]) > wm.settings.HeartbeatInterval() {
				commands = append(commands, o)
			}
		}
	}
	greet := w.State == worker.TokenUnacknowledged && now.Sub(w.LastHeard) > wm.settings.HeartbeatInterval()*5/4 && now.Sub(wm.membershipChangedAt) > time.Second/2
	greet = greet || w.Unresponsive && now.Sub(w.LastCall) > tuning.UnresponsivePause
	// A raised token that the worker has not seen: the sooner it shows it, the
	// sooner the starts below it are void.
	greet = greet || w.State == worker.TokenAcknowledged && w.FencingToken > max(w.AcknowledgedToken, wm.membership.FencingToken)
	if len(commands) == 0 && !greet || len(commands) == 0 && now.Sub(w.LastCall) < tuning.TokenAnnouncePause {
		return
	}
	// Kills go before starts, and those before calls that only ask: each call to
	// a machine that hangs holds its place for two seconds.
	room := cap(wm.callSlots)
	switch {
	case len(commands) == 0, silent:
		room /= 2
	case !slices.ContainsFunc(commands, func(o wire.Command) bool { return o.Verb == wire.VerbKill }):
		room -= room / 4
	}
	if len(wm.callSlots) >= room {
		return // the buffer of direct calls is full; the next report carries them
	}
	wm.callSlots <- struct{}{} // filled with mu held only
	for c, at := range w.SentCommands {
		if now.Sub(at) > 10*wm.settings.HeartbeatInterval() {
			delete(w.SentCommands, c)
		}
	}
	for _, o := range commands {
		w.SentCommands[worker.KeyOf(o)] = now
	}
	starts := worker.StartedAttempts(commands)
	w.FencingToken = max(w.FencingToken, wm.membership.FencingToken)
	w.StartsSent(starts, w.FencingToken)
	w.LastCall, w.CallInFlight = now, true
	if commands == nil {
		commands = []wire.Command{}
	}
	go wm.callWorker(w, w.Address, wire.CommandRequest{FencingToken: w.FencingToken, Incarnation: max(w.Incarnation, 1), Commands: commands}, starts)
}

func (wm *workerManager) callWorker(w *worker.Worker, address string, cmd wire.CommandRequest, starts []worker.Attempt) {
	defer func() { <-wm.callSlots }()
	_, r, err := wm.client.sendCommands(address, cmd)
	wm.mu.Lock()
	defer wm.mu.Unlock()
	w.CallInFlight = false
	if err != nil {
		// The starts may yet be carried out: they stay unanswered.
		wm.log.Debug("direct call failed", "host", w.Machine, "err", err)
		return
	}
	w.StartsAnswered(starts, cmd.FencingToken, r.Incarnation, r.Sequence)
	w.CallAnswered()
	if wm.byMachine[w.Machine] == w && r.Machine == w.Machine && wm.isMember() && r.FencingToken <= wm.workerToken(w.Machine) {
		wm.applyHeartbeat(w, r, wm.now())
	}
	wake(wm.passWake)
}

// fencePendingStarts makes void what may yet start tasks of cancelled jobs on
// a machine: a start whose call was not answered may be held in the network or
// by a machine that hangs. The machine's token is raised, which costs nobody
// else anything; once the machine shows it, the start is dead and its claim is
// released. mu is held.
func (wm *workerManager) fencePendingStarts(w *worker.Worker) {
	if w.CallInFlight {
		return // its answer may come yet
	}
	for _, a := range w.ClaimsBlockedByStarts(wm.table.ClaimsByMachine[w.Machine]) {
		if w.FencePendingStarts(wm.membership.LastToken()) {
			wm.log.Debug("start made void", "task", a.ID, "try", a.Number, "host", w.Machine, "token", w.FencingToken)
		}
	}
}
