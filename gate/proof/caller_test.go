package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/plain"
	"mulleingate.dev/gate/prog"
)

const (
	// smallBudget is a token budget small enough for programs to use up.
	smallBudget = 300
	// maxPrograms bounds the programs without a parent that run at a time.
	maxPrograms = 4
	callTimeout = 4 * time.Second
	// routeTimeout bounds the time for which a call that does not reach the slot's owner is retried.
	routeTimeout = 2 * time.Second
)

// program is what a correct client knows about its program.
type program struct {
	id, root, workspace, parent string
	token                       string
	history                     []types.Message
	turn                        int
	ended                       bool
	busy                        bool
	// tokens holds all continuation tokens that the client received, for replay attacks.
	tokens []string
}

// keyCall is what a client knows about its requests with one idempotency key.
type keyCall struct {
	key, workspace, service, input string
	// mayHaveRun is set once a request with the key may have run.
	mayHaveRun bool
	requests   int
}

// oracle holds the clients' state and the violated invariants by name.
type oracle struct {
	w *world
	// budget is the budget of a program without a parent, in tokens.
	budget int64

	mu         sync.Mutex
	programs   []*program
	keys       []*keyCall
	violations map[string]string
	// revisions holds the configuration revision of each box at the last check.
	revisions [boxCount]int64
	// newestAccepted is the highest revision whose publication was acknowledged to an operator.
	newestAccepted int64
	// seen holds the boxes of the last check, to notice restarts.
	seen [boxCount]*box
	// answers counts successful requests.
	answers int
	async   sync.WaitGroup
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, budget: smallBudget, violations: map[string]string{}}
}

// fail records a violation of an invariant. The first one of each invariant is kept.
func (o *oracle) fail(invariant, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.violations[invariant]; !ok {
		o.violations[invariant] = fmt.Sprintf(format, args...)
	}
}

// route runs do on the slot's owner, as the box at entry locates it. It retries for a while, since
// ownership may move.
func (o *oracle) route(ctx context.Context, entry int, slot ident.Slot, do func(b *box) error) error {
	until := time.Now().Add(routeTimeout)
	mayHaveRun := false
	for {
		err := o.routeOnce(entry, slot, do)
		if err == nil {
			return nil
		}
		f := fault.From(err)
		mayHaveRun = mayHaveRun || !f.NotRun
		moved := f.Kind == fault.NotOwner || f.Kind == fault.OwnerUnavailable || f.Kind == fault.PeerUnreachable || f.Kind == fault.Stopping
		if !moved || time.Now().After(until) || ctx.Err() != nil {
			out := *f
			out.NotRun = f.NotRun && !mayHaveRun
			return &out
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (o *oracle) routeOnce(entry int, slot ident.Slot, do func(b *box) error) error {
	b := o.w.box(entry)
	if !b.responds() {
		return fault.Refuse(fault.PeerUnreachable, "entry box does not respond")
	}
	if err := b.store.Ready(); err != nil {
		return err
	}
	owner, here, err := b.owners.Locate(slot)
	if err != nil {
		return err
	}
	if here {
		return do(b)
	}
	other, err := b.connect(owner.Peer)
	if err != nil {
		return err
	}
	return do(other)
}

// begin starts a program through the box at entry.
func (o *oracle) begin(entry int, workspace string) {
	b := o.w.box(entry)
	if !b.isUp() || o.countRunning() >= maxPrograms {
		return
	}
	slot, ok := b.owners.PickOwned(ident.RandomID())
	if !ok {
		return
	}
	now := time.Now()
	begin := types.Begin{
		ID: ident.NewProgramID(slot), Workspace: workspace, Model: "m", DataClass: "personal", Created: now,
		Budget: o.budget, Deadline: now.Add(time.Hour),
		Limits: types.Limits{Turns: 100, Depth: 2, FanOut: 4, Idle: types.Duration(time.Hour)},
	}
	o.beginProgram(entry, slot, begin, "", "")
}

// tokenOf returns the newest token of the program's client.
func (o *oracle) tokenOf(p *program) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return p.token
}

// countRunning counts the programs without a parent that have not ended.
func (o *oracle) countRunning() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, p := range o.programs {
		if !p.ended && p.parent == "" {
			n++
		}
	}
	return n
}

// beginAgent starts a sub-agent of a program.
func (o *oracle) beginAgent(entry int, parent *program) {
	slot, err := ident.ProgramSlot(parent.id)
	if err != nil {
		return
	}
	now := time.Now()
	begin := types.Begin{
		ID: ident.NewProgramID(slot), Workspace: parent.workspace, Parent: parent.id, Model: "m", DataClass: "personal",
		Created: now, Deadline: now.Add(time.Hour),
		Limits: types.Limits{Turns: 100, Depth: 2, FanOut: 4, Idle: types.Duration(time.Hour)},
	}
	o.beginProgram(entry, slot, begin, o.tokenOf(parent), parent.root)
}

func (o *oracle) beginProgram(entry int, slot ident.Slot, begin types.Begin, token, root string) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	var state types.ProgramState
	err := o.route(ctx, entry, slot, func(b *box) error {
		var err error
		state, err = b.progs.Begin(ctx, begin, token)
		return err
	})
	if err != nil {
		return
	}
	if root == "" {
		root = begin.ID
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers++
	o.programs = append(o.programs, &program{
		id: begin.ID, root: root, workspace: begin.Workspace, parent: begin.Parent, token: state.Continuation, tokens: []string{state.Continuation},
	})
}

// turn runs the program's next turn and tries the boxes in entries one after the other. It reports
// whether an answer came; without an error, false means that the program is busy or has ended.
func (o *oracle) turn(p *program, entries []int) (bool, error) {
	if !o.reserve(p) {
		return false, nil
	}
	defer o.release(p)
	slot, err := ident.ProgramSlot(p.id)
	if err != nil {
		return false, err
	}
	input := []types.Message{{Role: "user", Content: fmt.Sprintf("%s turn %d len=3", p.id, p.turn+1)}}
	body := types.TurnRequest{Turn: p.turn + 1, Messages: input, MaxTokens: 8, Continuation: o.tokenOf(p)}
	for _, entry := range entries {
		answer, err2 := o.answer(entry, slot, p, body)
		err = err2
		if err != nil {
			o.checkError(p, err)
			continue
		}
		o.acceptAnswer(p, input, answer)
		return true, nil
	}
	return false, err
}

func (o *oracle) answer(entry int, slot ident.Slot, p *program, body types.TurnRequest) (types.TurnAnswer, error) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	var answer types.TurnAnswer
	err := o.route(ctx, entry, slot, func(b *box) error {
		run, err := b.progs.Turn(ctx, prog.TurnCall{Program: p.id, Workspace: p.workspace, Request: "r", Body: body})
		if err != nil {
			return err
		}
		answer, err = run.Answer(ctx)
		return err
	})
	return answer, err
}

