package fake

import (
	"slices"
	"sync"
	"time"

	"wheatspur/wire"
)

// CommandLog records the commands that workers receive.
type CommandLog struct {
	mu           sync.Mutex     // guards all below
	starts       map[string]int // number of start commands, by attemptKey
	startTimes   []time.Time    // time of each start command, in order
	startedTasks []string       // task of each start command, in order
	kills        []string       // attempts that were running when a kill command was received
}

// NewCommandLog returns an empty log.
func NewCommandLog() *CommandLog { return &CommandLog{starts: map[string]int{}} }

// Record records commands that a worker has received but not yet carried out.
func (l *CommandLog) Record(now time.Time, w *Worker, commands []wire.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, command := range commands {
		key := attemptKey(command)
		switch command.Verb {
		case wire.VerbStart:
			l.starts[key]++
			l.startTimes = append(l.startTimes, now)
			l.startedTasks = append(l.startedTasks, command.Task)
		case wire.VerbKill:
			if task := w.Tasks[key]; task != nil && task.State == wire.TaskRunning {
				l.kills = append(l.kills, key)
			}
		}
	}
}

// CommandSummary is the content of a CommandLog.
type CommandSummary struct {
	Starts          int      // number of attempts that got a start command
	DuplicateStarts []string // attempts for which more than one start command was received
	Kills           []string // attempts that were running when a kill command was received
	StartedTasks    []string // task of each start command, in order
}

// Snapshot returns the content of the log.
func (l *CommandLog) Snapshot() CommandSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := CommandSummary{Starts: len(l.starts), Kills: slices.Clone(l.kills), StartedTasks: slices.Clone(l.startedTasks)}
	for key, count := range l.starts {
		if count > 1 {
			out.DuplicateStarts = append(out.DuplicateStarts, key)
		}
	}
	return out
}

// MaxStartsWithin returns the maximum number of start commands received within any time window
// of a length.
func (l *CommandLog) MaxStartsWithin(window time.Duration) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := 0
	for last, at := range l.startTimes {
		for at.Sub(l.startTimes[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
