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

func turnBody(turn, text, extra string) string {
	return `{"turn":` + turn + `,"max_tokens":8,"messages":[{"role":"user","content":"` + text + `"}]` + extra + `}`
}

// TestFailuresHaveTypes sends every kind of bad request and checks type, status and
// not_run, and that none of them changed the program.
func TestFailuresHaveTypes(t *testing.T) {
	p := start(t, func(cfg *types.Config, _ *conf.Settings) {
		cfg.Policy.Place = `data_class != "secret" && (data_class != "nowhere" || use == "plaintext" || use == "checkpoint")`
		cfg.Policy.Samples = nil
	})
	own := p.begin(plainProgram)
	poor := p.begin(`{"model":"planner","data_class":"personal","budget":10}`)
	late := p.begin(`{"model":"planner","data_class":"personal","budget":1000,"deadline":"1ms"}`)
	noPlace := p.begin(`{"model":"planner","data_class":"nowhere","budget":100000}`)
	other := p.begin(plainProgram)
	turns := func(id string) string { return "/v1/programs/" + id + "/turns" }
	ask := turnBody("1", canary+" len=4", "")
	if code, _, problem := p.send(1, request{method: "POST", path: turns(own.ID), token: token, body: ask}); code != http.StatusOK {
		t.Fatalf("turn 1: %d %+v", code, problem)
	}
	before := p.state(own.ID)
	cases := []struct {
		name string
		req  request
		kind fault.Kind
	}{
		{"bad json", request{"POST", turns(own.ID), token, "", `{"turn":`}, fault.BadJSON},
		{"oversize body", request{"POST", turns(own.ID), token, "", `"` + strings.Repeat("x", 70<<10) + `"`}, fault.TooLarge},
		{"unknown workspace", request{"POST", turns(own.ID), "wrong", "", ask}, fault.Unauthorized},
		{"no token", request{"POST", turns(own.ID), "", "", ask}, fault.Unauthorized},
		{"foreign program", request{"POST", turns(own.ID), sample.Token("wallonia"), "", ask}, fault.NoProgram},
		{"foreign state", request{"GET", "/v1/programs/" + own.ID, sample.Token("wallonia"), "", ""}, fault.NoProgram},
		{"foreign end", request{"DELETE", "/v1/programs/" + own.ID, sample.Token("wallonia"), "", ""}, fault.NoProgram},
		{"malformed id", request{"POST", turns("nothing"), token, "", ask}, fault.NoProgram},
		{"turn too far", request{"POST", turns(own.ID), token, "", turnBody("3", "x", "")}, fault.TurnConflict},
		{"answered otherwise", request{"POST", turns(own.ID), token, "", turnBody("1", "else", "")}, fault.TurnConflict},
		{"turn zero", request{"POST", turns(own.ID), token, "", turnBody("0", "x", "")}, fault.BadRequest},
		{"no messages", request{"POST", turns(own.ID), token, "", `{"turn":2,"messages":[]}`}, fault.BadRequest},
		{"altered continuation", request{"POST", turns(own.ID), token, "", turnBody("2", "x", `,"continuation":"AAAA"`)}, fault.BadContinuation},
		{"foreign continuation", request{"POST", turns(own.ID), token, "", turnBody("2", "x", `,"continuation":"`+other.Continuation+`"`)}, fault.BadContinuation},
		{"unknown model", request{"POST", "/v1/programs", token, "", `{"model":"m","data_class":"personal","budget":1}`}, fault.UnknownModel},
		{"no data class", request{"POST", "/v1/programs", token, "", `{"model":"planner","budget":1}`}, fault.BadRequest},
		{"no budget", request{"POST", "/v1/programs", token, "", `{"model":"planner","data_class":"personal"}`}, fault.BadRequest},
		{"no allowed box", request{"POST", "/v1/programs", token, "", `{"model":"planner","data_class":"secret","budget":1}`}, fault.NoAllowedPlace},
		{"no allowed target", request{"POST", turns(noPlace.ID), token, "", ask}, fault.NoAllowedPlace},
		{"spent budget", request{"POST", turns(poor.ID), token, "", turnBody("1", strings.Repeat("w ", 40), "")}, fault.BudgetSpent},
		{"missed deadline", request{"POST", turns(late.ID), token, "", ask}, fault.DeadlineMissed},
		{"unknown service", request{"POST", "/v1/services/none/calls", token, "", `{"input":1}`}, fault.UnknownService},
		{"no input", request{"POST", "/v1/services/booking/calls", token, "", `{}`}, fault.BadRequest},
		{"long key", request{"POST", "/v1/services/booking/calls", token, strings.Repeat("k", 200), `{"input":1}`}, fault.BadRequest},
		{"agent of nothing", request{"POST", "/v1/programs/hall-gent.0.ffff/agents", token, "", plainProgram}, fault.NoProgram},
	}
	time.Sleep(5 * time.Millisecond)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i := range p.sets {
				code, _, problem := p.send(i, c.req)
				want := fault.Problem{Type: "urn:mulleingate:problem:" + string(c.kind), Title: string(c.kind), Status: fault.Status(c.kind), NotRun: true}
				ignore := cmpopts.IgnoreFields(fault.Problem{}, "Detail", "RequestID", "Head", "RetryAfter")
				if diff := cmp.Diff(want, problem, ignore); diff != "" || code != want.Status || problem.RequestID == "" {
					t.Errorf("through box %d: status %d, request id %q (-want +got):\n%s", i, code, problem.RequestID, diff)
				}
			}
		})
	}
	if diff := cmp.Diff(before, p.state(own.ID), cmpopts.IgnoreFields(types.ProgramState{}, "Continuation")); diff != "" {
		t.Errorf("bad requests changed the program (-before +after):\n%s", diff)
	}
	p.clean()
}

