package cluster

import (
	"errors"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"wheatspur/internal/store"
)

// metrics are gathered when they are asked for; only the counts of answers
// are kept on the way.
type metrics struct {
	Registry *prometheus.Registry
	answers  *prometheus.CounterVec
	writes   *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
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

// CountAnswer notes an answer.
func (m *metrics) CountAnswer(request string, status int) {
	m.answers.WithLabelValues(request, strconv.Itoa(status)).Inc()
}

// CountWrite notes the outcome of a decision write.
func (m *metrics) CountWrite(kind string, err error) {
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
