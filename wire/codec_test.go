package wire

import "fmt"

func ExampleUnmarshal() {
	body := MustMarshal(JobStatus{ID: "wk-000412", State: StateRunning, Done: 3, Running: 13})
	var status JobStatus
	if err := Unmarshal(body, &status); err != nil {
		fmt.Println(err)
	}
	fmt.Println(status.State, status.Done)
	// Output: running 3
}
