package fake

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/store"
	"wheatspur/wire"
)

// retainedEvents is how many events the protocol requires a store to keep for watches.
const retainedEvents = 10_000

// Paths of the store's protocol.
const (
	keysPath        = "/keys"
	transactionPath = "/multi"
	leasesPath      = "/leases"
	leasePrefix     = leasesPath + "/"
	renewSuffix     = "/touch"
	watchPath       = "/watch"
)

// StoreServer serves a store over HTTP, with a separate link for each client. It adds what
// the store itself lacks: leases that expire after their TTL, and watches that wait for changes.
type StoreServer struct {
	store  *Store
	mu     sync.Mutex // guards timers
	timers map[uint64]*leaseTimer
}

// leaseTimer expires a lease that is not renewed within its TTL.
type leaseTimer struct {
	timer *time.Timer
	ttl   time.Duration
}

// NewStoreServer returns a server for a store, and sets the number of events that the store
// keeps to the protocol's.
func NewStoreServer(s *Store) *StoreServer {
	s.RetainedEvents = retainedEvents
	return &StoreServer{store: s, timers: map[uint64]*leaseTimer{}}
}

// Serve serves one client's link until the listener is closed.
func (s *StoreServer) Serve(l net.Listener, link *Link) error { return serve(l, link, s.handle) }

// handle responds to one request of the store's protocol.
func (s *StoreServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == keysPath:
		s.list(ctx)
	case path == transactionPath:
		s.compareAndSwap(ctx)
	case path == leasesPath:
		s.grantLease(ctx)
	case ctx.IsDelete():
		respond(ctx, struct{}{}, s.store.RevokeLease(ctx, parseLeaseID(path)))
	case strings.HasSuffix(path, renewSuffix):
		s.renewLease(ctx, parseLeaseID(strings.TrimSuffix(path, renewSuffix)))
	case path == watchPath:
		s.watch(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// parseLeaseID returns the ID of the lease that a path names. For any other path it returns
// 0, an ID that is never granted.
func parseLeaseID(path string) uint64 {
	leaseID, err := strconv.ParseUint(strings.TrimPrefix(path, leasePrefix), 10, 64)
	if err != nil {
		return 0
	}
	return leaseID
}

func (s *StoreServer) list(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	page, err := s.store.List(ctx, string(query.Peek("starts")), string(query.Peek("after")))
	respond(ctx, page, err)
}

func (s *StoreServer) compareAndSwap(ctx *fasthttp.RequestCtx) {
	var transaction wire.Transaction
	if err := wire.Unmarshal(ctx.PostBody(), &transaction); err != nil {
		respond(ctx, nil, store.ErrMalformed)
		return
	}
	revision, err := s.store.CompareAndSwap(ctx, 0, transaction.Compares, transaction.Operations)
	respond(ctx, wire.TransactionResult{Revision: revision}, err)
}

func (s *StoreServer) grantLease(ctx *fasthttp.RequestCtx) {
	var request wire.LeaseRequest
	if err := wire.Unmarshal(ctx.PostBody(), &request); err != nil {
		respond(ctx, nil, store.ErrMalformed)
		return
	}
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	leaseID, err := s.store.GrantLease(ctx, ttl)
	if err != nil {
		respond(ctx, nil, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers[leaseID] = &leaseTimer{timer: time.AfterFunc(ttl, func() { s.store.ExpireLease(leaseID) }), ttl: ttl}
	respond(ctx, wire.LeaseResponse{ID: leaseID}, nil)
}

func (s *StoreServer) renewLease(ctx *fasthttp.RequestCtx, leaseID uint64) {
	err := s.store.RenewLease(ctx, leaseID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease := s.timers[leaseID]; err == nil && lease != nil {
		lease.timer.Reset(lease.ttl)
	}
	respond(ctx, struct{}{}, err)
}

// watch responds with the changes after a revision. If there are none, it waits for one until
// the hold time of the request (hold_ms) has passed.
func (s *StoreServer) watch(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	after, err := strconv.ParseUint(string(query.Peek("after")), 10, 64)
	if err != nil {
		after = 0 // an absent or invalid revision: watch from the beginning
	}
	holdMs := query.GetUintOrZero("hold_ms")
	waiting := holdMs > 0
	holdTimer := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer holdTimer.Stop()
	for {
		events, changed, err := s.store.poll(string(query.Peek("starts")), after)
		if err != nil || len(events.Events) > 0 || !waiting {
			respond(ctx, events, err)
			return
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			waiting = false
		}
	}
}
