package parts_test

import (
	"encoding/json"
	"net/http"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/front"
)

// turnBody returns the JSON body of a turn. extra, unless it is empty, must begin with a comma
// and holds further fields.
func turnBody(turn, text, extra string) string {
	return `{"turn":` + turn + `,"max_tokens":8,"messages":[{"role":"user","content":"` + text + `"}]` + extra + `}`
}

// TestBadRequestsGetTypedErrors sends each kind of bad request through both boxes. The answer
// must have the right type and status and not_run set, and the program must not change.
func TestBadRequestsGetTypedErrors(t *testing.T) {
	p := startPair(t, func(cfg *types.Config, _ *conf.Settings) {
		cfg.Policy.Place = `data_class != "secret" && (data_class != "nowhere" || use == "plaintext" || use == "checkpoint")`
		cfg.Policy.Samples = nil
	})
	valid := p.createProgram(programBody)
	lowBudget := p.createProgram(`{"model":"planner","data_class":"personal","budget":10}`)
	pastDeadline := p.createProgram(`{"model":"planner","data_class":"personal","budget":1000,"deadline":"1ms"}`)
	notPlaceable := p.createProgram(`{"model":"planner","data_class":"nowhere","budget":100000}`)
	other := p.createProgram(programBody)
	turnsPath := func(id string) string { return "/v1/programs/" + id + "/turns" }
	firstTurn := turnBody("1", canary+" len=4", "")
	if code, _, problem := p.send(1, request{method: "POST", path: turnsPath(valid.ID), token: token, body: firstTurn}); code != http.StatusOK {
		t.Fatalf("turn 1: %d %+v", code, problem)
	}
	before := p.readState(valid.ID)
	cases := []struct {
		name string
		req  request
		kind fault.Kind
	}{
		{"bad json", request{"POST", turnsPath(valid.ID), token, "", `{"turn":`}, fault.BadJSON},
		{"oversize body", request{"POST", turnsPath(valid.ID), token, "", `"` + strings.Repeat("x", 70<<10) + `"`}, fault.TooLarge},
		{"unknown workspace", request{"POST", turnsPath(valid.ID), "wrong", "", firstTurn}, fault.Unauthorized},
		{"no token", request{"POST", turnsPath(valid.ID), "", "", firstTurn}, fault.Unauthorized},
		{"program of another workspace", request{"POST", turnsPath(valid.ID), sample.Token("wallonia"), "", firstTurn}, fault.NoProgram},
		{"state of another workspace's program", request{"GET", "/v1/programs/" + valid.ID, sample.Token("wallonia"), "", ""}, fault.NoProgram},
		{"end of another workspace's program", request{"DELETE", "/v1/programs/" + valid.ID, sample.Token("wallonia"), "", ""}, fault.NoProgram},
		{"malformed id", request{"POST", turnsPath("nothing"), token, "", firstTurn}, fault.NoProgram},
		{"skipped turn", request{"POST", turnsPath(valid.ID), token, "", turnBody("3", "x", "")}, fault.TurnConflict},
		{"another body for an answered turn", request{"POST", turnsPath(valid.ID), token, "", turnBody("1", "else", "")}, fault.TurnConflict},
		{"turn zero", request{"POST", turnsPath(valid.ID), token, "", turnBody("0", "x", "")}, fault.BadRequest},
		{"no messages", request{"POST", turnsPath(valid.ID), token, "", `{"turn":2,"messages":[]}`}, fault.BadRequest},
		{"altered continuation", request{"POST", turnsPath(valid.ID), token, "", turnBody("2", "x", `,"continuation":"AAAA"`)}, fault.BadContinuation},
		{"continuation of another program", request{"POST", turnsPath(valid.ID), token, "", turnBody("2", "x", `,"continuation":"`+other.Continuation+`"`)}, fault.BadContinuation},
		{"unknown model", request{"POST", "/v1/programs", token, "", `{"model":"m","data_class":"personal","budget":1}`}, fault.UnknownModel},
		{"no data class", request{"POST", "/v1/programs", token, "", `{"model":"planner","budget":1}`}, fault.BadRequest},
		{"no budget", request{"POST", "/v1/programs", token, "", `{"model":"planner","data_class":"personal"}`}, fault.BadRequest},
		{"no allowed box", request{"POST", "/v1/programs", token, "", `{"model":"planner","data_class":"secret","budget":1}`}, fault.NoAllowedPlace},
		{"no allowed target", request{"POST", turnsPath(notPlaceable.ID), token, "", firstTurn}, fault.NoAllowedPlace},
		{"spent budget", request{"POST", turnsPath(lowBudget.ID), token, "", turnBody("1", strings.Repeat("w ", 40), "")}, fault.BudgetSpent},
		{"missed deadline", request{"POST", turnsPath(pastDeadline.ID), token, "", firstTurn}, fault.DeadlineMissed},
		{"unknown service", request{"POST", "/v1/services/none/calls", token, "", `{"input":1}`}, fault.UnknownService},
		{"no input", request{"POST", "/v1/services/booking/calls", token, "", `{}`}, fault.BadRequest},
		{"long key", request{"POST", "/v1/services/booking/calls", token, strings.Repeat("k", 200), `{"input":1}`}, fault.BadRequest},
		{"agent of an unknown program", request{"POST", "/v1/programs/hall-gent.0.ffff/agents", token, "", programBody}, fault.NoProgram},
	}
	time.Sleep(5 * time.Millisecond)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i := range p.settings {
				code, _, problem := p.send(i, c.req)
				want := fault.Problem{Type: "urn:mulleingate:problem:" + string(c.kind), Title: string(c.kind), Status: fault.Status(c.kind), NotRun: true}
				ignore := cmpopts.IgnoreFields(fault.Problem{}, "Detail", "RequestID", "Head", "RetryAfter")
				if diff := cmp.Diff(want, problem, ignore); diff != "" || code != want.Status || problem.RequestID == "" {
					t.Errorf("through box %d: status %d, request id %q (-want +got):\n%s", i, code, problem.RequestID, diff)
				}
			}
		})
	}
	if diff := cmp.Diff(before, p.readState(valid.ID), cmpopts.IgnoreFields(types.ProgramState{}, "Continuation")); diff != "" {
		t.Errorf("bad requests changed the program (-before +after):\n%s", diff)
	}
	p.checkNoContentLeak()
}

