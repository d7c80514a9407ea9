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

// Pools sends calls to the replicas of services and tracks their load and failures.
type Pools struct {
	zone   string
	policy PlacementPolicy
	counts Counts
	http   *client.Client

	mu           sync.Mutex
	replicas     map[string]*replica
	ejector      *limit.Ejector
	retryBudgets map[string]*limit.RetryBudget
}

type replica struct {
	target   types.Target
	inFlight int
	limit    *limit.Adaptive
	// meanTime is the moving average of the time that a call takes.
	meanTime time.Duration
}

const (
	initialLimit    = 8
	maxLimit        = 256
	meanTimeGain    = 0.2
	initialMeanTime = 20 * time.Millisecond
	retryShare      = 0.1
	retryRate       = 1
	maxRetryBudget  = 20
	maxAttempts     = 4
	slowCallFactor  = 4
	backoffBase     = 10 * time.Millisecond
	backoffMax      = 500 * time.Millisecond
)

// PlacementPolicy decides where the policy allows a use of data.
type PlacementPolicy interface {
	Allowed(in types.RuleInput) bool
}

// Counts receives metrics.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// NewPools creates the pools of a box in zone.
func NewPools(zone string, policy PlacementPolicy, counts Counts) *Pools {
	return &Pools{
		zone: zone, policy: policy, counts: counts, http: client.New("plain", nil),
		replicas: map[string]*replica{}, ejector: limit.NewEjector(), retryBudgets: map[string]*limit.RetryBudget{},
	}
}

// UpdateTargets updates the replicas from the platform's list.
func (p *Pools) UpdateTargets(list types.PlatformList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, t := range list.Targets {
		if t.Kind != types.PlainService {
			continue
		}
		listed[t.Name] = true
		r, ok := p.replicas[t.Name]
		if !ok {
			r = &replica{limit: limit.NewAdaptive(initialLimit, 1, maxLimit), meanTime: initialMeanTime}
			p.replicas[t.Name] = r
		}
		t.Leaving = t.Leaving || (r.target.Leaving && r.target.Addr == t.Addr)
		r.target = t
	}
	for name := range p.replicas {
		if !listed[name] {
			delete(p.replicas, name)
		}
	}
}

// MarkLeaving marks a replica as leaving because another box reported it.
func (p *Pools) MarkLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.replicas[name]; ok {
		r.target.Leaving = true
	}
}

// LeavingReplicas lists the replicas known to be leaving.
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

// Body is the request body sent to a replica.
type Body struct {
	Key   string          `json:"key"`
	Input json.RawMessage `json:"input"`
}

// result is the response body of a replica.
type result struct {
	Done   bool            `json:"done"`
	Output json.RawMessage `json:"output,omitempty"`
}

// SendOnce sends a call that may not be repeated. It tries another replica only after a failure
// that proves that the call was not run.
func (p *Pools) SendOnce(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error) {
	return p.sendWithRetries(ctx, svc, in, body, func(err error) bool { return fault.From(err).NotRun })
}

// SendRepeatable sends a repeatable call. It tries another replica after any failure of the target.
func (p *Pools) SendRepeatable(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error) {
	retryable := func(err error) bool {
		f := fault.From(err)
		return f.NotRun || f.Kind == fault.TargetFailed || f.Kind == fault.Protocol
	}
	if svc.HedgeAfter <= 0 {
		return p.sendWithRetries(ctx, svc, in, body, retryable)
	}
	return p.hedge(ctx, svc, in, body, retryable)
}

type callResult struct {
	out json.RawMessage
	err error
}

// hedge sends a second copy of the call if the first has not answered after HedgeAfter, and
// returns the first successful answer.
func (p *Pools) hedge(ctx context.Context, svc types.Service, in types.RuleInput, body Body, retryable func(error) bool) (json.RawMessage, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan callResult, 2)
	send := func() {
		out, err := p.sendWithRetries(ctx, svc, in, body, retryable)
		done <- callResult{out: out, err: err}
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
			if !p.retryBudget(svc.Name).Allow() {
				continue
			}
			p.counts.Count("plain.hedged", 1)
			running++
			go send()
		}
	}
}

func (p *Pools) sendWithRetries(ctx context.Context, svc types.Service, in types.RuleInput, body Body, retryable func(error) bool) (json.RawMessage, error) {
	budget := p.retryBudget(svc.Name)
	budget.RecordCall()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = backoffBase, backoffMax
	var failed []string
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		chosen, err := p.pick(svc.Name, in, failed)
		if err != nil {
			return nil, clearNotRun(err, mayHaveRun)
		}
		out, err := p.send(ctx, chosen, svc, body)
		if err == nil {
			return out, nil
		}
		mayHaveRun = mayHaveRun || !fault.From(err).NotRun
		if !retryable(err) || attempt == maxAttempts || ctx.Err() != nil || !budget.Allow() {
			return nil, clearNotRun(err, mayHaveRun)
		}
		p.counts.Count("plain.retries", 1)
		failed = append(failed, chosen.target.Name)
		if err := sleep(ctx, pause.NextBackOff()); err != nil {
			return nil, clearNotRun(err, mayHaveRun)
		}
	}
}

