package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wheatspur/wire"
)

// Limits of the state service that the protocol fixes.
const (
	keptEvents        = 10_000
	maxPage           = 1000
	maxPageBytes      = 512 << 10
	maxTransaction    = 64 << 10
	comparesPerChange = 4
	minTTL            = 100
	maxTTL            = 600_000
	maxHold           = 60_000
)

// StateLimits are the limits of the state service that the settings name.
type StateLimits struct {
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

// stateEntry is a stored value.
type stateEntry struct {
	value   wire.Raw
	version uint64
	lease   uint64
}

// stateEvent is a change, as a watch tells it.
type stateEvent struct {
	Set   string   `cbor:"set,omitempty"`
	Value wire.Raw `cbor:"v,omitempty"`
	Drop  string   `cbor:"drop,omitempty"`
	Stamp uint64   `cbor:"stamp"`
}

// watchAnswer answers a watch.
type watchAnswer struct {
	Epoch  uint64       `cbor:"epoch"`
	Events []stateEvent `cbor:"events"`
}

// stateLease is a lease that has not ended.
type stateLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// State is a stand-in of the state service.
type State struct {
	limits StateLimits

	mu        sync.Mutex // guards all below
	epoch     uint64
	keys      map[string]stateEntry
	events    []stateEvent
	dropped   uint64 // version of the newest event that is not kept any more
	leases    map[uint64]*stateLease
	lastLease uint64
	changed   chan struct{} // closed by the next change
	requests  bucket
	writes    bucket
}

// bucket allows a rate, and bursts of its size.
type bucket struct {
	rate, size, tokens float64
	at                 time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate, burst, burst, time.Now()} }

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take takes an amount and reports whether the bucket held it.
func (b *bucket) take(amount float64, now time.Time) bool {
	b.refill(now)
	if b.tokens < amount {
		return false
	}
	b.tokens -= amount
	return true
}

// NewState returns an empty state service.
func NewState(limits StateLimits) *State {
	return &State{
		limits:   limits,
		keys:     map[string]stateEntry{},
		leases:   map[uint64]*stateLease{},
		changed:  make(chan struct{}),
		requests: newBucket(limits.RPS, limits.RPS),
		writes:   newBucket(limits.WriteRPS, limits.WriteRPS),
	}
}

// ServeHTTP answers one request.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit() {
		reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/keys":
		s.list(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/keys/"):
		s.get(w, strings.TrimPrefix(path, "/keys/"))
	case r.Method == http.MethodPost && path == "/multi":
		s.multi(w, r)
	case r.Method == http.MethodPost && path == "/leases":
		s.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/leases/") && strings.HasSuffix(path, "/touch"):
		s.touch(w, strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/touch"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/leases/"):
		s.revoke(w, strings.TrimPrefix(path, "/leases/"))
	case r.Method == http.MethodGet && path == "/watch":
		s.watch(w, r)
	default:
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

func (s *State) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests.take(1, time.Now())
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.keys[key]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"epoch": s.epoch})
		return
	}
	body := map[string]any{"key": key, "v": entry.value, "stamp": entry.version}
	if entry.lease != 0 {
		body["tenure"] = entry.lease
	}
	reply(w, http.StatusOK, body)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxPage {
		page = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	response := wire.ListResponse{KeyValues: []wire.KeyValue{}, Revision: s.epoch}
	size := 0
	for _, key := range keys {
		entry := s.keys[key]
		size += len(key) + jsonSize(entry.value) + 50
		if len(response.KeyValues) == page || size > maxPageBytes {
			response.Truncated = true
			break
		}
		response.KeyValues = append(response.KeyValues, wire.KeyValue{Key: key, Value: entry.value, Version: entry.version})
	}
	reply(w, http.StatusOK, response)
}

// transactionAnswer is the answer to a transaction that was executed or whose guards failed.
type transactionAnswer struct {
	Failed []string `cbor:"failed,omitempty"`
	Epoch  uint64   `cbor:"epoch"`
}

func (s *State) multi(w http.ResponseWriter, r *http.Request) {
	var transaction wire.Transaction
	if err := decode(r, &transaction); err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(transaction.Operations)), time.Now()) {
		reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many changes"})
		return
	}
	if reason := s.refusal(&transaction); reason != "" {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: reason})
		return
	}
	var failed []string
	for _, guard := range transaction.Compares {
		if s.keys[guard.Key].version != guard.Version {
			failed = append(failed, guard.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, transactionAnswer{Failed: failed, Epoch: s.epoch})
		return
	}
	if len(transaction.Operations) > 0 {
		s.epoch++
		for _, operation := range transaction.Operations {
			s.apply(operation)
		}
		s.announce()
	}
	reply(w, http.StatusOK, transactionAnswer{Epoch: s.epoch})
}