// readState returns the state of a program as box 0 reports it.
func (p *boxPair) readState(id string) types.ProgramState {
	p.t.Helper()
	var state types.ProgramState
	_, raw, _ := p.send(0, request{method: http.MethodGet, path: "/v1/programs/" + id, token: token})
	if err := json.Unmarshal(raw, &state); err != nil {
		p.t.Fatal(err)
	}
	return state
}

// checkNoContentLeak checks that no content of calls is in the boxes' logs, errors, metrics or
// status, or in the first slot's records on the platform's log.
func (p *boxPair) checkNoContentLeak() {
	p.t.Helper()
	sources := map[string]string{"logs": p.logs.text(), "problems": p.problems.String()}
	for _, settings := range p.settings {
		for _, path := range []string{"/metrics", "/status"} {
			var out json.RawMessage
			if err := p.cli.Call(p.t.Context(), http.MethodGet, "http://"+settings.Listen.Admin.String()+path, nil, &out); err != nil {
				p.t.Fatal(err)
			}
			sources[settings.Box.Name+path] = string(out)
		}
	}
	page, err := p.platform.Log.Read(p.t.Context(), "slot.hall-gent.0", 0, 1000)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, entry := range page.Entries {
		sources["platform log"] += string(entry.Data)
	}
	for name, text := range sources {
		if strings.Contains(text, canary) {
			p.t.Errorf("content of a call appears in %s", name)
		}
	}
}

// TestIdempotencyKeyRunsOnce checks that a call runs once per key: a repeat through the other
// box gets the stored answer, and a different body with the same key is rejected.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	p := startPair(t, nil)
	call := request{"POST", "/v1/services/booking/calls?data_class=personal", token, "chair-7", `{"input":{"chair":7}}`}
	var answers []types.ServiceAnswer
	for i := range 2 {
		code, raw, problem := p.send(i, call)
		var answer types.ServiceAnswer
		if code != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
			t.Fatalf("call %d: %d %+v", i, code, problem)
		}
		answers = append(answers, answer)
	}
	if diff := cmp.Diff(string(answers[0].Output), string(answers[1].Output)); diff != "" || !answers[1].Stored {
		t.Errorf("repeat: stored is %v, output (-first +repeat):\n%s", answers[1].Stored, diff)
	}
	if diff := cmp.Diff(map[string]int{"flanders/chair-7": 1}, p.platform.Effects()); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
	call.body = `{"input":{"chair":8}}`
	if _, _, problem := p.send(0, call); problem.Title != string(fault.KeyReused) {
		t.Errorf("different body with the same key: %+v", problem)
	}
}

