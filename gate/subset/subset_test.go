package subset

import (
	"fmt"
	"testing"
)

// TestSizes checks that what a box knows stays between two bounds while the fleet grows, and that small fleets are known
// whole.
func TestSizes(t *testing.T) {
	for _, c := range []struct{ replicas, boxes, most int }{
		{12, 39, 12}, {60, 22, 60}, {282, 60, 96}, {938, 197, 96}, {1876, 394, 96}, {9380, 1970, 96}, {938, 20, 469},
	} {
		level := Level(c.replicas, c.boxes)
		if got := c.replicas >> level; got > c.most {
			t.Errorf("%d replicas, %d boxes: %d known, want at most %d", c.replicas, c.boxes, got, c.most)
		}
		if !Fits(c.replicas, c.boxes, level) || !Fits(c.replicas*9/10, c.boxes, level) || !Fits(c.replicas*11/10, c.boxes*9/10, level) {
			t.Errorf("%d replicas, %d boxes: drawn anew for a tenth", c.replicas, c.boxes)
		}
	}
	if Fits(938, 197, 0) || Fits(200, 197, 4) {
		t.Error("a part that is far too large or too small is kept")
	}
}

// TestEachReplicaIsKnown checks that every replica is known by some boxes of a zone of 197, about as many each, while half
// of the boxes are gone.
func TestEachReplicaIsKnown(t *testing.T) {
	const replicas, boxes = 938, 197
	levels := Levels{"s@a": Level(replicas, boxes)}
	sum, lone := 0, 0
	for r := range replicas {
		known := 0
		for b := range boxes / 2 {
			if levels.Holds(fmt.Sprintf("box-%d", b), fmt.Sprintf("i-%d", r), "s@a") {
				known++
			}
		}
		sum += known
		if known == 0 {
			lone++
		}
	}
	if mean := float64(sum) / replicas; mean < 5 || mean > 7.3 {
		t.Errorf("a replica is known by %.1f of half of the boxes", mean)
	}
	if lone > replicas/100 {
		t.Errorf("%d of %d replicas are known by none of half of the boxes", lone, replicas)
	}
	if !(Levels{}).Holds("b", "i", "s@a") {
		t.Error("a group without a level is not known whole")
	}
}