// refusal returns why a transaction gets status 400, or "". The lock is held.
func (s *State) refusal(transaction *wire.Transaction) string {
	total := 0
	for _, operation := range transaction.Operations {
		if operation.LeaseID != 0 && s.leases[operation.LeaseID] == nil {
			return "no such lease"
		}
		size := jsonSize(operation.Value)
		if float64(size) > s.limits.ValueKB*1024 {
			return "value too large"
		}
		total += size + len(operation.Put) + len(operation.Delete) + 30
	}
	for _, guard := range transaction.Compares {
		total += len(guard.Key) + 30
	}
	if len(transaction.Operations) > s.limits.TxnOps || len(transaction.Compares) > comparesPerChange*s.limits.TxnOps || total > maxTransaction {
		return "transaction too large"
	}
	return ""
}

// apply applies one change at the present epoch. The lock is held.
func (s *State) apply(operation wire.Operation) {
	if operation.Delete != "" {
		if _, ok := s.keys[operation.Delete]; !ok {
			return
		}
		delete(s.keys, operation.Delete)
		s.events = append(s.events, stateEvent{Drop: operation.Delete, Stamp: s.epoch})
	} else {
		s.keys[operation.Put] = stateEntry{operation.Value, s.epoch, operation.LeaseID}
		s.events = append(s.events, stateEvent{Set: operation.Put, Value: operation.Value, Stamp: s.epoch})
	}
}

// announce wakes the open watches and drops old events. The lock is held.
func (s *State) announce() {
	if surplus := len(s.events) - keptEvents; surplus > 0 {
		s.dropped = s.events[surplus-1].Stamp
		s.events = slices.Clone(s.events[surplus:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) grant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if err := decode(r, &request); err != nil || request.TTLMs < minTTL || request.TTLMs > maxTTL {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(request.TTLMs)*time.Millisecond
	s.leases[id] = &stateLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.end(id) })}
	reply(w, http.StatusOK, wire.LeaseResponse{ID: id})
}

// end ends a lease and removes the keys attached to it. It reports whether there was one.
func (s *State) end(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return false
	}
	lease.timer.Stop()
	delete(s.leases, id)
	removed := false
	for key, entry := range s.keys {
		if entry.lease == id {
			if !removed {
				s.epoch++
				removed = true
			}
			s.apply(wire.Operation{Delete: key})
		}
	}
	if removed {
		s.announce()
	}
	return true
}

func (s *State) touch(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil || !lease.timer.Stop() {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	lease.timer.Reset(lease.ttl)
	reply(w, http.StatusOK, struct{}{})
}

func (s *State) revoke(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64) // 0 is no lease
	if !s.end(id) {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("hold_ms")) // absent: 0
	if err != nil || hold < 0 || hold > maxHold {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	timeout := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer timeout.Stop()
	for waiting := hold > 0; ; {
		response, changed, kept := s.since(query.Get("starts"), after)
		if !kept {
			reply(w, http.StatusGone, map[string]any{"epoch": response.Epoch})
			return
		}
		if len(response.Events) > 0 || !waiting {
			reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after an epoch, and a channel that the next change closes.
func (s *State) since(prefix string, after uint64) (response watchAnswer, changed <-chan struct{}, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = watchAnswer{Epoch: s.epoch, Events: []stateEvent{}}
	if after < s.dropped {
		return response, nil, false
	}
	for _, event := range s.events {
		if event.Stamp > after && strings.HasPrefix(event.Set+event.Drop, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, s.changed, true
}

// jsonSize returns the size of the JSON form of a value.
func jsonSize(raw wire.Raw) int {
	if len(raw) == 0 {
		return 0
	}
	var value any
	if wire.Unmarshal(raw, &value) != nil {
		return maxTransaction + 1
	}
	text, err := json.Marshal(plain(value))
	if err != nil {
		return maxTransaction + 1
	}
	return len(text)
}

// plain converts a decoded value to one that has a JSON form.
func plain(value any) any {
	switch value := value.(type) {
	case map[any]any:
		converted := make(map[string]any, len(value))
		for key, element := range value {
			converted[fmt.Sprint(key)] = plain(element)
		}
		return converted
	case []any:
		for i := range value {
			value[i] = plain(value[i])
		}
	}
	return value
}
