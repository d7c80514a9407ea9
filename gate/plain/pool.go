package plain

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/limit"
)

// Pools routes to the replicas of services.
type Pools struct {
	zone   string
	places PlacementPolicy
	counts Counts
	http   *client.Client

	mu       sync.Mutex
	replicas map[string]*replica
	eject    *limit.Ejector
	retries  map[string]*limit.RetryBudget
}

type replica struct {
	target types.Target
	mine   int
	limit  *limit.Adaptive
	// took is the mean time of a call.
	took time.Duration
}

const (
	firstLimit  = 8
	mostLimit   = 256
	tookGain    = 0.2
	firstTook   = 20 * time.Millisecond
	retryShare  = 0.1
	retryRate   = 1
	retryMost   = 20
	maxAttempts = 4
	slowFactor  = 4
	backoffBase = 10 * time.Millisecond
	backoffMost = 500 * time.Millisecond
)

// PlacementPolicy says where a use of data is allowed.
type PlacementPolicy interface {
	Allowed(in types.RuleInput) bool
}

// Counts receives figures.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// NewPools makes the pools of a box in zone.
func NewPools(zone string, places PlacementPolicy, counts Counts) *Pools {
	return &Pools{
		zone: zone, places: places, counts: counts, http: client.New("plain", nil),
		replicas: map[string]*replica{}, eject: limit.NewEjector(), retries: map[string]*limit.RetryBudget{},
	}
}

// UpdateTargets follows the platform's list.
func (p *Pools) UpdateTargets(list types.PlatformList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	for _, t := range list.Targets {
		if t.Kind != types.Plain {
			continue
		}
		seen[t.Name] = true
		r, ok := p.replicas[t.Name]
		if !ok {
			r = &replica{limit: limit.NewAdaptive(firstLimit, 1, mostLimit), took: firstTook}
			p.replicas[t.Name] = r
		}
		t.Leaving = t.Leaving || (r.target.Leaving && r.target.Addr == t.Addr)
		r.target = t
	}
	for name := range p.replicas {
		if !seen[name] {
			delete(p.replicas, name)
		}
	}
}

// MarkLeaving notes that another box has seen a replica leave.
func (p *Pools) MarkLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.replicas[name]; ok {
		r.target.Leaving = true
	}
}

// LeavingReplicas lists the replicas known to leave.
func (p *Pools) LeavingReplicas() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, r := range p.replicas {
		if r.target.Leaving {
			out = append(out, name)
		}
	}
	return out
}

// Body is what a replica gets.
type Body struct {
	Key   string          `json:"key"`
	Input json.RawMessage `json:"input"`
}

// result is what a replica answers.
type result struct {
	Done   bool            `json:"done"`
	Output json.RawMessage `json:"output,omitempty"`
}

// SendOnce sends the call to one replica. Only a failure that proves that nothing was handed
// over moves it to another.
func (p *Pools) SendOnce(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error) {
	return p.attempts(ctx, svc, in, body, func(err error) bool { return fault.From(err).NotRun })
}

// SendRepeatable sends a repeatable call, again elsewhere after any failure of the target.
func (p *Pools) SendRepeatable(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error) {
	again := func(err error) bool {
		f := fault.From(err)
		return f.NotRun || f.Kind == fault.TargetFailed || f.Kind == fault.Protocol
	}
	if svc.HedgeAfter <= 0 {
		return p.attempts(ctx, svc, in, body, again)
	}
	return p.hedge(ctx, svc, in, body, again)
}

type outcome struct {
	out json.RawMessage
	err error
}

// hedge sends a second copy if the first has not answered in time; the first answer wins.
func (p *Pools) hedge(ctx context.Context, svc types.Service, in types.RuleInput, body Body, again func(error) bool) (json.RawMessage, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan outcome, 2)
	send := func() {
		out, err := p.attempts(ctx, svc, in, body, again)
		done <- outcome{out: out, err: err}
	}
	go send()
	timer := time.NewTimer(time.Duration(svc.HedgeAfter))
	defer timer.Stop()
	running := 1
	for {
		select {
		case res := <-done:
			running--
			if res.err == nil || running == 0 {
				return res.out, res.err
			}
		case <-timer.C:
			if !p.budget(svc.Name).Allow() {
				continue
			}
			p.counts.Count("plain.hedged", 1)
			running++
			go send()
		}
	}
}

func (p *Pools) attempts(ctx context.Context, svc types.Service, in types.RuleInput, body Body, again func(error) bool) (json.RawMessage, error) {
	budget := p.budget(svc.Name)
	budget.RecordCall()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = backoffBase, backoffMost
	var failed []string
	touched := false
	for attempt := 1; ; attempt++ {
		at, err := p.pick(svc.Name, in, failed)
		if err != nil {
			return nil, ran(err, touched)
		}
		out, err := p.send(ctx, at, svc, body)
		if err == nil {
			return out, nil
		}
		touched = touched || !fault.From(err).NotRun
		if !again(err) || attempt == maxAttempts || ctx.Err() != nil || !budget.Allow() {
			return nil, ran(err, touched)
		}
		p.counts.Count("plain.retries", 1)
		failed = append(failed, at.target.Name)
		if err := sleep(ctx, pause.NextBackOff()); err != nil {
			return nil, ran(err, touched)
		}
	}
}

