package worker

import (
	"strings"
	"testing"
)

// Guards against dropping an image too early, so that another machine pulls it although this one has
// it, and against keeping it too long, so that tasks wait for a machine that has deleted it.
func TestImagesAreRememberedWithinDiskSize(t *testing.T) {
	size := map[string]float64{"a": 30, "b": 30, "c": 30, "big": 90}
	sizeGB := func(image string) float64 { return size[image] }
	w := NewWorker(testMachine)
	for _, image := range []string{"a", "b", "c", "a"} {
		w.RecordImage(image, sizeGB, 100)
	}
	if got := strings.Join(w.Images, " "); got != "b c a" {
		t.Fatalf(`images %q, want "b c a"`, got)
	}
	if w.RecordImage("big", sizeGB, 100); strings.Join(w.Images, " ") != "big" {
		t.Fatalf("images %q, want only the one that fills the disk", w.Images)
	}
	if w.RecordImage("a", sizeGB, 0); strings.Join(w.Images, " ") != "big a" {
		t.Fatalf("images %q, want all while the size of the disk is not known", w.Images)
	}
}
