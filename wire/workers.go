package wire

// States of a task's attempt in heartbeats.
const (
	TaskPulling       = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskExited        = "exited"
)

// Causes of the exit of a task's attempt.
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

// TaskStatus is one attempt of a task in a worker's heartbeat.
type TaskStatus struct {
	Task         string `cbor:"shard"`
	Attempt      uint64 `cbor:"try"`
	State        string `cbor:"phase"`
	ExitCause    string `cbor:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty"`
}

// Heartbeat is the body of POST /checkin: what a worker runs. A worker enters a
// new incarnation, without tasks, when its lease expires; Sequence counts the
// heartbeats of an incarnation, and FencingToken is the highest that the worker
// has seen. TerminationNoticeS is nil unless the cloud has announced that it
// terminates the machine.
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

// Command is one command about one attempt of a task. GracePeriodS belongs to
// VerbKill.
type Command struct {
	Verb         string   `cbor:"verb"`
	Task         string   `cbor:"shard"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty"`
}

// HeartbeatResponse answers a heartbeat; it renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest is the body of POST /commands at a worker, which refuses it if
// it has seen a higher fencing token or is of another incarnation.
type CommandRequest struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"stint"`
	Commands     []Command `cbor:"orders"`
}

// Redirect answers a heartbeat that another controller should handle; it names
// that controller, if it is known.
type Redirect struct {
	Controller string `cbor:"foreman,omitempty"`
}
