package wire

// States of a task attempt in heartbeats.
const (
	TaskPulling       = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskExited        = "exited"
)

// Exit causes of a task attempt.
const (
	ExitCauseDone    = "done"
	ExitCauseStopped = "stopped"
	ExitCauseError   = "error"
	ExitCauseNoRoom  = "no_room"
	ExitCauseInUse   = "in_use"
	ExitCauseUnknown = "unknown"
)

// Command verbs. VerbReap removes an exited attempt from the worker.
const (
	VerbStart = "start"
	VerbKill  = "kill"
	VerbReap  = "reap"
)

// TaskStatus is the status of one task attempt in a heartbeat.
type TaskStatus struct {
	Task         string `cbor:"shard"`
	Attempt      uint64 `cbor:"try"`
	State        string `cbor:"phase"`
	ExitCause    string `cbor:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty"`
}

// Heartbeat is the body of POST /checkin: the state of a worker and its tasks. When its lease
// expires, a worker starts a new incarnation without tasks. Sequence counts the heartbeats of an
// incarnation, and FencingToken is the highest token that the worker has seen. TerminationNoticeS is
// nil unless the cloud has announced that it will terminate the machine.
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

// Command is a command for one task attempt. GracePeriodS applies to VerbKill only.
type Command struct {
	Verb         string   `cbor:"verb"`
	Task         string   `cbor:"shard"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty"`
}

// HeartbeatResponse answers POST /checkin and renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest is the body of POST /commands, which controllers send to a worker. The worker
// rejects it if it has seen a higher fencing token or if its incarnation differs.
type CommandRequest struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"stint"`
	Commands     []Command `cbor:"orders"`
}

// Redirect answers a heartbeat that another controller should handle. Controller is empty if that
// controller is unknown.
type Redirect struct {
	Controller string `cbor:"foreman,omitempty"`
}
