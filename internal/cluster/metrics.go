package cluster

import (
	"errors"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"wheatspur/internal/store"
)

// Metrics holds the registry and the counters that are updated as events occur. All other
// metrics are read from the state when they are gathered. Metrics does its own locking, so
// its methods do not need the lock of the state.
type Metrics struct {
	Registry *prometheus.Registry
	answers  *prometheus.CounterVec // by request and status
	writes   *prometheus.CounterVec // by kind and outcome
}

func newMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheatspur_answers_total",
			Help: "Answers by kind of request and status.",
		}, []string{"request", "status"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheatspur_writes_total",
			Help: "Decision writes by kind and outcome.",
		}, []string{"kind", "outcome"}),
	}
	m.Registry.MustRegister(m.answers, m.writes)
	return m
}

// CountResponse counts a response by kind of request and status.
func (m *Metrics) CountResponse(request string, status int) {
	m.answers.WithLabelValues(request, strconv.Itoa(status)).Inc()
}

// CountWrite counts a compare-and-swap by kind and outcome.
func (m *Metrics) CountWrite(kind string, err error) {
	outcome := "stored"
	switch {
	case errors.Is(err, store.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, store.ErrRejected), errors.Is(err, store.ErrQueueFull):
		outcome = "refused"
	case err != nil:
		outcome = "lost"
	}
	m.writes.WithLabelValues(kind, outcome).Inc()
}
