package jobs

import "testing"

func TestChunkKeysAreParsed(t *testing.T) {
	if jobID, chunk, ok := ParseChunkKey(ChunkKey("wk-7", 12)); jobID != "wk-7" || chunk != 12 || !ok {
		t.Fatal(jobID, chunk, ok)
	}
}
