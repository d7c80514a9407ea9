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

// way is one way to the engine, with what was measured on it.
type way struct {
	name  string
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
	call  func(ctx context.Context) (*http.Request, error)
}

func newWay(name string, call func(ctx context.Context) (*http.Request, error)) *way {
	return &way{name: name, first: hdrhistogram.New(1, histMax, histDigits), gap: hdrhistogram.New(1, histMax, histDigits), call: call}
}

// latencyFigures compares the engine directly, through one box, and through two, taking
// turns in one run.
func latencyFigures(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, want{
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
	direct := newWay("directly", func(ctx context.Context) (*http.Request, error) {
		call := types.EngineCall{Attempt: ident.RandomID(), Model: "planner", Messages: text, MaxTokens: 64, CacheKey: ident.RandomID()}
		return client.Request(ctx, http.MethodPost, engine+"/v1/chat/completions", call)
	})
	through := func(from string) func(ctx context.Context) (*http.Request, error) {
		return func(ctx context.Context) (*http.Request, error) {
			s, err := begin(ctx, cli, entry(f, 0))
			if err != nil {
				return nil, err
			}
			body := types.TurnRequest{Turn: 1, Messages: text, MaxTokens: 64, Stream: true, Continuation: s.token}
			req, err := client.Request(ctx, http.MethodPost, from+"/v1/programs/"+s.id+"/turns", body)
			if err == nil {
				req.Header.Set("Authorization", "Bearer "+sample.Token("flanders"))
			}
			return req, err
		}
	}
	ways := []*way{direct, newWay("through one box", through(entry(f, 0))), newWay("through two boxes", through(entry(f, 1)))}
	for range latencyRounds {
		for _, w := range ways {
			if err := w.measure(ctx, cli); err != nil {
				return err
			}
		}
	}
	for _, w := range ways {
		table.Rows = append(table.Rows,
			[]string{"first token " + w.name + ", p50 / p95", at(w.first, 50) + " / " + at(w.first, 95)},
			[]string{"between tokens " + w.name + ", p50 / p95", at(w.gap, 50) + " / " + at(w.gap, 95)})
	}
	for _, w := range ways[1:] {
		first := time.Duration(w.first.ValueAtQuantile(50)-direct.first.ValueAtQuantile(50)) * time.Microsecond
		gap := time.Duration(w.gap.ValueAtQuantile(95)-direct.gap.ValueAtQuantile(95)) * time.Microsecond
		table.Rows = append(table.Rows, []string{"added " + w.name + ": first token p50 / between tokens p95", micros(first) + " / " + micros(gap)})
	}
	return nil
}

func at(h *hdrhistogram.Histogram, q float64) string {
	return micros(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func (w *way) measure(ctx context.Context, cli *client.Client) error {
	req, err := w.call(ctx)
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
			_ = w.first.RecordValue(now.Sub(began).Microseconds())
		case n <= latencyTokens:
			_ = w.gap.RecordValue(max(1, now.Sub(last).Microseconds()))
		}
		last = now
	}
	return nil
}
