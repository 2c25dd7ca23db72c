package wire

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

func valid() map[string]any {
	return map[string]any{"ref": "wk-000412", "cohort": "train", "crew": "vision", "shape": "array", "rank": "urgent",
		"shards": 16, "cpus": 8.0, "cards": 1.0, "ram_gb": 64, "bundle": "img-07", "image_gb": 6.2, "rigs": []string{"g8"},
		"plot": nil, "together": true, "apart": false, "windfall": true, "reckon_s": 240.0, "stake_s": 30.0, "stash_s": 4.0,
		"due_s": 900.0, "field_of_tomorrow": map[string]any{"x": 1}}
}

func TestDecodeJobSpec(t *testing.T) {
	w, err := DecodeJobSpec(MustMarshal(valid()))
	if err != nil || w.Tasks != 16 || w.RAMGB != 64 || w.Zone != nil || *w.DeadlineS != 900 {
		t.Fatalf("%+v %v", w, err)
	}
	for _, null := range []string{"rigs", "plot", "due_s", "awaits"} {
		m := valid()
		delete(m, null)
		if _, err := DecodeJobSpec(MustMarshal(m)); err != nil {
			t.Errorf("without %s: %v", null, err)
		}
		m[null] = nil
		if w, err := DecodeJobSpec(MustMarshal(m)); err != nil || len(w.DependsOn) != 0 {
			t.Errorf("%s null: %v", null, err)
		}
	}
	awaits := valid()
	awaits["awaits"] = []string{"wk-000398", "wk-000405"}
	if w, err := DecodeJobSpec(MustMarshal(awaits)); err != nil || len(w.DependsOn) != 2 || w.DependsOn[1] != "wk-000405" {
		t.Errorf("awaits %v %v", w.DependsOn, err)
	}
	for _, bad := range []any{"wk-000398", 7, []any{"wk-000398", 7}, []any{"wk-000398", nil}, map[string]int{"wk-000398": 1}} {
		awaits["awaits"] = bad
		if _, err := DecodeJobSpec(MustMarshal(awaits)); !errors.Is(err, ErrMalformed) {
			t.Errorf("awaits %v: %v", bad, err)
		}
	}
	for _, f := range requiredFields {
		for _, v := range []any{nil, []int{1}} {
			m := valid()
			m[f] = v
			if _, err := DecodeJobSpec(MustMarshal(m)); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s = %v: %v", f, v, err)
			}
		}
		m := valid()
		delete(m, f)
		if _, err := DecodeJobSpec(MustMarshal(m)); !errors.Is(err, ErrMalformed) {
			t.Errorf("without %s: %v", f, err)
		}
	}
	for f, v := range map[string]any{"ref": "job-1", "shape": "heap", "rank": "high", "shards": 0, "cpus": -1.0, "due_s": -5.0, "plot": ""} {
		m := valid()
		m[f] = v
		if _, err := DecodeJobSpec(MustMarshal(m)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s = %v was taken", f, v)
		}
	}
	m := valid()
	m["shards"] = MaxTasks + 1
	if _, err := DecodeJobSpec(MustMarshal(m)); err == nil {
		t.Error("too many shards were taken")
	}
	for _, b := range [][]byte{nil, {0xf6}, []byte("{}"), MustMarshal([]int{1}), append(MustMarshal(valid()), 0)} {
		if _, err := DecodeJobSpec(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%x was taken", b)
		}
	}
}

func FuzzDecodeJobSpec(f *testing.F) {
	f.Add(MustMarshal(valid()))
	f.Add([]byte{0xa1, 0x63, 'r', 'e', 'f', 0x00})
	awaits := valid()
	awaits["awaits"] = []string{"wk-000398", "wk-000398", "", "not a job"}
	f.Add(MustMarshal(awaits))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := DecodeJobSpec(b)
		if err != nil {
			return
		}
		again, err := DecodeJobSpec(MustMarshal(w))
		if err != nil || again.ID != w.ID || again.Tasks != w.Tasks || !slices.Equal(again.DependsOn, w.DependsOn) {
			t.Fatalf("what was taken is refused when encoded again: %v", err)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add(MustMarshal(Heartbeat{Machine: "host-1", Incarnation: 1, Tasks: []TaskStatus{{Task: "wk-1/0", Attempt: 1, State: TaskRunning}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c Heartbeat
		if Unmarshal(b, &c) == nil {
			MustMarshal(c)
		}
	})
}

func ExampleDecodeJobSpec() {
	body := MustMarshal(JobSpec{ID: "wk-000412", Class: "train", Team: "vision", Kind: KindArray, Priority: PriorityNormal,
		Tasks: 4, CPUs: 8, GPUs: 1, RAMGB: 64, Image: "img-07", ImageGB: 6.2})
	w, err := DecodeJobSpec(body)
	fmt.Println(w.ID, w.Tasks, err)
	// Output: wk-000412 4 <nil>
}

// A job that starts once two others are done.
func ExampleJobSpec() {
	w := JobSpec{ID: "wk-000412", Class: "report", Team: "vision", Kind: KindArray, Priority: PriorityUrgent, Tasks: 1,
		CPUs: 1, RAMGB: 4, Image: "img-07", ImageGB: 0.5, DependsOn: []string{"wk-000398", "wk-000405"}}
	got, err := DecodeJobSpec(MustMarshal(w))
	fmt.Println(got.DependsOn, err)
	// Output: [wk-000398 wk-000405] <nil>
}

func ExampleUnmarshal() {
	body := MustMarshal(JobStatus{ID: "wk-000412", State: StateRunning, Done: 3, Running: 13})
	var st JobStatus
	if err := Unmarshal(body, &st); err != nil {
		fmt.Println(err)
	}
	fmt.Println(st.State, st.Done)
	// Output: running 3
}
