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

// heartbeatPath is the path on which controllers accept heartbeats.
const heartbeatPath = "/checkin"

// Intervals and timeouts of a machine.
const (
	// advanceInterval is how often a machine advances its tasks and checks its lease, and the
	// minimum time between its heartbeats.
	advanceInterval = 40 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// controllerFailoverDelay is the delay before a heartbeat is sent to the next controller.
	controllerFailoverDelay = 200 * time.Millisecond
)

// ControllerEndpoint is the label of a controller and the address at which it accepts
// heartbeats.
type ControllerEndpoint struct{ Label, Address string }

// Machine runs a worker over HTTP: it sends heartbeats to the controllers and accepts direct
// calls from them.
type Machine struct {
	worker            *Worker
	mu                *sync.Mutex // guards the worker; machines of one cluster may share it
	controllers       []ControllerEndpoint
	links             map[string]*Link // link to each controller, by label
	lease             time.Duration
	heartbeatInterval time.Duration
	client            *fasthttp.Client
	current           int // index of the controller that gets the heartbeats; used only by Run's goroutine
}

// NewMachine returns a machine for a worker, and resets the worker to its first incarnation
// without tasks. mu guards the worker.
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

// Link returns the machine's network path to a controller.
func (m *Machine) Link(label string) *Link { return m.links[label] }

// Serve accepts direct calls until the listener is closed.
func (m *Machine) Serve(l net.Listener) error { return serve(l, NewLink(0), m.handleDirectCall) }

// handleDirectCall responds with the worker's next heartbeat. For a POST it first carries out
// the commands in the request.
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

// advance ends the incarnation if its lease has expired, and then advances the worker's tasks.
// It returns the time to which it advanced them, and whether the state of any task has changed.
func (m *Machine) advance() (now time.Time, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = time.Now() // read with mu held, because acquiring mu may take long
	if now.Sub(m.worker.LeaseRenewedAt) > m.lease {
		m.worker.EndIncarnation(now)
	}
	return now, m.worker.Advance(now)
}

// sendHeartbeat sends a heartbeat and carries out the commands in the response or follows its
// redirect. Without a valid response it switches to the next controller and waits for
// controllerFailoverDelay.
func (m *Machine) sendHeartbeat(ctx context.Context) {
	sent, heartbeat := m.nextHeartbeat()
	status, body := m.post(m.controllers[m.current], wire.MustMarshal(heartbeat))
	switch status {
	case fasthttp.StatusOK:
		m.handleResponse(sent, heartbeat.Incarnation, body)
		return
	case fasthttp.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if wire.Unmarshal(body, &redirect) == nil && m.followRedirect(redirect.Controller) {
			return
		}
	}
	m.current = (m.current + 1) % len(m.controllers)
	timing.Sleep(ctx, controllerFailoverDelay)
}

// nextHeartbeat returns the next heartbeat and the time of its creation: the lease runs from
// then, not from the response.
func (m *Machine) nextHeartbeat() (time.Time, wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now(), m.worker.NextHeartbeat()
}

// handleResponse renews the lease and carries out the commands in a response, unless the
// worker has begun another incarnation since it sent the heartbeat.
func (m *Machine) handleResponse(sent time.Time, incarnation uint64, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var response wire.HeartbeatResponse
	if wire.Unmarshal(body, &response) == nil && m.worker.Incarnation == incarnation && m.worker.RenewLease(sent, response) {
		m.worker.Execute(time.Now(), response.Commands)
	}
}

// followRedirect switches to the controller with a label. It returns false if that is the
// current one or unknown.
func (m *Machine) followRedirect(label string) bool {
	i := slices.IndexFunc(m.controllers, func(controller ControllerEndpoint) bool { return controller.Label == label })
	if i < 0 || i == m.current {
		return false
	}
	m.current = i
	return true
}

// post sends a heartbeat over the link to a controller. The status is 0 if there is no
// response.
func (m *Machine) post(controller ControllerEndpoint, body []byte) (int, []byte) {
	fault := m.links[controller.Label].nextFault()
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
