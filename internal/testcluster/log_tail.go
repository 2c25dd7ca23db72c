package testcluster

import (
	"io"
	"sync"
)

// logTailSize is the size of the kept end of a controller log, in bytes.
const logTailSize = 4096

// logTail forwards the log of a controller and keeps its end, which shows why a process exited
// unexpectedly.
type logTail struct {
	output io.Writer // nil discards the log

	mu   sync.Mutex // guards tail
	tail []byte
}

// Write implements io.Writer.
func (l *logTail) Write(text []byte) (int, error) {
	l.keep(text)
	if l.output == nil {
		return len(text), nil
	}
	return l.output.Write(text)
}

func (l *logTail) keep(text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tail = append(l.tail, text...)
	l.tail = l.tail[max(0, len(l.tail)-logTailSize):]
}

// String returns the kept end of the log.
func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.tail)
}