// clearNotRun returns the fault of err, with NotRun cleared if an earlier attempt may have run.
func clearNotRun(err error, mayHaveRun bool) error {
	f := *fault.From(err)
	f.NotRun = f.NotRun && !mayHaveRun
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

func (p *Pools) retryBudget(service string) *limit.RetryBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.retryBudgets[service]
	if !ok {
		b = limit.NewRetryBudget(retryShare, retryRate, maxRetryBudget)
		p.retryBudgets[service] = b
	}
	return b
}

// choice is a replica selected for a call.
type choice struct {
	replica *replica
	// target is the replica's target when it was selected; UpdateTargets may replace the replica's.
	target types.Target
}

// pick selects the one of two random replicas with the shorter expected wait and counts the
// call against it. Candidates are allowed by the policy, not leaving, not ejected, not in
// failed and below their limit.
func (p *Pools) pick(service string, in types.RuleInput, failed []string) (choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var available, busy []*replica
	matching, allowed := 0, 0
	now := time.Now()
	for _, r := range p.replicas {
		if r.target.Service != service {
			continue
		}
		matching++
		if !p.allowed(r, in) {
			continue
		}
		allowed++
		if r.target.Leaving || p.ejector.Ejected(now, r.target.Name) || contains(failed, r.target.Name) {
			continue
		}
		if r.inFlight >= r.limit.Limit() {
			busy = append(busy, r)
			continue
		}
		available = append(available, r)
	}
	if len(available) == 0 {
		return choice{}, noReplicaError(matching, allowed, len(busy))
	}
	a, b := available[rand.IntN(len(available))], available[rand.IntN(len(available))]
	if p.expectedWait(b) < p.expectedWait(a) {
		a = b
	}
	a.inFlight++
	return choice{replica: a, target: a.target}, nil
}

func noReplicaError(matching, allowed, busy int) error {
	switch {
	case matching > 0 && allowed == 0:
		return fault.Refuse(fault.NoAllowedPlace, "the policy allows no target for the data")
	case busy > 0:
		return fault.Refuse(fault.Overloaded, "all replicas are at their limit").WithRetryAfter(initialMeanTime * initialLimit)
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
	return p.policy.Allowed(in)
}

func (p *Pools) expectedWait(r *replica) time.Duration {
	cost := time.Duration(r.inFlight+1) * r.meanTime
	if r.target.Zone != p.zone {
		cost += cost / 4
	}
	return cost
}

func (p *Pools) send(ctx context.Context, chosen choice, svc types.Service, body Body) (json.RawMessage, error) {
	if svc.Timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(svc.Timeout))
		defer stop()
	}
	start := time.Now()
	var out result
	err := p.http.Call(ctx, http.MethodPost, "http://"+chosen.target.Addr.String()+"/v1/run", body, &out)
	p.finishSend(chosen.replica, time.Since(start), err)
	if err != nil {
		return nil, err
	}
	return out.Output, nil
}

func (p *Pools) finishSend(r *replica, elapsed time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.inFlight--
	f := &fault.Fault{}
	if err != nil {
		f = fault.From(err)
	}
	switch {
	case err == nil:
		if elapsed > slowCallFactor*r.meanTime && r.inFlight > 1 {
			r.limit.Overloaded()
		} else {
			r.limit.Success()
		}
		r.meanTime += time.Duration(meanTimeGain * float64(elapsed-r.meanTime))
		p.ejector.Success(r.target.Name)
	case f.Kind == fault.Overloaded:
		r.limit.Overloaded()
	case f.Kind == fault.Stopping:
		r.target.Leaving = true
	default:
		if p.ejector.Failure(time.Now(), r.target.Name, p.replicaCount(r.target.Service)) {
			p.counts.Count("plain.ejections", 1)
		}
	}
}

func (p *Pools) replicaCount(service string) int {
	n := 0
	for _, r := range p.replicas {
		if r.target.Service == service {
			n++
		}
	}
	return n
}

// Probe asks the service whether the call with a key took effect, and returns its output if so.
func (p *Pools) Probe(ctx context.Context, svc types.Service, in types.RuleInput, key string) (json.RawMessage, bool, error) {
	chosen, err := p.pick(svc.Name, in, nil)
	if err != nil {
		return nil, false, err
	}
	start := time.Now()
	var out result
	req, err := client.NewRequest(ctx, http.MethodGet, "http://"+chosen.target.Addr.String()+svc.ProbePath, nil)
	if err == nil {
		query := req.URL.Query()
		query.Set("key", key)
		req.URL.RawQuery = query.Encode()
		err = p.sendProbe(req, &out)
	}
	p.finishSend(chosen.replica, time.Since(start), err)
	return out.Output, out.Done, err
}

func (p *Pools) sendProbe(req *http.Request, out *result) error {
	resp, err := p.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return client.Decode(resp, out)
}
