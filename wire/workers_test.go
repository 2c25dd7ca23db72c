package wire

import "testing"

func FuzzHeartbeat(f *testing.F) {
	f.Add(MustMarshal(Heartbeat{Machine: "host-1", Incarnation: 1, Tasks: []TaskStatus{{Task: "wk-1/0", Attempt: 1, State: TaskRunning}}}))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var heartbeat Heartbeat
		if Unmarshal(body, &heartbeat) == nil {
			MustMarshal(heartbeat)
		}
	})
}
