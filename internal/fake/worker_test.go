package fake

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/wire"
)

// newWorker returns a worker in incarnation 3 that has seen fencing token 5.
func newWorker() *Worker {
	return &Worker{Incarnation: 3, FencingToken: 5, Tasks: map[string]*Task{}, OnTaskStart: func(*Worker, *Task) time.Duration { return 0 }}
}

var startCommand = wire.Command{Verb: wire.VerbStart, Task: "wk-1/0", Attempt: 1}

func TestWorkerRejectsFencedDirectCalls(t *testing.T) {
	for _, c := range []struct {
		name               string
		token, incarnation uint64
		status             int
	}{
		{"same token", 5, 3, fasthttp.StatusOK},
		{"higher token", 6, 3, fasthttp.StatusOK},
		{"lower token", 4, 3, fasthttp.StatusConflict},
		{"earlier incarnation", 6, 2, fasthttp.StatusConflict},
		{"later incarnation", 6, 4, fasthttp.StatusConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorker()
			request := wire.CommandRequest{FencingToken: c.token, Incarnation: c.incarnation, Commands: []wire.Command{startCommand}}
			status, heartbeat := w.HandleDirectCall(time.Unix(1, 0), request)
			if status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			if accepted := len(heartbeat.Tasks) == 1; accepted != (c.status == fasthttp.StatusOK) {
				t.Errorf("tasks after the call: %+v", heartbeat.Tasks)
			}
		})
	}
}

func TestWorkerIgnoresResponseWithLowerFencingToken(t *testing.T) {
	w := newWorker()
	if w.RenewLease(time.Unix(1, 0), wire.HeartbeatResponse{FencingToken: 4}) || !w.LeaseRenewedAt.IsZero() || w.FencingToken != 5 {
		t.Errorf("a lower token renewed the lease: %+v", w)
	}
	if !w.RenewLease(time.Unix(1, 0), wire.HeartbeatResponse{FencingToken: 6}) || !w.LeaseRenewedAt.Equal(time.Unix(1, 0)) || w.FencingToken != 6 {
		t.Errorf("a higher token did not renew the lease: %+v", w)
	}
}

func TestEndIncarnationDropsTasks(t *testing.T) {
	w, ended := newWorker(), 0
	w.OnTaskEnd = func(*Worker, *Task) { ended++ }
	w.Execute(time.Unix(1, 0), []wire.Command{startCommand})
	w.EndIncarnation(time.Unix(2, 0))
	if ended != 1 || len(w.Tasks) != 0 || w.Incarnation != 4 || !w.LeaseRenewedAt.Equal(time.Unix(2, 0)) {
		t.Errorf("%d tasks ended; %+v", ended, w)
	}
}
