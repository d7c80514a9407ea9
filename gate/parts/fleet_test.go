package parts_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/logc"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/parts"
	"mulleingate.dev/stand/plat"
)

// waitTimeout is a generous bound on waits, so that tests do not fail on a busy machine.
const waitTimeout = time.Minute

// canary is part of the content of calls, which must not appear in logs, metrics or errors.
const canary = "canary-7f3a"

// logBuffer collects the log output of the boxes. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// boxPair runs two boxes of one zone and a simulated platform in this process.
type boxPair struct {
	t        *testing.T
	platform *plat.Platform
	settings []conf.Settings
	cli      *client.Client
	logs     *logBuffer
	cfg      types.Config
	keys     sample.Keys
	// problems collects the bodies of all error answers.
	problems bytes.Buffer
}

// startPair starts the platform and both boxes and waits until they are ready. edit, unless it
// is nil, may change the configuration and the settings of each box.
func startPair(t *testing.T, edit func(cfg *types.Config, settings *conf.Settings)) *boxPair {
	t.Helper()
	deployment := sample.Ghent()
	deployment.Zones = deployment.Zones[:1]
	p := &boxPair{t: t, cli: client.New("test", nil), logs: &logBuffer{}, keys: sample.NewKeys("test")}
	var err error
	p.platform, err = plat.New(plat.Spec{Zones: deployment.Zones, Engines: 1, Model: "planner", Services: map[string]int{"booking": 1, "calendar": 1}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.platform.Stop)
	p.cfg, err = sample.Config(deployment, p.keys)
	if err != nil {
		t.Fatal(err)
	}
	ports, err := plat.FreePorts(6)
	if err != nil {
		t.Fatal(err)
	}
	for i, name := range []string{"box-a", "box-b"} {
		settings := conf.Defaults()
		settings.Box = conf.Box{Name: name, Zone: deployment.Zones[0]}
		settings.Listen = conf.Listen{Callers: ports[3*i], Peers: ports[3*i+1], Admin: ports[3*i+2]}
		settings.Platform.Log, settings.Platform.List = p.platform.LogAddr, p.platform.ListAddr
		settings.Security = conf.Security{RootKey: p.keys.Root, OperatorKeys: [][]byte{p.keys.Public()}, InsecureLoopback: true}
		settings.Member.HeartbeatInterval, settings.Member.SuspectTimeout = types.Duration(100*time.Millisecond), types.Duration(1500*time.Millisecond)
		settings.Limits.MaxBodyBytes, settings.Limits.BodyTimeout = 64<<10, types.Duration(200*time.Millisecond)
		settings.Slots.CheckInterval = types.Duration(20 * time.Millisecond)
		if edit != nil {
			edit(&p.cfg, &settings)
		}
		p.platform.AddBox(types.Member{Name: name, Zone: settings.Box.Zone, Peer: settings.Listen.Peers})
		p.settings = append(p.settings, settings)
	}
	p.publish(0)
	logger := slog.New(slog.NewTextHandler(p.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	for _, settings := range p.settings {
		box := parts.New(settings, logger)
		if err := box.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			_ = box.Stop(ctx)
		})
	}
	p.waitReady()
	return p
}

// publish publishes p.cfg as the revision that follows base.
func (p *boxPair) publish(base int64) {
	p.t.Helper()
	log := logc.New(p.platform.LogAddr, time.Second)
	if _, err := revs.Publish(p.t.Context(), log, p.keys.Operator, revs.Keys(p.keys.Public()), revs.Draft{Base: base, Config: p.cfg}); err != nil {
		p.t.Fatal(err)
	}
}

// waitReady waits until both boxes are ready and together own all slots.
func (p *boxPair) waitReady() {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		owned := 0
		for _, settings := range p.settings {
			var st types.BoxStatus
			err := p.cli.Call(p.t.Context(), http.MethodGet, "http://"+settings.Listen.Admin.String()+"/status", nil, &st)
			if err == nil && st.Ready {
				owned += len(st.Slots)
			}
		}
		if owned == 4 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatal("the boxes were not ready or did not own all slots in time")
}

// request is an HTTP request of a caller; key is the idempotency key.
type request struct {
	method, path, token, key, body string
}

// send sends r to box i and returns the status, the body and, for an error, the decoded problem.
func (p *boxPair) send(i int, r request) (int, []byte, fault.Problem) {
	p.t.Helper()
	req, err := http.NewRequestWithContext(p.t.Context(), r.method, "http://"+p.settings[i].Listen.Callers.String()+r.path, strings.NewReader(r.body))
	if err != nil {
		p.t.Fatal(err)
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := p.cli.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	var problem fault.Problem
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.Unmarshal(raw, &problem)
		p.problems.Write(raw)
	}
	return resp.StatusCode, raw, problem
}

// token authenticates the workspace flanders.
var token = sample.Token("flanders")

// createProgram creates a program through box 0.
func (p *boxPair) createProgram(body string) types.ProgramState {
	p.t.Helper()
	code, raw, problem := p.send(0, request{method: http.MethodPost, path: "/v1/programs", token: token, body: body})
	var state types.ProgramState
	if code != http.StatusCreated || json.Unmarshal(raw, &state) != nil {
		p.t.Fatalf("program not created: %d %+v", code, problem)
	}
	return state
}

// programBody is a valid body for creating a program.
const programBody = `{"model":"planner","data_class":"personal","kind":"booking","budget":100000}`
