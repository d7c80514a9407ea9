package desk

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleingate.dev/base/fixed"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

const (
	testBudget = 200
	testChunk  = 40
	testRoot   = "p"
)

// ledger simulates the log, its owners and their crashes. It adds up the tokens really
// charged, independently of the owners' accounts.
type ledger struct {
	t *rapid.T
	// entries are in the log.
	entries []types.Entry
	// pending was handed to the writer and may be lost.
	pending [][]types.Record
	seq     int64
	epoch   int64
	owner   *OwnerState
	charged int64
	// running holds the current owner's work in flight, waiting for its grant or dispatched.
	running      []*testRun
	calls        int
	continuation types.Continuation
}

// testRun is a call or a turn in flight. Exactly one of run and turn is set.
type testRun struct {
	run        *CallRun
	turn       *TurnRun
	dispatched bool
}

func (r *testRun) reserved() int64 {
	if r.turn != nil {
		return r.turn.Reserved
	}
	return r.run.Reserved
}

var testTime = time.Unix(1000, 0)

// claim starts a new owner from the log's entries. Pending records are lost.
func (l *ledger) claim() {
	l.entries = append(l.entries, types.Entry{Claim: &types.Claim{Box: fmt.Sprint(len(l.entries))}})
	l.epoch = int64(len(l.entries))
	state := fold.New()
	for i, e := range l.entries {
		state.Apply(int64(i+1), e)
	}
	l.owner, l.seq, l.pending, l.running = New(state, "i"), 0, nil, nil
}

func (l *ledger) write(recs []types.Record) {
	if len(recs) > 0 {
		l.pending = append(l.pending, recs)
	}
}

// begin creates the program, or restores it from its continuation.
func (l *ledger) begin() {
	if _, ok := l.owner.State.Programs[testRoot]; ok {
		return
	}
	if l.continuation.Program != "" {
		l.continuation.Epoch = 0
		recs, err := l.owner.Adopt(l.continuation)
		if err != nil {
			l.t.Fatalf("adopt: %v", err)
		}
		l.write(recs)
		return
	}
	b := types.Begin{ID: testRoot, Workspace: "one", Budget: testBudget, Deadline: testTime.Add(time.Hour), Limits: types.Limits{Turns: 9}}
	recs, err := l.owner.Begin(testTime, BeginRequest{Begin: b, GrantChunk: testChunk})
	if err != nil {
		l.t.Fatalf("begin: %v", err)
	}
	l.write(recs)
	l.continuation = l.owner.Continuation(l.owner.State.Programs[testRoot], 0)
}

// start starts a call and dispatches it if the confirmed grant covers it.
func (l *ledger) start(price int64) {
	l.begin()
	l.calls++
	req := CallRequest{Intent: types.Intent{Key: fmt.Sprint(l.calls), Attempt: "a", Workspace: "one", Program: testRoot, At: testTime}, Price: price, GrantChunk: testChunk}
	start, recs, err := l.owner.StartCall(testTime, req)
	if err != nil {
		return
	}
	l.write(recs)
	l.running = append(l.running, &testRun{run: start.Run})
	l.dispatch()
}

// turn starts the program's next turn.
func (l *ledger) turn(tokens int64) {
	l.begin()
	start, recs, err := l.owner.StartTurn(testTime, TurnRequest{
		Program: testRoot, Workspace: "one", Turn: 1, RequestDigest: []byte("a"), PromptTokens: 1, MaxTokens: tokens, GrantChunk: testChunk,
	})
	l.write(recs)
	if err != nil || start.Run == nil {
		return
	}
	l.running = append(l.running, &testRun{turn: start.Run})
	l.dispatch()
}

// retryTurn fails the dispatched turn and retries it.
func (l *ledger) retryTurn() {
	for i, r := range l.running {
		if r.turn == nil || !r.dispatched {
			continue
		}
		recs, err := l.owner.RetryTurn(testRoot, r.turn, r.turn.Reserved, testChunk)
		l.write(recs)
		r.dispatched = false
		if err != nil {
			l.owner.FailTurn(testRoot, r.turn, 0)
			l.running = append(l.running[:i], l.running[i+1:]...)
		}
		l.dispatch()
		return
	}
}

func (l *ledger) dispatch() {
	if !l.owner.Covered(testRoot) {
		return
	}
	for _, r := range l.running {
		if !r.dispatched {
			r.dispatched = true
			l.charged += r.reserved()
		}
	}
}

func (l *ledger) finish() {
	for i, r := range l.running {
		if r.dispatched && r.turn != nil {
			l.owner.FailTurn(testRoot, r.turn, r.turn.Reserved)
			l.running = append(l.running[:i], l.running[i+1:]...)
			return
		}
		if r.dispatched {
			l.write(l.owner.FinishCall(r.run, types.Outcome{Key: r.run.Intent.Key, Attempt: "a", Status: 200}))
			l.running = append(l.running[:i], l.running[i+1:]...)
			return
		}
	}
}

// confirm appends the pending records to the log.
func (l *ledger) confirm() {
	for _, recs := range l.pending {
		l.seq++
		l.entries = append(l.entries, types.Entry{Epoch: l.epoch, Seq: l.seq, Records: recs})
		l.owner.Confirm(testTime, recs)
	}
	l.pending = nil
	l.owner.LogAvailable = true
	l.dispatch()
}

func TestMain(m *testing.M) {
	os.Exit(fixed.Main(m, "1000"))
}

// TestNoOwnerOverspends checks that owners never charge more than the budget across crashes
// before and after a confirmation, including programs restored from a continuation.
func TestNoOwnerOverspends(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &ledger{t: rt}
		l.claim()
		rt.Repeat(map[string]func(*rapid.T){
			"start":   func(rt *rapid.T) { l.start(rapid.Int64Range(1, 60).Draw(rt, "price")) },
			"turn":    func(rt *rapid.T) { l.turn(rapid.Int64Range(1, 60).Draw(rt, "tokens")) },
			"rerun":   func(*rapid.T) { l.retryTurn() },
			"finish":  func(*rapid.T) { l.finish() },
			"confirm": func(*rapid.T) { l.confirm() },
			"crash":   func(*rapid.T) { l.claim() },
			"log_away": func(*rapid.T) {
				l.owner.LogAvailable = false
			},
			"": func(rt *rapid.T) {
				if l.charged > testBudget {
					rt.Fatalf("%d charged of a budget of %d", l.charged, testBudget)
				}
			},
		})
	})
}
