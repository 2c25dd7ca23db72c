package fake

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/store"
	"wheatspur/wire"
)

// silence is how long a request without an answer keeps its client waiting:
// longer than any client of the controllers does.
const silence = 6 * time.Second

// lateBy is how much later a late request is carried out.
const lateBy = 2500 * time.Millisecond

// StoreServer serves a store over HTTP, each client over a link of its own.
type StoreServer struct {
	store  *Store
	mu     sync.Mutex
	timers map[uint64]*leaseTimer
}

// leaseTimer ends a lease that nobody renews.
type leaseTimer struct {
	timer *time.Timer
	ttl   time.Duration
}

// NewStoreServer returns a server of the store, which keeps as many events as
// the protocol says.
func NewStoreServer(s *Store) *StoreServer {
	s.KeepEvents = 10_000
	return &StoreServer{store: s, timers: map[uint64]*leaseTimer{}}
}

// Serve serves one client's link until the listener is closed.
func (s *StoreServer) Serve(l net.Listener, link *Link) error { return serve(l, link, s.handle) }

func (s *StoreServer) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case path == "/keys":
		page, err := s.store.List(c, string(c.QueryArgs().Peek("starts")), string(c.QueryArgs().Peek("after")))
		answer(c, page, err)
	case path == "/multi":
		s.transaction(c)
	case path == "/leases":
		s.openLease(c)
	case c.IsDelete():
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/leases/"), 10, 64)
		answer(c, struct{}{}, s.store.RevokeLease(c, id))
	case strings.HasSuffix(path, "/touch"):
		s.touch(c, strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/touch"))
	case path == "/watch":
		s.watch(c)
	default:
		c.SetStatusCode(404)
	}
}

func (s *StoreServer) transaction(c *fasthttp.RequestCtx) {
	var t wire.Transaction
	if err := wire.Unmarshal(c.PostBody(), &t); err != nil {
		answer(c, nil, store.ErrMalformed)
		return
	}
	revision, err := s.store.CompareAndSwap(c, 0, t.Compares, t.Operations)
	answer(c, wire.TransactionResult{Revision: revision}, err)
}

func (s *StoreServer) openLease(c *fasthttp.RequestCtx) {
	var r wire.LeaseRequest
	if err := wire.Unmarshal(c.PostBody(), &r); err != nil {
		answer(c, nil, store.ErrMalformed)
		return
	}
	ttl := time.Duration(r.TTLMs) * time.Millisecond
	id, err := s.store.GrantLease(c, ttl)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers[id] = &leaseTimer{time.AfterFunc(ttl, func() { s.store.Expire(id) }), ttl}
	answer(c, wire.LeaseResponse{ID: id}, err)
}

func (s *StoreServer) touch(c *fasthttp.RequestCtx, number string) {
	id, _ := strconv.ParseUint(number, 10, 64)
	err := s.store.RenewLease(c, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease := s.timers[id]; err == nil && lease != nil {
		lease.timer.Reset(lease.ttl)
	}
	answer(c, struct{}{}, err)
}

// watch waits for a change until the hold is over.
func (s *StoreServer) watch(c *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(c.QueryArgs().Peek("after")), 10, 64)
	hold := c.QueryArgs().GetUintOrZero("hold_ms")
	over := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer over.Stop()
	for {
		s.store.Mu.Lock()
		events, err := s.store.since(string(c.QueryArgs().Peek("starts")), after)
		changed := s.store.changed
		s.store.Mu.Unlock()
		if err != nil || len(events.Events) > 0 || hold == 0 {
			answer(c, events, err)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			hold = 0
		}
	}
}

// ServeCloud serves a cloud until the listener is closed.
func ServeCloud(l net.Listener, link *Link, cloud *Cloud) error {
	return serve(l, link, func(c *fasthttp.RequestCtx) {
		switch path := string(c.Path()); {
		case path == "/machine_types":
			types, err := cloud.MachineTypes()
			answer(c, wire.MachineTypes{Types: types}, err)
		case path == "/hosts/return":
			var hosts wire.MachineNames
			_ = wire.Unmarshal(c.PostBody(), &hosts)
			answer(c, struct{}{}, cloud.Terminate(hosts.Machines))
		case c.IsPost():
			var r wire.ScaleOutRequest
			_ = wire.Unmarshal(c.PostBody(), &r)
			_, _ = cloud.ScaleOut(r)
			c.SetStatusCode(503)
			c.SetBody(wire.MustMarshal(wire.ErrorResponse{Error: "no capacity"}))
		default:
			hosts, err := cloud.ListMachines()
			answer(c, wire.MachinePage{Machines: hosts}, err)
		}
	})
}

// serve serves a handler behind a link.
func serve(l net.Listener, link *Link, handle fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { link.carry(c, handle) },
		NoDefaultServerHeader: true, CloseOnShutdown: true}
	return s.Serve(l)
}

// carry lets a request meet its fate.
func (l *Link) carry(c *fasthttp.RequestCtx, handle fasthttp.RequestHandler) {
	f := l.next()
	time.Sleep(f.delay)
	switch {
	case f.refuse:
		c.SetStatusCode(503)
		return
	case f.late && c.IsPost():
		time.Sleep(lateBy)
		handle(c)
	case f.cut, f.late:
	default:
		handle(c)
		if !f.lost {
			return
		}
	}
	time.Sleep(silence)
	c.SetConnectionClose()
	c.SetStatusCode(503)
}

// answer writes a result, or the status of what went wrong.
func answer(c *fasthttp.RequestCtx, result any, err error) {
	status := 200
	switch {
	case err == nil:
	case errors.Is(err, store.ErrConflict):
		status = 409
	case errors.Is(err, store.ErrLeaseExpired) && c.IsPost() && string(c.Path()) == "/multi":
		status, result = 400, wire.TransactionResult{Error: "no such lease"}
	case errors.Is(err, store.ErrLeaseExpired):
		status = 404
	case errors.Is(err, store.ErrCompacted):
		status = 410
	case errors.Is(err, store.ErrMalformed):
		status, result = 400, wire.ErrorResponse{Error: "malformed"}
	default:
		status = 503
	}
	c.SetStatusCode(status)
	c.SetContentType(wire.ContentType)
	c.SetBody(wire.MustMarshal(result))
}
