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

const maxBodyBytes = 4 << 20

// Faults configures the faults that a Tool injects.
type Faults struct {
	// Delay is the wait before the effect, Hang the wait after it.
	Delay types.Duration `json:"delay"`
	Hang  types.Duration `json:"hang"`
	// DropResponses is how many of the next calls lose their connection after the effect.
	DropResponses int `json:"drop_answers"`
	// Refuse and Leaving reject calls with status 503 and not_run, before any effect.
	Refuse  bool `json:"refuse"`
	Leaving bool `json:"leaving"`
	// MaxConcurrent limits how many calls may wait for their effect at once; 0 means no limit.
	MaxConcurrent int `json:"slots"`
}

// RunRequest is the request body of a call.
type RunRequest struct {
	Key   string          `json:"key"`
	Input json.RawMessage `json:"input"`
}

// Result is the response body of a call or probe.
type Result struct {
	Done   bool            `json:"done"`
	Output json.RawMessage `json:"output,omitempty"`
}

// Effects counts the effects of each key, and all calls, rejected ones included.
type Effects struct {
	Counts map[string]int `json:"counts"`
	Calls  int            `json:"calls"`
	// LastCall is when the latest call arrived.
	LastCall time.Time `json:"last_call"`
}

// Tool is a simulated service. It is safe for concurrent use.
type Tool struct {
	name string

	mu       sync.Mutex
	faults   Faults
	counts   map[string]int
	outputs  map[string]json.RawMessage
	calls    int
	running  int
	lastCall time.Time
}

// New returns a tool whose counts are zero.
func New(name string) *Tool {
	return &Tool{name: name, counts: map[string]int{}, outputs: map[string]json.RawMessage{}}
}

// SetFaults replaces the injected faults.
func (t *Tool) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Effects returns a copy of the counts.
func (t *Tool) Effects() Effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(t.counts))
	for key, n := range t.counts {
		counts[key] = n
	}
	return Effects{Counts: counts, Calls: t.calls, LastCall: t.lastCall}
}

// Run applies the effect of a call, again if the key has taken effect before. It returns the faults
// that were set when the call was admitted.
func (t *Tool) Run(in RunRequest) (Result, Faults, error) {
	faults, err := t.admit()
	if err != nil {
		return Result{}, faults, err
	}
	time.Sleep(time.Duration(faults.Delay))
	out := t.applyEffect(in)
	time.Sleep(time.Duration(faults.Hang))
	return Result{Done: true, Output: out}, faults, nil
}

func (t *Tool) admit() (Faults, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	t.lastCall = time.Now()
	if t.faults.Refuse || t.faults.Leaving {
		return t.faults, fault.Refuse(fault.Stopping, "service accepts no calls")
	}
	if t.faults.MaxConcurrent > 0 && t.running >= t.faults.MaxConcurrent {
		return t.faults, fault.Refuse(fault.Overloaded, "service has reached its limit of concurrent calls")
	}
	t.running++
	faults := t.faults
	if t.faults.DropResponses > 0 {
		t.faults.DropResponses--
	}
	return faults, nil
}

func (t *Tool) applyEffect(in RunRequest) json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.counts[in.Key]++
	out, _ := json.Marshal(Receipt{Service: t.name, Key: in.Key, Input: in.Input})
	t.outputs[in.Key] = out
	return out
}

// Receipt is the output of a call.
type Receipt struct {
	Service string          `json:"service"`
	Key     string          `json:"key"`
	Input   json.RawMessage `json:"input"`
}

// Probe returns whether a key took effect, and the output of its latest call.
func (t *Tool) Probe(key string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, ok := t.outputs[key]
	return Result{Done: ok, Output: out}
}

// Routes returns the HTTP routes of the tool and of its fault injection.
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
	var in RunRequest
	if err := server.ReadJSON(w, r, maxBodyBytes, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	res, faults, err := t.Run(in)
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	if faults.DropResponses > 0 {
		server.CloseConnection(w)
		return
	}
	server.WriteJSON(w, http.StatusOK, res)
}

func (t *Tool) serveControl(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if err := server.ReadJSON(w, r, maxBodyBytes, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	t.SetFaults(in)
	server.WriteJSON(w, http.StatusOK, in)
}