func (p *pair) state(id string) types.ProgramState {
	p.t.Helper()
	var state types.ProgramState
	_, raw, _ := p.send(0, request{method: http.MethodGet, path: "/v1/programs/" + id, token: token})
	if err := json.Unmarshal(raw, &state); err != nil {
		p.t.Fatal(err)
	}
	return state
}

// clean checks that content shows up nowhere but in answers.
func (p *pair) clean() {
	p.t.Helper()
	places := map[string]string{"logs": p.logs.text(), "problems": p.seen.String()}
	for _, set := range p.sets {
		for _, path := range []string{"/metrics", "/status"} {
			var out json.RawMessage
			if err := p.cli.Call(p.t.Context(), http.MethodGet, "http://"+set.Listen.Admin.String()+path, nil, &out); err != nil {
				p.t.Fatal(err)
			}
			places[set.Box.Name+path] = string(out)
		}
	}
	page, err := p.plat.Log.Read(p.t.Context(), "slot.hall-gent.0", 0, 1000)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, entry := range page.Entries {
		places["platform log"] += string(entry.Data)
	}
	for name, text := range places {
		if strings.Contains(text, canary) {
			p.t.Errorf("content shows up in %s", name)
		}
	}
}

// TestKeyedCalls checks that a key runs once: a repeat through the other box gets the
// stored answer, and another body with the key is refused.
func TestKeyedCalls(t *testing.T) {
	p := start(t, nil)
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
		t.Errorf("repeat is stored: %v (-first +repeat):\n%s", answers[1].Stored, diff)
	}
	if diff := cmp.Diff(map[string]int{"flanders/chair-7": 1}, p.plat.Effects()); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
	call.body = `{"input":{"chair":8}}`
	if _, _, problem := p.send(0, call); problem.Title != string(fault.KeyReused) {
		t.Errorf("another body with the key: %+v", problem)
	}
}

// TestKeysRotate publishes new data keys while a program lives, until its first key is
// gone from use for sealing but still opens.
func TestKeysRotate(t *testing.T) {
	p := start(t, nil)
	prog := p.begin(plainProgram)
	cont := prog.Continuation
	root, err := p.sets[0].Security.Root()
	if err != nil {
		t.Fatal(err)
	}
	for turn := 1; turn <= 3; turn++ {
		body := turnBody(string(rune('0'+turn)), canary+" len=4", `,"continuation":"`+cont+`"`)
		code, raw, problem := p.send(turn%2, request{"POST", "/v1/programs/" + prog.ID + "/turns", token, "", body})
		var answer types.TurnAnswer
		if code != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
			t.Fatalf("turn %d: %d %+v", turn, code, problem)
		}
		cont = answer.Continuation
		p.cfg.Keys = append(p.cfg.Keys, root.NewKey("k"+string(rune('1'+turn))))
		p.publish(int64(turn))
		p.inForce(int64(turn + 1))
	}
	p.clean()
}

func (p *pair) inForce(number int64) {
	p.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); {
		have := 0
		for _, set := range p.sets {
			var st types.BoxStatus
			if p.cli.Call(p.t.Context(), http.MethodGet, "http://"+set.Listen.Admin.String()+"/status", nil, &st) == nil && st.Revision >= number {
				have++
			}
		}
		if have == len(p.sets) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.t.Fatalf("revision %d was not in force in time", number)
}

// TestTighteningReleasesCaches publishes a policy that no longer allows the engine, and
// checks that the program's cache there goes and its next turn is refused.
func TestTighteningReleasesCaches(t *testing.T) {
	p := start(t, nil)
	prog := p.begin(plainProgram)
	path := "/v1/programs/" + prog.ID + "/turns"
	if code, _, problem := p.send(0, request{"POST", path, token, "", turnBody("1", "hello len=4", "")}); code != http.StatusOK {
		t.Fatalf("turn 1: %d %+v", code, problem)
	}
	p.cfg.Policy = types.Policy{Place: `use == "plaintext" || use == "checkpoint"`}
	p.publish(1)
	p.inForce(2)
	engine := p.plat.Engines["engine-0"]
	for until := time.Now().Add(patience); time.Now().Before(until); {
		if len(engine.Items()) == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if diff := cmp.Diff(0, len(engine.Items())); diff != "" {
		t.Errorf("caches after tightening (-want +got):\n%s", diff)
	}
	if _, _, problem := p.send(1, request{"POST", path, token, "", turnBody("2", "again", "")}); problem.Title != string(fault.NoAllowedPlace) {
		t.Errorf("turn 2: %+v", problem)
	}
}

// TestRoutesAreDescribed holds the served routes against the OpenAPI file.
func TestRoutesAreDescribed(t *testing.T) {
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
