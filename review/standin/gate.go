package standin

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"wheatspur/wire"
)

// Fault is the trouble between one controller and a service.
type Fault struct {
	Refuse    bool          // everything is answered with 503
	Silent    bool          // nothing is answered or carried out
	LostShare float64       // share of the POST requests that are carried out at once without an answer
	LateShare float64       // share of the POST requests that are carried out late without an answer
	LateBy    time.Duration // how late they are
	Delay     time.Duration // of each answer
}

// Gate is the way from one controller to a service.
type Gate struct {
	service http.Handler

	mu    sync.Mutex
	fault Fault
}

// Set replaces the trouble.
func (g *Gate) Set(fault Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
}

// Fault returns the present trouble.
func (g *Gate) Fault() Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault
}

// ServeHTTP passes a request on.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := g.Fault()
	draw := rand.Float64()
	post := r.Method == http.MethodPost
	switch {
	case fault.Silent:
		<-r.Context().Done()
		return
	case fault.Refuse:
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
		return
	case post && draw < fault.LostShare:
		g.service.ServeHTTP(httptest.NewRecorder(), r)
		<-r.Context().Done()
		return
	case post && draw < fault.LostShare+fault.LateShare:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		late := r.Clone(r.Context())
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(fault.LateBy, func() { g.service.ServeHTTP(httptest.NewRecorder(), late) })
		<-r.Context().Done()
		return
	}
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	g.service.ServeHTTP(w, r)
}
