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
	// scarce is a budget that programs use up.
	scarce = 300
	// mostPrograms keeps callers busy with the same few programs.
	mostPrograms = 4
	callWait     = 4 * time.Second
	searchTime   = 2 * time.Second
)

// program is what an honest caller knows of its program.
type program struct {
	id, root, workspace, parent string
	token                       string
	history                     []types.Message
	turn                        int
	ended                       bool
	busy                        bool
	// tokens are all tokens it ever got, for replays.
	tokens []string
}

// keyCall is what a caller knows of an idempotency key.
type keyCall struct {
	key, workspace, service, input string
	// maybe says that some request of the key may have run.
	maybe bool
	asked int
}

// oracle holds what callers know and every promise that was broken, by name.
type oracle struct {
	w *world
	// budget is what every program gets, in tokens.
	budget int64

	mu       sync.Mutex
	programs []*program
	keys     []*keyCall
	broken   map[string]string
	numbers  [boxCount]int64
	// newest is the highest revision of which an operator was told that it is accepted.
	newest int64
	incs   [boxCount]*box
	ok     int
	async  sync.WaitGroup
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, budget: scarce, broken: map[string]string{}}
}

func (o *oracle) fail(promise, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.broken[promise]; !ok {
		o.broken[promise] = fmt.Sprintf(format, args...)
	}
}

