package subset

import (
	"fmt"
	"testing"
)

// TestSubsetSizes checks that the number of replicas that a box knows stays bounded while the fleet
// grows, that small fleets are known completely, and that small changes of the fleet keep a level.
func TestSubsetSizes(t *testing.T) {
	for _, c := range []struct{ replicas, boxes, most int }{
		{12, 39, 12}, {60, 22, 60}, {282, 60, 96}, {938, 197, 96}, {1876, 394, 96}, {9380, 1970, 96}, {938, 20, 469},
	} {
		level := Level(c.replicas, c.boxes)
		if got := c.replicas >> level; got > c.most {
			t.Errorf("%d replicas, %d boxes: %d known, want at most %d", c.replicas, c.boxes, got, c.most)
		}
		if !LevelFits(c.replicas, c.boxes, level) || !LevelFits(c.replicas*9/10, c.boxes, level) || !LevelFits(c.replicas*11/10, c.boxes*9/10, level) {
			t.Errorf("%d replicas, %d boxes: level does not stay when the fleet changes by a tenth", c.replicas, c.boxes)
		}
	}
	if LevelFits(938, 197, 0) || LevelFits(200, 197, 4) {
		t.Error("a subset that is far too large or too small keeps its level")
	}
}

// TestReplicaCoverage checks that, with half of a zone's boxes gone, nearly every replica is still
// known to some box, and that the average number of boxes is as expected.
func TestReplicaCoverage(t *testing.T) {
	const replicas, boxes = 938, 197
	levels := Levels{"s@a": Level(replicas, boxes)}
	sum, unknown := 0, 0
	for r := range replicas {
		known := 0
		for b := range boxes / 2 {
			if levels.Knows(fmt.Sprintf("box-%d", b), fmt.Sprintf("i-%d", r), "s@a") {
				known++
			}
		}
		sum += known
		if known == 0 {
			unknown++
		}
	}
	if mean := float64(sum) / replicas; mean < 5 || mean > 7.3 {
		t.Errorf("a replica is known to %.1f boxes on average, want 5 to 7.3", mean)
	}
	if unknown > replicas/100 {
		t.Errorf("%d of %d replicas are known to no box", unknown, replicas)
	}
	if !(Levels{}).Knows("b", "i", "s@a") {
		t.Error("a replica of a group without a level is not known")
	}
}

// TestLevelsOutOfRange guards against levels of other boxes that hide all replicas of a group or can't be used as a number
// of bits.
func TestLevelsOutOfRange(t *testing.T) {
	for level, valid := range map[int]bool{-1: false, 0: true, Level(1_000_000, 10_000): true, 63: false, 65: false} {
		if got := (Levels{"a": 0, "s@a": level}).Valid(); got != valid {
			t.Errorf("level %d is valid: %v", level, got)
		}
	}
}