// checkError checks that a correct client gets neither an error that only wrong requests deserve nor an
// internal one.
func (o *oracle) checkError(p *program, err error) {
	switch fault.From(err).Kind {
	case fault.TurnConflict, fault.BadContinuation, fault.NoProgram:
		o.fail("history_never_lost", "%s turn %d: a correct client got: %v", p.id, p.turn+1, err)
	case fault.Internal:
		o.fail("no_internal_failures", "%s turn %d: %v", p.id, p.turn+1, err)
	}
}

// acceptAnswer checks the answer against the client's own history and adds it to that.
func (o *oracle) acceptAnswer(p *program, input []types.Message, answer types.TurnAnswer) {
	all := append(append([]types.Message{}, p.history...), input...)
	got := answer.Choices[0].Message.Content
	maxTokens := 8
	if answer.Choices[0].FinishReason == "length" {
		// The budget cut the answer short.
		maxTokens = len(strings.Fields(got))
	}
	want := expectedAnswer(all, maxTokens)
	if got != want {
		o.fail("own_whole_answer_from_own_history", "%s turn %d: got %q, want %q", p.id, p.turn+1, got, want)
	}
	if answer.Turn != p.turn+1 || answer.Program != p.id {
		o.fail("calls_in_order", "%s: asked for turn %d, got turn %d of %s", p.id, p.turn+1, answer.Turn, answer.Program)
	}
	all = append(all, types.Message{Role: "assistant", Content: got})
	p.history = all
	p.turn++
	o.mu.Lock()
	defer o.mu.Unlock()
	p.token = answer.Continuation
	p.tokens = append(p.tokens, p.token)
	o.answers++
}

