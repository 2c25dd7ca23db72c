package jobs

import (
	"encoding/json"
	"fmt"
	"testing"
)

// chunkJSONSize is the size of a chunk record as the key-value store counts it.
func chunkJSONSize(t *testing.T, record ChunkRecord) int {
	t.Helper()
	var tasks []any
	for _, task := range record.Tasks {
		tasks = append(tasks, []any{task.State, task.Attempt, task.Machine, task.Incarnation, task.Failures})
	}
	b, err := json.Marshal(map[string]any{"t": tasks})
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

func newChunkRecord(count int, task Task) (record ChunkRecord) {
	for range count {
		record.Tasks = append(record.Tasks, task)
	}
	return record
}

func TestChunkRecordsStayBelowTheValueLimit(t *testing.T) {
	for _, limitKB := range []float64{1, 2, 4, 16} {
		t.Run(fmt.Sprintf("%g KiB", limitKB), func(t *testing.T) {
			record := newChunkRecord(MaxTasksPerChunk(limitKB), Task{State: Claimed, Attempt: 99, Machine: "host-000231", Incarnation: 99, Failures: 9})
			if bound, size := record.MaxJSONBytes(), chunkJSONSize(t, record); float64(bound) > limitKB*1024 || size > bound {
				t.Errorf("%d tasks take %d bytes, bound %d", len(record.Tasks), size, bound)
			}
		})
	}
}

// Claims that would make a chunk record too large, such as those of machines with long names, are
// left out. So MaxClaimBytes must not be less than what a claim adds to the record.
func TestMaxClaimBytesBoundsRecordGrowth(t *testing.T) {
	for _, pending := range []Task{{}, {Attempt: 9}, {Attempt: 99999, Failures: 20}} {
		t.Run(fmt.Sprintf("attempt %d", pending.Attempt), func(t *testing.T) {
			claim := TaskEvent{Kind: EventTaskClaim, Machine: "a-machine-with-a-long-name", Incarnation: 12345}
			before, after := newChunkRecord(3, pending), newChunkRecord(3, pending)
			var err error
			if after.Tasks[1], err = pending.Next(claim); err != nil {
				t.Fatal(err)
			}
			if grown := after.MaxJSONBytes() - before.MaxJSONBytes(); grown > MaxClaimBytes(claim) || chunkJSONSize(t, after) > after.MaxJSONBytes() {
				t.Errorf("the record grows by %d bytes, bound %d", grown, MaxClaimBytes(claim))
			}
		})
	}
}