// TestDataKeyRotation publishes a new data key after each turn. The next turn must accept the
// continuation that was sealed with an older key.
func TestDataKeyRotation(t *testing.T) {
	p := startPair(t, nil)
	prog := p.createProgram(programBody)
	continuation := prog.Continuation
	root, err := p.settings[0].Security.LoadRootKey()
	if err != nil {
		t.Fatal(err)
	}
	for turn := 1; turn <= 3; turn++ {
		body := turnBody(string(rune('0'+turn)), canary+" len=4", `,"continuation":"`+continuation+`"`)
		code, raw, problem := p.send(turn%2, request{"POST", "/v1/programs/" + prog.ID + "/turns", token, "", body})
		var answer types.TurnAnswer
		if code != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
			t.Fatalf("turn %d: %d %+v", turn, code, problem)
		}
		continuation = answer.Continuation
		p.cfg.Keys = append(p.cfg.Keys, root.NewKey("k"+string(rune('1'+turn))))
		p.publish(int64(turn))
		p.waitRevision(int64(turn + 1))
	}
	p.checkNoContentLeak()
}

// waitRevision waits until both boxes use at least the revision number.
func (p *boxPair) waitRevision(number int64) {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		ready := 0
		for _, settings := range p.settings {
			var st types.BoxStatus
			if p.cli.Call(p.t.Context(), http.MethodGet, "http://"+settings.Listen.Admin.String()+"/status", nil, &st) == nil && st.Revision >= number {
				ready++
			}
		}
		if ready == len(p.settings) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.t.Fatalf("the boxes did not reach revision %d in time", number)
}

// TestStricterPolicyReleasesCaches publishes a policy that no longer allows the engine. The
// engine must drop the program's cache, and the program's next turn must be rejected.
func TestStricterPolicyReleasesCaches(t *testing.T) {
	p := startPair(t, nil)
	prog := p.createProgram(programBody)
	path := "/v1/programs/" + prog.ID + "/turns"
	if code, _, problem := p.send(0, request{"POST", path, token, "", turnBody("1", "hello len=4", "")}); code != http.StatusOK {
		t.Fatalf("turn 1: %d %+v", code, problem)
	}
	p.cfg.Policy = types.Policy{Place: `use == "plaintext" || use == "checkpoint"`}
	p.publish(1)
	p.waitRevision(2)
	engine := p.platform.Engines["engine-0"]
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if len(engine.CacheItems()) == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if diff := cmp.Diff(0, len(engine.CacheItems())); diff != "" {
		t.Errorf("caches under the stricter policy (-want +got):\n%s", diff)
	}
	if _, _, problem := p.send(1, request{"POST", path, token, "", turnBody("2", "again", "")}); problem.Title != string(fault.NoAllowedPlace) {
		t.Errorf("turn 2: %+v", problem)
	}
}

// TestRoutesMatchOpenAPI checks that the routes for callers are those in the OpenAPI file.
func TestRoutesMatchOpenAPI(t *testing.T) {
	raw, err := os.ReadFile("../../docs/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	var spec struct {
		Paths map[string]map[string]json.RawMessage `json:"paths"`
	}
	if err := json.Unmarshal(raw, &spec); err != nil {
		t.Fatal(err)
	}
	var described, served []string
	for path, methods := range spec.Paths {
		for method := range methods {
			if method != "parameters" {
				described = append(described, strings.ToUpper(method)+" "+path)
			}
		}
	}
	routes := front.New(front.Options{}, nil, nil, nil, nil, nil, nil, nil).Routes()
	for _, route := range routes {
		var parts []string
		for part := range strings.SplitSeq(route.Path, "/") {
			if name, ok := strings.CutPrefix(part, ":"); ok {
				part = "{" + name + "}"
			}
			parts = append(parts, part)
		}
		served = append(served, route.Method+" "+strings.Join(parts, "/"))
	}
	sort.Strings(described)
	sort.Strings(served)
	if diff := cmp.Diff(described, served); diff != "" {
		t.Errorf("routes (-described +served):\n%s", diff)
	}
}