// route does what the front does: it finds the slot's owner from the box that took the
// call, and tries again for a while as ownership moves.
func (o *oracle) route(ctx context.Context, entry int, slot ident.Slot, do func(b *box) error) error {
	until := time.Now().Add(searchTime)
	touched := false
	for {
		err := o.once(entry, slot, do)
		if err == nil {
			return nil
		}
		f := fault.From(err)
		touched = touched || !f.NotRun
		moved := f.Kind == fault.NotOwner || f.Kind == fault.OwnerUnavailable || f.Kind == fault.PeerUnreachable || f.Kind == fault.Stopping
		if !moved || time.Now().After(until) || ctx.Err() != nil {
			out := *f
			out.NotRun = f.NotRun && !touched
			return &out
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (o *oracle) once(entry int, slot ident.Slot, do func(b *box) error) error {
	b := o.w.box(entry)
	if !b.answers() {
		return fault.Refuse(fault.PeerUnreachable, "entry box is dead")
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
	other, err := b.reach(owner.Peer)
	if err != nil {
		return err
	}
	return do(other)
}

// begin makes a program through a box.
func (o *oracle) begin(entry int, workspace string) {
	b := o.w.box(entry)
	if !b.isUp() || o.live() >= mostPrograms {
		return
	}
	slot, ok := b.owners.Pick(ident.RandomID())
	if !ok {
		return
	}
	now := time.Now()
	begin := types.Begin{
		ID: ident.NewProgram(slot), Workspace: workspace, Model: "m", DataClass: "personal", Created: now,
		Budget: o.budget, Deadline: now.Add(time.Hour),
		Limits: types.Limits{Turns: 100, Depth: 2, FanOut: 4, Idle: types.Duration(time.Hour)},
	}
	o.begun(entry, slot, begin, "", "")
}

// tokenOf is the newest token that the program's caller has.
func (o *oracle) tokenOf(p *program) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return p.token
}

// live counts the programs that their callers have not ended.
func (o *oracle) live() int {
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

// agent makes a sub-agent of a program.
func (o *oracle) agent(entry int, parent *program) {
	slot, err := ident.ProgramSlot(parent.id)
	if err != nil {
		return
	}
	now := time.Now()
	begin := types.Begin{
		ID: ident.NewProgram(slot), Workspace: parent.workspace, Parent: parent.id, Model: "m", DataClass: "personal",
		Created: now, Deadline: now.Add(time.Hour),
		Limits: types.Limits{Turns: 100, Depth: 2, FanOut: 4, Idle: types.Duration(time.Hour)},
	}
	o.begun(entry, slot, begin, o.tokenOf(parent), parent.root)
}

func (o *oracle) begun(entry int, slot ident.Slot, begin types.Begin, token, root string) {
	ctx, stop := context.WithTimeout(context.Background(), callWait)
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
	o.ok++
	o.programs = append(o.programs, &program{
		id: begin.ID, root: root, workspace: begin.Workspace, parent: begin.Parent, token: state.Continuation, tokens: []string{state.Continuation},
	})
}

// turn runs the program's next turn, trying several boxes one after the other. It
// reports whether the answer came.
func (o *oracle) turn(p *program, entries []int) (bool, error) {
	if !o.take(p) {
		return false, nil
	}
	defer o.give(p)
	slot, err := ident.ProgramSlot(p.id)
	if err != nil {
		return false, err
	}
	ask := []types.Message{{Role: "user", Content: fmt.Sprintf("%s turn %d len=3", p.id, p.turn+1)}}
	body := types.TurnRequest{Turn: p.turn + 1, Messages: ask, MaxTokens: 8, Continuation: o.tokenOf(p)}
	for _, entry := range entries {
		answer, err2 := o.answer(entry, slot, p, body)
		err = err2
		if err != nil {
			o.honest(p, err)
			continue
		}
		o.accept(p, ask, answer)
		return true, nil
	}
	return false, err
}

func (o *oracle) answer(entry int, slot ident.Slot, p *program, body types.TurnRequest) (types.TurnAnswer, error) {
	ctx, stop := context.WithTimeout(context.Background(), callWait)
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

// honest checks that a caller who did nothing wrong is not told that it did.
func (o *oracle) honest(p *program, err error) {
	switch fault.From(err).Kind {
	case fault.TurnConflict, fault.BadContinuation, fault.NoProgram:
		o.fail("history_never_lost", "%s turn %d: an honest caller was told: %v", p.id, p.turn+1, err)
	case fault.Internal:
		o.fail("no_internal_failures", "%s turn %d: %v", p.id, p.turn+1, err)
	}
}

// accept checks the answer against the caller's own history.
func (o *oracle) accept(p *program, ask []types.Message, answer types.TurnAnswer) {
	all := append(append([]types.Message{}, p.history...), ask...)
	got := answer.Choices[0].Message.Content
	most := 8
	if answer.Choices[0].FinishReason == "length" {
		// The budget cut the answer, and the answer says so.
		most = len(strings.Fields(got))
	}
	want := answerText(all, most)
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
	o.ok++
}

// attack sends a turn with a token that is old, altered or of another program, and checks
// that it changes nothing: the next honest turn still works.
func (o *oracle) attack(p, other *program, entry, how int) {
	if !o.take(p) {
		return
	}
	// An old token is no offence by itself; asking for a turn out of order with it is.
	token, turn := p.tokens[how%len(p.tokens)], p.turn+2
	foreign := false
	switch how % 3 {
	case 0:
		if other.id == p.id {
			o.give(p)
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
	before := o.w.models.chargedTo(p.id)
	_, err := o.answer(entry, slot, p, body)
	if err == nil || o.w.models.chargedTo(p.id) != before {
		o.fail("foreign_tokens_change_nothing", "%s: turn %d ran with head %d (foreign token: %v)", p.id, body.Turn, p.turn, foreign)
	}
	o.give(p)
}

func (o *oracle) take(p *program) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.busy || p.ended {
		return false
	}
	p.busy = true
	return true
}

func (o *oracle) give(p *program) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.busy = false
}

// call sends a request that may not be repeated.
func (o *oracle) call(k *keyCall, p *program, entry int) {
	o.mu.Lock()
	k.asked++
	o.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), callWait)
	defer stop()
	svc := types.Service{Name: k.service, Price: 40}
	if k.service == "probed" {
		svc.ProbePath = "/v1/probe"
	}
	ask := plain.ServiceCall{
		Service: svc, Input: types.RuleInput{Workspace: k.workspace}, Key: k.key, Body: json.RawMessage(k.input), Chunk: 150,
	}
	slot := ident.KeySlot(k.workspace, k.key, o.w.slots())
	if p != nil {
		ask.Program = p.id
		slot, _ = ident.ProgramSlot(p.id)
	}
	var answer types.ServiceAnswer
	err := o.route(ctx, entry, slot, func(b *box) error {
		if p != nil {
			cont, err := b.progs.Continuation(p.workspace, p.id, o.tokenOf(p))
			if err != nil {
				return err
			}
			ask.Continuation = cont
		}
		var err error
		answer, err = b.calls.Call(ctx, slot, ask)
		return err
	})
	o.called(k, answer, err)
}

func (o *oracle) called(k *keyCall, answer types.ServiceAnswer, err error) {
	if err != nil {
		if !fault.From(err).NotRun {
			o.mu.Lock()
			k.maybe = true
			o.mu.Unlock()
		}
		return
	}
	o.mu.Lock()
	k.maybe = true
	o.ok++
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

// end closes a program.
func (o *oracle) end(p *program, entry int) bool {
	if !o.take(p) {
		return false
	}
	defer o.give(p)
	slot, _ := ident.ProgramSlot(p.id)
	ctx, stop := context.WithTimeout(context.Background(), callWait)
	defer stop()
	err := o.route(ctx, entry, slot, func(b *box) error {
		// The token brings what the log does not hold.
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

func (o *oracle) endTree(p *program) {
	p.ended = true
	for _, q := range o.programs {
		if q.parent == p.id && !q.ended {
			o.endTree(q)
		}
	}
}
