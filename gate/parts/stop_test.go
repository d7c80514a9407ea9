package parts_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/parts"
	"mulleingate.dev/stand/plat"
)

// startThird starts a box besides the pair that stops within the given time, and waits until it serves callers.
func (p *boxPair) startThird(stopTimeout time.Duration) (*parts.Box, conf.Settings) {
	p.t.Helper()
	ports, err := plat.FreePorts(3)
	if err != nil {
		p.t.Fatal(err)
	}
	settings := p.settings[0]
	settings.Box.Name = "box-c"
	settings.Listen = conf.Listen{Callers: ports[0], Peers: ports[1], Admin: ports[2]}
	settings.Limits.BodyTimeout, settings.Limits.StopTimeout = types.Duration(15*time.Second), types.Duration(stopTimeout)
	p.platform.AddBox(types.Member{Name: settings.Box.Name, Zone: settings.Box.Zone, Peer: settings.Listen.Peers})
	box := parts.New(settings, slog.New(slog.NewTextHandler(p.logs, nil)))
	if err := box.Start(p.t.Context()); err != nil {
		p.t.Fatal(err)
	}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		var st types.BoxStatus
		if p.cli.Call(p.t.Context(), http.MethodGet, "http://"+settings.Listen.Admin.String()+"/status", nil, &st) == nil && st.Ready {
			return box, settings
		}
	}
	p.t.Fatal("the box did not become ready")
	return nil, settings
}

// slowTurn sends a turn whose last byte arrives at the given time, and returns the status and the problem of the answer.
// The status is 0 if there was no complete answer.
func slowTurn(addr, program string, last time.Time) (int, fault.Problem) {
	var problem fault.Problem
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, problem
	}
	defer func() { _ = conn.Close() }()
	const body = `{"turn":1,"max_tokens":2000,"messages":[{"role":"user","content":"x len=400"}]}` // takes a second
	_, _ = fmt.Fprintf(conn, "POST /v1/programs/%s/turns HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		program, token, len(body), body[:len(body)-1]) // the read fails otherwise
	time.Sleep(time.Until(last))
	_, _ = io.WriteString(conn, "}")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, problem
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, problem
	}
	_ = json.Unmarshal(raw, &problem) // answers are no problems
	return resp.StatusCode, problem
}

// TestTurnWholeLateInStopIsRefused guards against turns whose bodies arrive after a stopping box has ended its drain delay:
// they were run and cut at the end of the stop.
func TestTurnWholeLateInStopIsRefused(t *testing.T) {
	const stopTimeout = 4 * time.Second
	p := startPair(t, nil)
	box, settings := p.startThird(stopTimeout)
	type outcome struct {
		Status int
		NotRun bool
	}
	lasts := []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond}
	signal := time.Now().Add(500 * time.Millisecond)
	outcomes := make([]chan outcome, len(lasts))
	for i, last := range lasts {
		outcomes[i] = make(chan outcome, 1)
		program := p.createProgram(programBody).ID
		go func() {
			status, problem := slowTurn(settings.Listen.Callers.String(), program, signal.Add(last))
			outcomes[i] <- outcome{Status: status, NotRun: problem.NotRun}
		}()
	}
	time.Sleep(time.Until(signal))
	_ = box.Stop(context.Background()) // what matters is what the callers see
	refused := outcome{Status: http.StatusServiceUnavailable, NotRun: true}
	for i, want := range []outcome{{Status: http.StatusOK}, refused, refused, refused} {
		if diff := cmp.Diff(want, <-outcomes[i]); diff != "" {
			t.Errorf("turn whole %v after the signal (-want +got):\n%s", lasts[i], diff)
		}
	}
}
