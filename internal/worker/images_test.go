package worker

import (
	"strings"
	"testing"
)

// An image that is forgotten too early is pulled by another machine although
// this one has it; one that is remembered too long is waited for here.
func TestImagesAreRememberedWithinDiskSize(t *testing.T) {
	size := map[string]float64{"a": 30, "b": 30, "c": 30, "big": 90}
	sizeGB := func(image string) float64 { return size[image] }
	w := NewWorker(testMachine)
	for _, image := range []string{"a", "b", "c", "a"} {
		w.RecordImage(image, sizeGB, 100)
	}
	if got := strings.Join(w.Images, " "); got != "b c a" {
		t.Fatalf("holds %q", got)
	}
	if w.RecordImage("big", sizeGB, 100); strings.Join(w.Images, " ") != "big" {
		t.Fatalf("holds %q beside an image that leaves no room", w.Images)
	}
	if w.RecordImage("a", sizeGB, 0); strings.Join(w.Images, " ") != "big a" {
		t.Fatalf("holds %q though the disk is not known", w.Images)
	}
}
