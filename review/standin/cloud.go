package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"wheatspur/wire"
)

// Limits of the cloud's interface.
const (
	maxHire     = 50
	maxReturn   = 100
	maxHostPage = 500
)

// Kind is a kind of machine that the cloud rents out.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// host is a machine that is rented.
type host struct {
	machine Machine
	rented  time.Time
	upAt    time.Time // when its worker starts
	worker  *Worker   // nil until it is up
	goneAt  time.Time // when it was returned; zero: it was not
}

// Cloud is a stand-in of the cloud.
type Cloud struct {
	types   []wire.MachineType
	boot    time.Duration
	lag     time.Duration
	options *WorkerOptions

	mu       sync.Mutex // guards all below
	capacity map[Kind]int
	hosts    []*host
	hires    map[string][]string
	calls    bucket
}

// NewCloud returns a cloud whose machines boot in the given time and whose list lags behind.
// capacity is how many machines of each kind it has.
func NewCloud(types []wire.MachineType, capacity map[Kind]int, boot, lag time.Duration, rps float64, options *WorkerOptions) *Cloud {
	return &Cloud{types: types, boot: boot, lag: lag, options: options, capacity: capacity, hires: map[string][]string{},
		calls: newBucket(rps, 2*rps)}
}

// AddRunning adds a machine that has been up for some time.
func (c *Cloud) AddRunning(kind Kind, age time.Duration) (*Worker, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.add(kind, time.Now().Add(-age))
	worker, err := StartWorker(h.machine, c.options)
	h.worker = worker
	return worker, err
}

// add adds a rented machine. The lock is held.
func (c *Cloud) add(kind Kind, rented time.Time) *host {
	i := slices.IndexFunc(c.types, func(t wire.MachineType) bool { return t.Label == kind.Type })
	h := &host{machine: Machine{Name: fmt.Sprintf("host-%06d", len(c.hosts)+1), Type: c.types[i], Zone: kind.Zone, Spot: kind.Spot}, rented: rented, upAt: rented}
	c.hosts = append(c.hosts, h)
	c.capacity[kind]--
	return h
}

// Workers returns the workers of the machines that are up.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, h := range c.hosts {
		if h.worker != nil && h.goneAt.IsZero() {
			workers = append(workers, h.worker)
		}
	}
	return workers
}

// Close ends all machines.
func (c *Cloud) Close() {
	for _, w := range c.Workers() {
		w.Stop()
	}
}

// ServeHTTP answers one request.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls.take(1, time.Now()) {
		reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/machine_types":
		reply(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case r.Method == http.MethodGet && r.URL.Path == "/hosts":
		c.list(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/hosts":
		c.hire(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/hosts/return":
		c.giveBack(w, r)
	default:
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

// list answers with the machines as they were some time ago. The lock is held.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxHostPage {
		page = maxHostPage
	}
	answer := wire.MachinePage{Machines: []wire.Machine{}}
	at := time.Now().Add(-c.lag)
	for _, h := range c.hosts {
		if h.machine.Name <= query.Get("after") || h.rented.After(at) || !h.goneAt.IsZero() && !h.goneAt.After(at) {
			continue
		}
		if len(answer.Machines) == page {
			answer.Truncated = true
			break
		}
		listed := wire.Machine{Name: h.machine.Name, MachineType: h.machine.Type.Label, Zone: h.machine.Zone, Spot: h.machine.Spot,
			State: wire.MachineStarting, AgeS: at.Sub(h.rented).Seconds()}
		if h.worker != nil && !h.upAt.After(at) {
			listed.State, listed.Address = wire.MachineRunning, h.worker.Address
		}
		answer.Machines = append(answer.Machines, listed)
	}
	reply(w, http.StatusOK, answer)
}

// hire rents machines out. The lock is held.
func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	if decode(r, &request) != nil || request.Name == "" || request.Count < 1 || request.Count > maxHire {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if names, known := c.hires[request.Name]; known {
		reply(w, http.StatusOK, wire.MachineNames{Machines: names})
		return
	}
	kind := Kind{request.MachineType, request.Zone, request.Spot}
	if c.capacity[kind] <= 0 {
		c.options.Record.Printf("cloud: hire %s %+v: no capacity", request.Name, kind)
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	var names []string
	for len(names) < request.Count && c.capacity[kind] > 0 {
		h := c.add(kind, time.Now())
		h.upAt = h.rented.Add(c.boot)
		time.AfterFunc(c.boot, func() { c.bringUp(h) })
		names = append(names, h.machine.Name)
	}
	c.hires[request.Name] = names
	c.options.Record.Printf("cloud: hire %s %+v: %v", request.Name, kind, names)
	reply(w, http.StatusOK, wire.MachineNames{Machines: names})
}

// bringUp starts the worker of a machine that has booted.
func (c *Cloud) bringUp(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.goneAt.IsZero() {
		return
	}
	worker, err := StartWorker(h.machine, c.options)
	if err != nil {
		c.options.Record.Printf("cloud: %s does not come up: %v", h.machine.Name, err)
		return
	}
	c.options.Record.Printf("cloud: %s is up", h.machine.Name)
	h.worker = worker
}

// giveBack ends machines. The lock is held.
func (c *Cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if decode(r, &request) != nil || len(request.Machines) > maxReturn {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	for _, h := range c.hosts {
		if !slices.Contains(request.Machines, h.machine.Name) || !h.goneAt.IsZero() {
			continue
		}
		h.goneAt = time.Now()
		c.capacity[Kind{h.machine.Type.Label, h.machine.Zone, h.machine.Spot}]++
		if h.worker != nil {
			h.worker.Stop()
		}
	}
	c.options.Record.Printf("cloud: returned %v", request.Machines)
	reply(w, http.StatusOK, struct{}{})
}
