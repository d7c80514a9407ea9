package tool

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
)

const maxBody = 4 << 20

// Faults are the switches of the stand-in.
type Faults struct {
	// Delay is before the effect, Hang after it.
	Delay types.Duration `json:"delay"`
	Hang  types.Duration `json:"hang"`
	// DropAnswers breaks that many connections after the effect.
	DropAnswers int `json:"drop_answers"`
	// Refuse answers 503 with not_run before any effect.
	Refuse  bool `json:"refuse"`
	Leaving bool `json:"leaving"`
	// Slots bounds how many calls run at once; 0 is without bound.
	Slots int `json:"slots"`
}

// Run is the body of a call.
type Run struct {
	Key   string          `json:"key"`
	Input json.RawMessage `json:"input"`
}

// Result is the answer of a call or probe.
type Result struct {
	Done   bool            `json:"done"`
	Output json.RawMessage `json:"output,omitempty"`
}

// Effects tells how often each key took effect.
type Effects struct {
	Counts map[string]int `json:"counts"`
	Calls  int            `json:"calls"`
	// LastCall is when the newest call arrived.
	LastCall time.Time `json:"last_call"`
}

// Tool is the service. It is safe for use by many goroutines.
type Tool struct {
	name string

	mu      sync.Mutex
	faults  Faults
	counts  map[string]int
	outputs map[string]json.RawMessage
	calls   int
	running int
	last    time.Time
}

// New makes a tool with no effects.
func New(name string) *Tool {
	return &Tool{name: name, counts: map[string]int{}, outputs: map[string]json.RawMessage{}}
}

// Set switches faults.
func (t *Tool) Set(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Effects returns the counts.
func (t *Tool) Effects() Effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(t.counts))
	for key, n := range t.counts {
		counts[key] = n
	}
	return Effects{Counts: counts, Calls: t.calls, LastCall: t.last}
}

// Run takes effect once for every call, whatever its key.
func (t *Tool) Run(in Run) (Result, Faults, error) {
	faults, err := t.enter()
	if err != nil {
		return Result{}, faults, err
	}
	time.Sleep(time.Duration(faults.Delay))
	out := t.effect(in)
	time.Sleep(time.Duration(faults.Hang))
	return Result{Done: true, Output: out}, faults, nil
}

func (t *Tool) enter() (Faults, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	t.last = time.Now()
	if t.faults.Refuse || t.faults.Leaving {
		return t.faults, fault.Refuse(fault.Stopping, "service takes no work")
	}
	if t.faults.Slots > 0 && t.running >= t.faults.Slots {
		return t.faults, fault.Refuse(fault.Overloaded, "service is at its limit")
	}
	t.running++
	faults := t.faults
	if t.faults.DropAnswers > 0 {
		t.faults.DropAnswers--
	}
	return faults, nil
}

func (t *Tool) effect(in Run) json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.counts[in.Key]++
	out, _ := json.Marshal(Receipt{Service: t.name, Key: in.Key, Input: in.Input})
	t.outputs[in.Key] = out
	return out
}

// Receipt is the output of a run.
type Receipt struct {
	Service string          `json:"service"`
	Key     string          `json:"key"`
	Input   json.RawMessage `json:"input"`
}

// Probe tells whether a key took effect.
func (t *Tool) Probe(key string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, ok := t.outputs[key]
	return Result{Done: ok, Output: out}
}

// Routes serves the tool over HTTP.
func (t *Tool) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/run", Handler: t.serveRun},
		{Method: http.MethodGet, Path: "/v1/probe", Handler: func(w http.ResponseWriter, r *http.Request) {
			server.WriteJSON(w, http.StatusOK, t.Probe(r.URL.Query().Get("key")))
		}},
		{Method: http.MethodGet, Path: "/control/effects", Handler: func(w http.ResponseWriter, _ *http.Request) {
			server.WriteJSON(w, http.StatusOK, t.Effects())
		}},
		{Method: http.MethodPut, Path: "/control", Handler: t.serveControl},
	}
}

func (t *Tool) serveRun(w http.ResponseWriter, r *http.Request) {
	var in Run
	if err := server.ReadJSON(w, r, maxBody, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	res, faults, err := t.Run(in)
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	if faults.DropAnswers > 0 {
		server.CloseConnection(w)
		return
	}
	server.WriteJSON(w, http.StatusOK, res)
}

func (t *Tool) serveControl(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if err := server.ReadJSON(w, r, maxBody, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	t.Set(in)
	server.WriteJSON(w, http.StatusOK, in)
}
