package standin2

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

// Limits of the state service: those of the settings, and those of the protocol page.
const (
	stateCallsPerSecond  = 100.0
	stateWritesPerSecond = 25.0
	stateValueKB         = 4
	stateTxnOps          = 12
	comparesPerOperation = 4
	bytesPerKB           = 1024
	pageItems            = 1000
	keptChanges          = 10_000
	maxHoldMs            = 60_000
)

// state is the state service.
type state struct {
	mu       sync.Mutex // guards all below
	epoch    uint64
	keys     map[string]stateEntry
	changes  []wire.WatchEvent
	dropped  uint64 // revision of the newest change that is no longer kept
	leases   map[uint64]*stateLease
	next     uint64        // number of the last lease
	changed  chan struct{} // closed with the next change
	calls    float64
	writes   float64
	filledAt time.Time
}

type stateEntry struct {
	value wire.Raw
	stamp uint64
	lease uint64
}

type stateLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newState() *state {
	return &state{keys: map[string]stateEntry{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}),
		calls: stateCallsPerSecond, writes: stateWritesPerSecond, filledAt: time.Now()}
}

// allow takes a call with a number of writes from the rate limits, which allow bursts of a second's
// worth.
func (s *state) allow(writes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(s.filledAt).Seconds()
	s.filledAt = now
	s.calls = min(s.calls+elapsed*stateCallsPerSecond, stateCallsPerSecond)
	s.writes = min(s.writes+elapsed*stateWritesPerSecond, stateWritesPerSecond)
	if s.calls < 1 || s.writes < float64(writes) {
		return false
	}
	s.calls, s.writes = s.calls-1, s.writes-float64(writes)
	return true
}

// ServeHTTP answers a request.
func (s *state) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var transaction wire.Transaction
	if r.URL.Path == "/multi" && !readBody(r, &transaction) {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if !s.allow(len(transaction.Operations)) {
		answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/keys":
		s.list(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/keys/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/keys/"))
	case r.Method == http.MethodGet && r.URL.Path == "/watch":
		s.watch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/multi":
		status, result := s.multi(&transaction)
		answer(w, status, result)
	case r.Method == http.MethodPost && r.URL.Path == "/leases":
		s.grant(w, r)
	default:
		s.handleLease(w, r)
	}
}

func (s *state) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.keys[key]
	if !ok {
		answer(w, http.StatusNotFound, wire.TransactionResult{Revision: s.epoch})
		return
	}
	answer(w, http.StatusOK, wire.KeyValue{Key: key, Value: entry.value, Version: entry.stamp})
}

