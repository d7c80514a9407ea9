package recap

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/logs"
)

const logText = `  1.0 box-1 {"time":"2026-12-02T10:00:00Z","msg":"node: started"}
{"time":"2026-12-02T10:00:00.5Z","msg":"turns: turn answered","route":"chat","placed":2000000,"first":40000000,"confirm":8000000,"took":248000000}
{"time":"2026-12-02T10:00:00.6Z","msg":"turns: turn answered","route":"chat","placed":4000000,"first":80000000,"confirm":12000000,"took":352000000}
{"time":"2026-12-02T10:00:01.1Z","msg":"turns: turn failed","route":"chat","ran":true,"kind":"log_unavailable"}
{"time":"2026-12-02T10:00:01.2Z","msg":"turns: turn failed","route":"chat","ran":false,"kind":"overloaded"}
{"time":"2026-12-02T10:00:01.3Z","msg":"turns: turn failed","route":"chat","ran":false,"kind":"overloaded"}
{"time":"2026-12-02T10:00:01.4Z","msg":"entry: owner not reached","route":"chat"}
{"time":"2026-12-02T10:00:00.7Z","msg":"relay: call answered","route":"book","took":30000000}
{"time":"2026-12-02T10:00:00.8Z","msg":"relay: call failed","route":"book","kind":"no_target","ran":0}
{"time":"2026-12-02T10:00:00.9Z","msg":"relay: call failed","route":"book","kind":"timed_out","ran":1}
`

// TestSummary checks that calls are counted under their route and interval, with the causes of
// failures, and that the parts of a turn's time are not mixed up.
func TestSummary(t *testing.T) {
	lines, err := logs.Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	sums := Summarize(lines, time.Second)
	want := [][]string{
		{"book", "0.0", "1", "1", "1", "0.0", "0.0", "0.0", "0.0", "30.0", "no_target 1, timed_out 1"},
		{"chat", "0.0", "2", "0", "0", "3.0", "57.0", "230.0", "10.0", "300.0", ""},
		{"chat", "1.0", "0", "3", "1", "0.0", "0.0", "0.0", "0.0", "0.0", "overloaded 2, log_unavailable 1, owner not reached 1"},
	}
	if diff := cmp.Diff(want, sums.Table().Rows); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	var names []string
	for _, line := range sums.Series(1) {
		names = append(names, line.Name)
	}
	if diff := cmp.Diff([]string{"chat answered", "chat refused or failed"}, names); diff != "" {
		t.Errorf("names of the plotted series (-want +got):\n%s", diff)
	}
}
