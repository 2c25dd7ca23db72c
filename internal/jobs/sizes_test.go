package jobs

import (
	"encoding/json"
	"testing"
)

func TestChunkRecordsStayBelowTheValueLimit(t *testing.T) {
	size := func(c ChunkRecord) int {
		var list []any
		for _, k := range c.Tasks {
			list = append(list, []any{k.State, k.Attempt, k.Machine, k.Incarnation, k.Failures})
		}
		b, err := json.Marshal(map[string]any{"t": list})
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	full := func(n int, k Task) (c ChunkRecord) {
		for range n {
			c.Tasks = append(c.Tasks, k)
		}
		return c
	}
	for _, kb := range []float64{1, 2, 4, 16} {
		c := full(ChunkSize(kb), Task{State: Claimed, Attempt: 99, Machine: "host-000231", Incarnation: 99, Failures: 9})
		if n := c.Bytes(); float64(n) > kb*1024 || size(c) > n {
			t.Errorf("%g KiB: %d tasks take %d bytes, by our count %d", kb, len(c.Tasks), size(c), n)
		}
	}
	// With longer names a claim too many is left out: its bound is what the
	// record grows by.
	for _, k := range []Task{{}, {Attempt: 9}, {Attempt: 99999, Failures: 20}} {
		was := full(3, k)
		e := TaskEvent{Kind: Claim, Machine: "a-machine-with-a-long-name", Incarnation: 12345}
		is := full(3, k)
		is.Tasks[1], _ = k.Next(e)
		if grown := is.Bytes() - was.Bytes(); grown > ClaimBytes(e) || size(is) > is.Bytes() {
			t.Errorf("%+v: grows by %d, bound %d", k, grown, ClaimBytes(e))
		}
	}
}
