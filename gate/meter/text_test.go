package meter

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestWriteText(t *testing.T) {
	m := New()
	m.Count("relay.failed", 2)
	m.Gauge("node.slots", 3)
	m.Time(`turns.first_event{class=a"b}`, 5*time.Millisecond)
	var out strings.Builder
	if err := m.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	want := `# TYPE mulleingate_relay_failed_total counter
mulleingate_relay_failed_total 2
# TYPE mulleingate_node_slots gauge
mulleingate_node_slots 3
# TYPE mulleingate_turns_first_event_us summary
mulleingate_turns_first_event_us{class="a\"b",quantile="0.5"} 5000
mulleingate_turns_first_event_us{class="a\"b",quantile="0.95"} 5000
mulleingate_turns_first_event_us{class="a\"b",quantile="0.99"} 5000
mulleingate_turns_first_event_us_sum{class="a\"b"} 5000
mulleingate_turns_first_event_us_count{class="a\"b"} 1
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
}