// attack sends a turn with a token that is old, altered or from another program, and checks that
// it is rejected and not charged. Later turns show whether the history is intact.
func (o *oracle) attack(p, other *program, entry, variant int) {
	if !o.reserve(p) {
		return
	}
	// An old token is valid by itself, so it is sent with a turn number out of order.
	token, turn := p.tokens[variant%len(p.tokens)], p.turn+2
	foreign := false
	switch variant % 3 {
	case 0:
		if other.id == p.id {
			o.release(p)
			return
		}
		token, turn, foreign = o.tokenOf(other), p.turn+1, true
	case 1:
		raw := []byte(token)
		raw[len(raw)/2] ^= 1
		token, turn, foreign = string(raw), p.turn+1, true
	}
	slot, _ := ident.ProgramSlot(p.id)
	body := types.TurnRequest{Turn: turn, Messages: []types.Message{{Role: "user", Content: "attack"}}, MaxTokens: 8, Continuation: token}
	before := o.w.engines.chargedTokens(p.id)
	_, err := o.answer(entry, slot, p, body)
	if err == nil || o.w.engines.chargedTokens(p.id) != before {
		o.fail("foreign_tokens_change_nothing", "%s: turn %d ran or was charged after turn %d (foreign token: %v)", p.id, body.Turn, p.turn, foreign)
	}
	o.release(p)
}

// reserve reserves the program for one request; it reports false if the program is busy or has ended.
func (o *oracle) reserve(p *program) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.busy || p.ended {
		return false
	}
	p.busy = true
	return true
}

func (o *oracle) release(p *program) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.busy = false
}

// call sends a tool call with the key, billed to p if it is not nil, and checks the answer.
func (o *oracle) call(k *keyCall, p *program, entry int) {
	o.mu.Lock()
	k.requests++
	o.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	svc := types.Service{Name: k.service, Price: 40}
	if k.service == "probed" {
		svc.ProbePath = "/v1/probe"
	}
	request := plain.ServiceCall{
		Service: svc, Input: types.RuleInput{Workspace: k.workspace}, Key: k.key, Body: json.RawMessage(k.input), GrantChunk: 150,
	}
	slot := ident.KeySlot(k.workspace, k.key, o.w.slots())
	if p != nil {
		request.Program = p.id
		slot, _ = ident.ProgramSlot(p.id)
	}
	var answer types.ServiceAnswer
	err := o.route(ctx, entry, slot, func(b *box) error {
		if p != nil {
			cont, err := b.progs.Continuation(p.workspace, p.id, o.tokenOf(p))
			if err != nil {
				return err
			}
			request.Continuation = cont
		}
		var err error
		answer, err = b.calls.Call(ctx, slot, request)
		return err
	})
	o.checkCall(k, answer, err)
}

// checkCall checks the result of a call and records whether it may have run.
func (o *oracle) checkCall(k *keyCall, answer types.ServiceAnswer, err error) {
	if err != nil {
		if !fault.From(err).NotRun {
			o.mu.Lock()
			k.mayHaveRun = true
			o.mu.Unlock()
		}
		return
	}
	o.mu.Lock()
	k.mayHaveRun = true
	o.answers++
	o.mu.Unlock()
	if string(answer.Output) != k.input {
		o.fail("own_whole_answer_from_own_history", "key %s: got %s, want %s", k.key, answer.Output, k.input)
	}
	if n := o.w.tools.count(k.workspace + "/" + k.key); n != 1 {
		o.fail("at_most_once", "key %s: answered, and ran %d times", k.key, n)
	}
}

func (w *world) slots() []ident.Slot {
	var out []ident.Slot
	for _, zone := range zones {
		for n := range slotCount {
			out = append(out, ident.Slot{Zone: zone, Number: n})
		}
	}
	return out
}

// end ends a program and its sub-agents, and reports whether it succeeded.
func (o *oracle) end(p *program, entry int) bool {
	if !o.reserve(p) {
		return false
	}
	defer o.release(p)
	slot, _ := ident.ProgramSlot(p.id)
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	err := o.route(ctx, entry, slot, func(b *box) error {
		// The token restores records of the program that the log no longer holds.
		if _, err := b.progs.State(ctx, p.workspace, p.id, o.tokenOf(p)); err != nil {
			return err
		}
		_, err := b.progs.End(ctx, p.workspace, p.id)
		return err
	})
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endTree(p)
	return true
}

// endTree marks a program and its sub-agents as ended.
func (o *oracle) endTree(p *program) {
	p.ended = true
	for _, q := range o.programs {
		if q.parent == p.id && !q.ended {
			o.endTree(q)
		}
	}
}
