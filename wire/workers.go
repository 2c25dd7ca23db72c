package wire

// States of tasks in reports.
const (
	TaskPulling       = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskExited        = "exited"
)

// Causes of the exit of a task.
const (
	ExitCauseDone    = "done"
	ExitCauseStopped = "stopped"
	ExitCauseError   = "error"
	ExitCauseNoRoom  = "no_room"
	ExitCauseInUse   = "in_use"
	ExitCauseUnknown = "unknown"
)

// Verbs of commands.
const (
	VerbStart = "start"
	VerbKill  = "kill"
	VerbReap  = "reap"
)

// TaskStatus is one attempt of a task in a worker's report.
type TaskStatus struct {
	Task         string `cbor:"shard"`
	Attempt      uint64 `cbor:"try"`
	State        string `cbor:"phase"`
	ExitCause    string `cbor:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty"`
}

// Heartbeat is the body of POST /checkin: what a worker runs. Session numbers the
// worker's sessions, Sequence the reports of a session, and Token is the highest
// that the worker has seen.
type Heartbeat struct {
	Machine            string       `cbor:"host"`
	Address            string       `cbor:"address"`
	MachineType        string       `cbor:"rig"`
	Zone               string       `cbor:"plot"`
	Spot               bool         `cbor:"windfall"`
	Incarnation        uint64       `cbor:"stint"`
	Sequence           uint64       `cbor:"tally"`
	FencingToken       uint64       `cbor:"baton"`
	TerminationNoticeS *float64     `cbor:"warning_s"`
	Tasks              []TaskStatus `cbor:"shards"`
}

// Command is one command about one attempt of a task.
type Command struct {
	Verb         string   `cbor:"verb"`
	Task         string   `cbor:"shard"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty"`
}

// HeartbeatResponse answers a report; it renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest is the body of POST /commands at a worker.
type CommandRequest struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"stint"`
	Commands     []Command `cbor:"orders"`
}

// Redirect answers a report that another node should handle; it names that
// node, if it is known.
type Redirect struct {
	Node string `cbor:"foreman,omitempty"`
}
