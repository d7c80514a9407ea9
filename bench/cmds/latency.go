package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/bench/report"
	"mulleingate.dev/stand/model"
)

const (
	latencyRounds = 150
	latencyTokens = 12
	histDigits    = 3
	histMax       = int64(time.Minute / time.Microsecond)
)

// enginePath is one path to the engine, with the latencies of its calls in microseconds.
type enginePath struct {
	name          string
	firstEvent    *hdrhistogram.Histogram
	betweenEvents *hdrhistogram.Histogram
	newRequest    func(ctx context.Context) (*http.Request, error)
}

func newEnginePath(name string, newRequest func(ctx context.Context) (*http.Request, error)) *enginePath {
	return &enginePath{name: name, firstEvent: hdrhistogram.New(1, histMax, histDigits), betweenEvents: hdrhistogram.New(1, histMax, histDigits), newRequest: newRequest}
}

// measureLatency compares calls of the engine directly, through one box and through two. The paths
// alternate, so that changes of the machine's load affect all of them.
func measureLatency(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, fleetNeeds{
		boxes: 2, engines: 1,
		shape: func(s *sample.Deployment) { s.Zones = s.Zones[:2] },
		engine: func(s *model.Spec) {
			s.StepTime, s.BatchCost = types.Duration(5*time.Millisecond), 0
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("latency", nil)
	list, err := f.Platform.Roster.List()
	if err != nil {
		return err
	}
	engine := ""
	for _, t := range list.Targets {
		if t.Kind == types.Engine {
			engine = "http://" + t.Addr.String()
		}
	}
	text := []types.Message{{Role: "user", Content: fmt.Sprintf("some words len=%d", latencyTokens)}}
	direct := newEnginePath("directly", func(ctx context.Context) (*http.Request, error) {
		call := types.EngineCall{Attempt: ident.RandomID(), Model: "planner", Messages: text, MaxTokens: 64, CacheKey: ident.RandomID()}
		return client.NewRequest(ctx, http.MethodPost, engine+"/v1/chat/completions", call)
	})
	through := func(url string) func(ctx context.Context) (*http.Request, error) {
		return func(ctx context.Context) (*http.Request, error) {
			s, err := beginProgram(ctx, cli, callerURL(f, 0))
			if err != nil {
				return nil, err
			}
			body := types.TurnRequest{Turn: 1, Messages: text, MaxTokens: 64, Stream: true, Continuation: s.token}
			req, err := client.NewRequest(ctx, http.MethodPost, url+"/v1/programs/"+s.id+"/turns", body)
			if err == nil {
				req.Header.Set("Authorization", "Bearer "+sample.Token("flanders"))
			}
			return req, err
		}
	}
	paths := []*enginePath{direct, newEnginePath("through one box", through(callerURL(f, 0))), newEnginePath("through two boxes", through(callerURL(f, 1)))}
	for range latencyRounds {
		for _, p := range paths {
			if err := p.measure(ctx, cli); err != nil {
				return err
			}
		}
	}
	for _, p := range paths {
		table.Rows = append(table.Rows,
			[]string{"first token " + p.name + ", p50 / p95", formatPercentile(p.firstEvent, 50) + " / " + formatPercentile(p.firstEvent, 95)},
			[]string{"between tokens " + p.name + ", p50 / p95", formatPercentile(p.betweenEvents, 50) + " / " + formatPercentile(p.betweenEvents, 95)})
	}
	for _, p := range paths[1:] {
		first := time.Duration(p.firstEvent.ValueAtQuantile(50)-direct.firstEvent.ValueAtQuantile(50)) * time.Microsecond
		gap := time.Duration(p.betweenEvents.ValueAtQuantile(95)-direct.betweenEvents.ValueAtQuantile(95)) * time.Microsecond
		table.Rows = append(table.Rows, []string{"added " + p.name + ": first token p50 / between tokens p95", formatMillis(first) + " / " + formatMillis(gap)})
	}
	return nil
}

// formatPercentile formats a percentile of a histogram in microseconds.
func formatPercentile(h *hdrhistogram.Histogram, q float64) string {
	return formatMillis(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

// measure sends one streamed call and records the time to its first event, and the times between the
// first latencyTokens events.
func (p *enginePath) measure(ctx context.Context, cli *client.Client) error {
	req, err := p.newRequest(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	resp, err := cli.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return client.Decode(resp, nil)
	}
	events := client.NewEventReader(resp.Body)
	last, n := time.Time{}, 0
	for {
		data, err := events.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if !json.Valid(data) {
			return fault.Fail(fault.Protocol, "an event is not JSON")
		}
		n++
		switch {
		case last.IsZero():
			_ = p.firstEvent.RecordValue(now.Sub(began).Microseconds())
		case n <= latencyTokens:
			_ = p.betweenEvents.RecordValue(max(1, now.Sub(last).Microseconds()))
		}
		last = now
	}
	return nil
}