func (s *state) list(w http.ResponseWriter, r *http.Request) {
	query, size := r.URL.Query(), pageItems
	if n, err := strconv.Atoi(query.Get("page")); err == nil {
		size = min(n, size)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wire.ListResponse{KeyValues: []wire.KeyValue{}, Revision: s.epoch}
	for key, entry := range s.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("after") {
			page.KeyValues = append(page.KeyValues, wire.KeyValue{Key: key, Value: entry.value, Version: entry.stamp})
		}
	}
	slices.SortFunc(page.KeyValues, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if len(page.KeyValues) > size {
		page.KeyValues, page.Truncated = page.KeyValues[:size], true
	}
	answer(w, http.StatusOK, page)
}

// multi carries out a transaction.
func (s *state) multi(transaction *wire.Transaction) (int, any) {
	if problem := checkTransaction(transaction); problem != "" {
		return http.StatusBadRequest, wire.ErrorResponse{Error: problem}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, operation := range transaction.Operations {
		if operation.LeaseID != 0 && s.leases[operation.LeaseID] == nil {
			return http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
		}
	}
	var failed []string
	for _, compare := range transaction.Compares {
		if s.keys[compare.Key].stamp != compare.Version {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TransactionResult{Revision: s.epoch, FailedCompares: failed}
	}
	s.apply(transaction.Operations)
	return http.StatusOK, wire.TransactionResult{Revision: s.epoch}
}

// checkTransaction returns how a transaction exceeds the limits, "" if it does not.
func checkTransaction(transaction *wire.Transaction) string {
	if len(transaction.Operations) > stateTxnOps || len(transaction.Compares) > comparesPerOperation*stateTxnOps {
		return "too many keys"
	}
	total := 0
	for _, operation := range transaction.Operations {
		if operation.Put == "" {
			continue
		}
		size := jsonSize(operation.Value)
		if total += size; size > stateValueKB*bytesPerKB || total > wire.MaxBody {
			return "value too large"
		}
	}
	return ""
}

// jsonSize returns the size of a value in JSON form.
func jsonSize(raw wire.Raw) int {
	var value any
	if wire.Unmarshal(raw, &value) != nil {
		return 0
	}
	text, err := json.Marshal(textKeys(value))
	if err != nil {
		return wire.MaxBody + 1
	}
	return len(text)
}

// textKeys returns a decoded value with text as the keys of its maps, which JSON needs.
func textKeys(value any) any {
	switch value := value.(type) {
	case map[any]any:
		out := make(map[string]any, len(value))
		for key, element := range value {
			out[fmt.Sprint(key)] = textKeys(element)
		}
		return out
	case []any:
		for i := range value {
			value[i] = textKeys(value[i])
		}
	}
	return value
}

// apply applies changes under one revision and wakes the watches; s.mu is held.
func (s *state) apply(operations []wire.Operation) {
	if len(operations) == 0 {
		return
	}
	s.epoch++
	for _, operation := range operations {
		if operation.Delete != "" {
			delete(s.keys, operation.Delete)
			s.changes = append(s.changes, wire.WatchEvent{Delete: operation.Delete, Version: s.epoch})
			continue
		}
		s.keys[operation.Put] = stateEntry{value: operation.Value, stamp: s.epoch, lease: operation.LeaseID}
		s.changes = append(s.changes, wire.WatchEvent{Put: operation.Put, Value: operation.Value, Version: s.epoch})
	}
	if len(s.changes) > 2*keptChanges {
		s.dropped = s.changes[len(s.changes)-keptChanges-1].Version
		s.changes = slices.Clone(s.changes[len(s.changes)-keptChanges:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) grant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if !readBody(r, &request) || request.TTLMs < 100 || request.TTLMs > 600_000 {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id, ttl := s.next, time.Duration(request.TTLMs)*time.Millisecond
	s.leases[id] = &stateLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.end(id) })}
	answer(w, http.StatusOK, wire.LeaseResponse{ID: id})
}

// end ends a lease and drops its keys. It reports whether there was one.
func (s *state) end(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return false
	}
	lease.timer.Stop()
	delete(s.leases, id)
	var drops []wire.Operation
	for key, entry := range s.keys {
		if entry.lease == id {
			drops = append(drops, wire.Operation{Delete: key})
		}
	}
	s.apply(drops)
	return true
}

// handleLease renews or ends a lease.
func (s *state) handleLease(w http.ResponseWriter, r *http.Request) {
	name, touch := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/leases/"), "/touch")
	id, err := strconv.ParseUint(name, 10, 64)
	known := false
	switch {
	case err != nil:
	case r.Method == http.MethodDelete && !touch:
		known = s.end(id)
	case r.Method == http.MethodPost && touch:
		known = s.renew(id)
	}
	if !known {
		answer(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *state) renew(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return false
	}
	lease.timer.Reset(lease.ttl)
	return true
}

func (s *state) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	holdMs, holdErr := strconv.Atoi(query.Get("hold_ms"))
	if err != nil || holdErr != nil && query.Get("hold_ms") != "" || holdMs > maxHoldMs {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	hold := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer hold.Stop()
	for waiting := holdMs > 0; ; {
		response, changed, kept := s.since(query.Get("starts"), after)
		switch {
		case !kept:
			answer(w, http.StatusGone, wire.ErrorResponse{Error: "too old"})
			return
		case len(response.Events) > 0 || !waiting:
			answer(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of keys with a prefix after a revision, a channel that is closed with the
// next change, and whether all changes since then are kept.
func (s *state) since(prefix string, after uint64) (response wire.WatchResponse, changed <-chan struct{}, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = wire.WatchResponse{Revision: s.epoch, Events: []wire.WatchEvent{}}
	for _, change := range s.changes {
		if change.Version > after && strings.HasPrefix(change.Put+change.Delete, prefix) {
			response.Events = append(response.Events, change)
		}
	}
	return response, s.changed, after >= s.dropped
}
