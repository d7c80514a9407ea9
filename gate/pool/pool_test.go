package pool

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/types"
)

func replica(name string, models map[string]string) Replica {
	return Replica{Target: types.Target{Name: name}, Models: models}
}

// TestChooseKeepsModelAvailable checks that the only engine that serves a model is not told to load another
// version.
func TestChooseKeepsModelAvailable(t *testing.T) {
	outdated, current := map[string]string{"m": "1"}, map[string]string{"m": "2"}
	model := types.Model{Name: "m", Version: "2", MinWarm: 2}
	cases := []struct {
		name     string
		replicas []Replica
		want     string
	}{
		{"one outdated: load a second first", []Replica{replica("a", outdated), replica("b", nil)}, "b"},
		{"one outdated and no other engine: no order", []Replica{replica("a", outdated)}, ""},
		{"two outdated: update one", []Replica{replica("a", outdated), replica("b", outdated)}, "a"},
		{"one outdated, one current: update the outdated one", []Replica{replica("a", outdated), replica("b", current)}, "a"},
		{"enough current: no order", []Replica{replica("a", current), replica("b", current), replica("c", nil)}, ""},
		{"too few current: load another", []Replica{replica("a", current), replica("c", nil)}, "c"},
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
