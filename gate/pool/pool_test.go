package pool

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/types"
)

func replica(name string, models map[string]string) Replica {
	return Replica{Target: types.Target{Name: name}, Models: models}
}

func TestChooseKeepsTheLastWarmReplica(t *testing.T) {
	old, now := map[string]string{"m": "1"}, map[string]string{"m": "2"}
	model := types.Model{Name: "m", Version: "2", MinWarm: 2}
	cases := []struct {
		name     string
		replicas []Replica
		want     string
	}{
		{"only an old one: load a second first", []Replica{replica("a", old), replica("b", nil)}, "b"},
		{"only an old one and no other: leave it", []Replica{replica("a", old)}, ""},
		{"two old ones: change one", []Replica{replica("a", old), replica("b", old)}, "a"},
		{"one of each: change the old one", []Replica{replica("a", old), replica("b", now)}, "a"},
		{"enough: nothing to do", []Replica{replica("a", now), replica("b", now), replica("c", nil)}, ""},
		{"too few: load another", []Replica{replica("a", now), replica("c", nil)}, "c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := ChooseEngine(model, c.replicas)
			if diff := cmp.Diff(c.want, got.Name); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}
}