// ran takes back a NotRun that an earlier attempt has made untrue.
func ran(err error, touched bool) error {
	f := *fault.From(err)
	f.NotRun = f.NotRun && !touched
	return &f
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.DeadlineMissed, "no time is left for another attempt").WithCause(ctx.Err())
	}
}

func (p *Pools) budget(service string) *limit.RetryBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.retries[service]
	if !ok {
		b = limit.NewRetryBudget(retryShare, retryRate, retryMost)
		p.retries[service] = b
	}
	return b
}

// pick takes the better of two random replicas with room, by expected wait.
// place is a chosen replica.
type place struct {
	replica *replica
	// target is the replica's as it was chosen; the list may change it meanwhile.
	target types.Target
}

func (p *Pools) pick(service string, in types.RuleInput, failed []string) (place, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready, busy []*replica
	known, allowed := 0, 0
	now := time.Now()
	for _, r := range p.replicas {
		if r.target.Service != service {
			continue
		}
		known++
		if !p.allowed(r, in) {
			continue
		}
		allowed++
		if r.target.Leaving || p.eject.Ejected(now, r.target.Name) || contains(failed, r.target.Name) {
			continue
		}
		if r.mine >= r.limit.Limit() {
			busy = append(busy, r)
			continue
		}
		ready = append(ready, r)
	}
	if len(ready) == 0 {
		return place{}, none(known, allowed, len(busy))
	}
	a, b := ready[rand.IntN(len(ready))], ready[rand.IntN(len(ready))]
	if p.cost(b) < p.cost(a) {
		a = b
	}
	a.mine++
	return place{replica: a, target: a.target}, nil
}

func none(known, allowed, busy int) error {
	switch {
	case known > 0 && allowed == 0:
		return fault.Refuse(fault.NoAllowedPlace, "the policy allows no target for the data")
	case busy > 0:
		return fault.Refuse(fault.Overloaded, "all replicas are at their limit").WithRetryAfter(firstTook * firstLimit)
	default:
		return fault.Refuse(fault.NoTarget, "no allowed replica serves now").WithRetryAfter(time.Second)
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (p *Pools) allowed(r *replica, in types.RuleInput) bool {
	in.Zone, in.Target, in.Use = r.target.Zone, r.target.Name, "run"
	return p.places.Allowed(in)
}

func (p *Pools) cost(r *replica) time.Duration {
	cost := time.Duration(r.mine+1) * r.took
	if r.target.Zone != p.zone {
		cost += cost / 4
	}
	return cost
}

func (p *Pools) send(ctx context.Context, at place, svc types.Service, body Body) (json.RawMessage, error) {
	if svc.Timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(svc.Timeout))
		defer stop()
	}
	start := time.Now()
	var out result
	err := p.http.Call(ctx, http.MethodPost, "http://"+at.target.Addr.String()+"/v1/run", body, &out)
	p.done(at.replica, time.Since(start), err)
	if err != nil {
		return nil, err
	}
	return out.Output, nil
}

func (p *Pools) done(r *replica, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.mine--
	f := &fault.Fault{}
	if err != nil {
		f = fault.From(err)
	}
	switch {
	case err == nil:
		if took > slowFactor*r.took && r.mine > 1 {
			r.limit.Overloaded()
		} else {
			r.limit.Success()
		}
		r.took += time.Duration(tookGain * float64(took-r.took))
		p.eject.Success(r.target.Name)
	case f.Kind == fault.Overloaded:
		r.limit.Overloaded()
	case f.Kind == fault.Stopping:
		r.target.Leaving = true
	default:
		if p.eject.Failure(time.Now(), r.target.Name, p.size(r.target.Service)) {
			p.counts.Count("plain.ejections", 1)
		}
	}
}

func (p *Pools) size(service string) int {
	n := 0
	for _, r := range p.replicas {
		if r.target.Service == service {
			n++
		}
	}
	return n
}

// Probe asks the service whether a key took effect.
func (p *Pools) Probe(ctx context.Context, svc types.Service, in types.RuleInput, key string) (json.RawMessage, bool, error) {
	at, err := p.pick(svc.Name, in, nil)
	if err != nil {
		return nil, false, err
	}
	start := time.Now()
	var out result
	req, err := client.Request(ctx, http.MethodGet, "http://"+at.target.Addr.String()+svc.ProbePath, nil)
	if err == nil {
		query := req.URL.Query()
		query.Set("key", key)
		req.URL.RawQuery = query.Encode()
		err = p.probe(req, &out)
	}
	p.done(at.replica, time.Since(start), err)
	return out.Output, out.Done, err
}

func (p *Pools) probe(req *http.Request, out *result) error {
	resp, err := p.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return client.Decode(resp, out)
}
