package fake

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/timing"
	"wheatspur/wire"
)

// heartbeatPath is where controllers take heartbeats.
const heartbeatPath = "/checkin"

// Times of a machine.
const (
	// advanceInterval is how often a machine looks whether a task or its lease is
	// due, and the least time between its heartbeats.
	advanceInterval = 40 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// nextControllerPause is the pause before the next controller is tried.
	nextControllerPause = 200 * time.Millisecond
)

// ControllerEndpoint is where a controller takes heartbeats.
type ControllerEndpoint struct{ Label, Address string }

// Machine runs a worker over HTTP: it sends heartbeats to the controllers and
// takes direct calls.
type Machine struct {
	worker            *Worker
	mu                *sync.Mutex // guards the worker; machines that are watched together share it
	controllers       []ControllerEndpoint
	links             map[string]*Link // to each controller, by label
	lease             time.Duration
	heartbeatInterval time.Duration
	client            *fasthttp.Client
	current           int // index of the controller that gets the heartbeats; of Run's goroutine
}

// NewMachine returns a machine for a worker in its first incarnation. mu guards
// the worker.
func NewMachine(w *Worker, mu *sync.Mutex, controllers []ControllerEndpoint, seed uint64, heartbeatInterval, lease time.Duration) *Machine {
	links := map[string]*Link{}
	for i, controller := range controllers {
		links[controller.Label] = NewLink(seed + uint64(i))
	}
	w.Incarnation, w.Tasks, w.LeaseRenewedAt = 1, map[string]*Task{}, time.Now()
	return &Machine{
		worker:            w,
		mu:                mu,
		controllers:       controllers,
		links:             links,
		lease:             lease,
		heartbeatInterval: heartbeatInterval,
		client:            &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
	}
}

// Link is the machine's network path to a controller.
func (m *Machine) Link(label string) *Link { return m.links[label] }

// Serve takes direct calls until the listener is closed.
func (m *Machine) Serve(l net.Listener) error { return serve(l, NewLink(0), m.handleDirectCall) }

// handleDirectCall answers with a heartbeat, after the commands if there are any.
func (m *Machine) handleDirectCall(ctx *fasthttp.RequestCtx) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var status int
	var heartbeat wire.Heartbeat
	if ctx.IsPost() {
		var request wire.CommandRequest
		if err := wire.Unmarshal(ctx.PostBody(), &request); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		status, heartbeat = m.worker.HandleDirectCall(time.Now(), request)
	} else {
		status, heartbeat = fasthttp.StatusOK, m.worker.NextHeartbeat()
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(wire.MustMarshal(heartbeat))
}

// Run runs the machine's worker until ctx ends.
func (m *Machine) Run(ctx context.Context) error {
	var lastHeartbeat time.Time
	for ctx.Err() == nil {
		now, changed := m.advance()
		if changed || now.Sub(lastHeartbeat) >= m.heartbeatInterval {
			lastHeartbeat = now
			m.sendHeartbeat(ctx)
		}
		timing.Sleep(ctx, advanceInterval)
	}
	return nil
}

// advance ends the incarnation if its lease has expired, and lets the worker's
// tasks go on. It returns the time it did so for, and whether any state of a task
// has changed.
func (m *Machine) advance() (now time.Time, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = time.Now() // with mu held: waiting for it may take long
	if now.Sub(m.worker.LeaseRenewedAt) > m.lease {
		m.worker.EndIncarnation(now)
	}
	return now, m.worker.Advance(now)
}

// sendHeartbeat sends a heartbeat and follows the answer: its commands, or its
// redirect. Without a usable answer the next controller is tried after a pause.
func (m *Machine) sendHeartbeat(ctx context.Context) {
	sent, heartbeat := m.nextHeartbeat()
	status, body := m.post(m.controllers[m.current], wire.MustMarshal(heartbeat))
	switch status {
	case fasthttp.StatusOK:
		m.handleResponse(sent, heartbeat.Incarnation, body)
		return
	case fasthttp.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if wire.Unmarshal(body, &redirect) == nil && m.redirectTo(redirect.Controller) {
			return
		}
	}
	m.current = (m.current + 1) % len(m.controllers)
	timing.Sleep(ctx, nextControllerPause)
}

// nextHeartbeat returns the next heartbeat and when it was made: the lease runs
// from then, not from the answer.
func (m *Machine) nextHeartbeat() (time.Time, wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now(), m.worker.NextHeartbeat()
}

// handleResponse carries out the commands of an answer, unless the worker has
// begun another incarnation since it sent the heartbeat.
func (m *Machine) handleResponse(sent time.Time, incarnation uint64, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var response wire.HeartbeatResponse
	if wire.Unmarshal(body, &response) == nil && m.worker.Incarnation == incarnation && m.worker.RenewLease(sent, response) {
		m.worker.CarryOut(time.Now(), response.Commands)
	}
}

// redirectTo turns to the controller that was named. It reports false if that is
// the present one or unknown.
func (m *Machine) redirectTo(label string) bool {
	i := slices.IndexFunc(m.controllers, func(controller ControllerEndpoint) bool { return controller.Label == label })
	if i < 0 || i == m.current {
		return false
	}
	m.current = i
	return true
}

// post sends a heartbeat over the link to a controller; the status is 0 if there
// is no answer.
func (m *Machine) post(controller ControllerEndpoint, body []byte) (int, []byte) {
	fault := m.links[controller.Label].draw()
	time.Sleep(fault.delay)
	if fault.cut || fault.refuse {
		return 0, nil
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + controller.Address + heartbeatPath)
	req.SetBody(body)
	if err := m.client.DoTimeout(req, resp, heartbeatTimeout); err != nil || fault.lost {
		return 0, nil
	}
	return resp.StatusCode(), slices.Clone(resp.Body())
}
