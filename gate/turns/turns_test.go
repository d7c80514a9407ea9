package turns

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// TestAnswerTokens checks that a turn is charged its maximum if the stride of its events is not known.
func TestAnswerTokens(t *testing.T) {
	got := map[int]int{}
	for _, stride := range []int{0, 1, 4} {
		tr := &turn{route: &work.Route{Stride: stride}, open: chain.OpenTurn{MaxTokens: 136}}
		got[stride] = tr.answerTokens(11)
	}
	if diff := cmp.Diff(map[int]int{0: 136, 1: 11, 4: 44}, got); diff != "" {
		t.Errorf("tokens by stride (-want +got):\n%s", diff)
	}
}

// TestStatusOutcome checks that only a replica's own failures count against it.
func TestStatusOutcome(t *testing.T) {
	for status, want := range map[int]target.Outcome{
		400: target.Answered, 404: target.Answered, 500: target.Failed, 502: target.Failed, 503: target.Failed, 504: target.Abandoned,
	} {
		if got := statusOutcome(status); got != want {
			t.Errorf("status %d: outcome %d, want %d", status, got, want)
		}
	}
}

// TestErrorOutcome checks that a caller that left does not count against a replica, unless the replica was
// silent, and that a full connection pool does not either. That counted as a replica that was not reached.
func TestErrorOutcome(t *testing.T) {
	left, stop := context.WithCancel(context.Background())
	stop()
	cases := []struct {
		name   string
		ran    bool
		silent time.Duration
		ctx    context.Context
		err    error
		want   target.Outcome
	}{
		{"no connection", false, 0, context.Background(), fault.Refuse(fault.NoTarget, ""), target.Unreached},
		{"no connection free", false, 0, context.Background(), fault.Refuse(fault.Overloaded, ""), target.PoolFull},
		{"broke off", true, 0, context.Background(), fault.Fail(fault.TargetFailed, ""), target.Incomplete},
		{"caller does not take the answer", true, time.Minute, left, fault.Fail(fault.CallerGone, ""), target.Abandoned},
		{"caller left early", true, silenceThreshold / 2, left, fault.Fail(fault.TimedOut, ""), target.Abandoned},
		{"caller left a silent replica", true, 2 * silenceThreshold, left, fault.Fail(fault.TimedOut, ""), target.Unresponsive},
	}
	for _, c := range cases {
		tr := &turn{mayHaveRun: c.ran, lastReceived: time.Now().Add(-c.silent)}
		if got := tr.errorOutcome(c.ctx, c.err); got != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, got, c.want)
		}
	}
}

// countingLedger counts the ends of turns.
type countingLedger struct {
	ledger
	finished int
	// body is the body of the replica's answer, which must be closed by then.
	body *pieces
	// ctxErr is the error of the context with which the turn was finished.
	ctxErr error
}

func (l *countingLedger) finish(ctx context.Context) error {
	l.finished++
	if !l.body.closed {
		return fault.Fail(fault.Internal, "the connection to the replica is still in use")
	}
	l.ctxErr = ctx.Err()
	return nil
}

// caller is a caller that takes a number of writes, each after a delay.
type caller struct {
	takes int
	delay time.Duration
}

func (*caller) Begin(work.Head) error { return nil }

func (c *caller) Write([]byte) error {
	time.Sleep(c.delay)
	if c.takes--; c.takes < 0 {
		return fault.Fail(fault.CallerGone, "")
	}
	return nil
}

// pieces is the body of an answer that arrives in pieces and then ends with err.
type pieces struct {
	texts  []string
	err    error
	closed bool
}

func (p *pieces) Read(buf []byte) (int, error) {
	if len(p.texts) == 0 {
		return 0, p.err
	}
	n := copy(buf, p.texts[0])
	p.texts = p.texts[1:]
	return n, nil
}

func (p *pieces) Close() { p.closed = true }

type fakePool struct{}

func (fakePool) Open(work.Replica, int) target.Pool { return fakePool{} }
func (fakePool) Close()                             {}
func (fakePool) SetLimit(int)                       {}
func (fakePool) HasIdle() bool                      { return true }

// newAnsweredTurn returns a turn that was sent to a replica.
func newAnsweredTurn(t *testing.T, out work.Answer, ledger ledger) *turn {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	targets := target.New("z", fakePool{}, crash.New(nil, nil, nil), quiet)
	targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "model", Connections: 100}}, work.Limits{}))
	targets.Put(work.Replica{ID: "a", Service: "model", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:1000")})
	lease, err := targets.Take(target.CallRequest{WorkKind: "pick", Services: []work.Split{{Service: "model", Weight: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	tr := &turn{
		Runner: &Runner{log: quiet, counts: noCounts{}, memory: memory.NewBudgets(0)}, route: &work.Route{Name: "pick", Resumable: true, Stateful: true}, mayHaveRun: true, lease: lease, ledger: ledger,
		call: &work.Call{ID: "i", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}, lastReceived: time.Now(),
	}
	tr.answer = newAnswerWriter(tr, out)
	return tr
}

// TestCompleteAnswerOfGoneCallerIsRecorded checks that the end of a turn is recorded, with all events, if the
// replica's answer is complete although its caller is gone before the last bytes. Such a turn counted as failed. The
// connection to the replica was in use until the log had confirmed the end.
func TestCompleteAnswerOfGoneCallerIsRecorded(t *testing.T) {
	body := &pieces{texts: []string{"data: a\n\n", "data: b\n\n", "\n"}, err: io.EOF}
	ends := &countingLedger{body: body}
	tr := newAnsweredTurn(t, &caller{takes: 2}, ends)
	ctx, stop := context.WithCancel(context.Background())
	reply := work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: body}
	stop() // the caller leaves
	err := tr.forwardReply(ctx, reply)
	if !fault.Is(err, fault.CallerGone) {
		t.Errorf("fault %v, want CallerGone: the caller must not take the answer for complete", err)
	}
	if ends.finished != 1 || ends.ctxErr != nil {
		t.Errorf("turn finished %d times, with a context that has ended: %v", ends.finished, ends.ctxErr)
	}
	if diff := cmp.Diff(2, tr.answer.collected.started()); diff != "" {
		t.Errorf("events that may have been delivered (-want +got):\n%s", diff)
	}
}

// TestCutStreamCountsAgainstReplica checks that a stream which ends inside an event is an incomplete answer of its replica,
// although its connection ended without an error, and that the turn is not finished.
func TestCutStreamCountsAgainstReplica(t *testing.T) {
	ends := &countingLedger{}
	tr := newAnsweredTurn(t, &caller{takes: 2}, ends)
	reply := work.Reply{Head: work.Head{Status: http.StatusOK, Unframed: true}, Signed: true, Body: &pieces{texts: []string{"data: a\n\n", "data: b"}, err: io.EOF}}
	complete, err := tr.copyReply(context.Background(), reply.CheckEvents(work.Stream))
	if complete || !fault.Is(err, fault.TargetFailed) || fault.From(err).NotRun {
		t.Fatalf("complete: %v, fault %v", complete, err)
	}
	if diff := cmp.Diff(target.Incomplete, tr.errorOutcome(context.Background(), err)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 1, 0}, []int{ends.finished, tr.answer.collected.started(), len(tr.answer.partial)}); diff != "" {
		t.Errorf("finished turns, events that may have been delivered, bytes held back (-want +got):\n%s", diff)
	}
}

// TestSlowCallerDoesNotMakeReplicaSilent checks that a replica does not count as silent for the time in which the
// caller took a piece of the answer. It did, so that slow callers counted against replicas.
func TestSlowCallerDoesNotMakeReplicaSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := &countingLedger{}
		tr := newAnsweredTurn(t, &caller{takes: 1, delay: 2 * silenceThreshold}, ends)
		ctx, stop := context.WithTimeout(context.Background(), silenceThreshold)
		defer stop()
		reply := work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: &pieces{texts: []string{"data: a\n\n"}, err: io.ErrUnexpectedEOF}}
		err := tr.stream(ctx, reply)
		if !fault.Is(err, fault.TimedOut) {
			t.Fatalf("fault %v, want TimedOut", err)
		}
		if diff := cmp.Diff(target.Abandoned, tr.errorOutcome(ctx, err)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(2*silenceThreshold, tr.answer.writeTime); diff != "" {
			t.Errorf("time of writes (-want +got):\n%s", diff)
		}
	})
}

// fullTargets admits no program and has no replica.
type fullTargets struct{}

func (fullTargets) Admit(target.CallRequest) sched.AdmissionDecision {
	return sched.AdmissionDecision{Refuse: true, RetryAfter: time.Second}
}

func (fullTargets) Take(target.CallRequest) (*target.Lease, error) {
	return nil, fault.Refuse(fault.NoTarget, "")
}

// noCounts discards metrics.
type noCounts struct{}

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}

// freeLedger accepts every turn.
type freeLedger struct{ ledger }

func (freeLedger) enter(*chain.State) error { return nil }

// TestAdmitContinuedTurn checks that the first turn of a program is subject to admission, unless it
// continues a turn of another program. Otherwise a running program fails with its sub-agents.
func TestAdmitContinuedTurn(t *testing.T) {
	got := map[string]bool{}
	for _, previous := range []string{"", "turn of another program"} {
		r := &Runner{targets: fullTargets{}, counts: noCounts{}, log: slog.New(slog.DiscardHandler)}
		tr := &turn{
			Runner: r, route: &work.Route{}, call: &work.Call{Prompt: &work.Prompt{}, Turn: &work.Turn{Program: "p", Previous: previous, Budget: -1}},
			open: chain.OpenTurn{ID: "t", Program: "p", Previous: previous}, ledger: freeLedger{},
		}
		got[previous] = fault.Is(tr.enter(chain.New()), fault.Overloaded)
	}
	if diff := cmp.Diff(map[string]bool{"": true, "turn of another program": false}, got); diff != "" {
		t.Errorf("refused by admission control, by the turn that is continued (-want +got):\n%s", diff)
	}
}

// TestAnswerTooLongToKeepFails checks that a turn whose chain can't be kept fails itself, not a later one, and that this does not
// count against the replica.
func TestAnswerTooLongToKeepFails(t *testing.T) {
	body := &pieces{texts: []string{"data: a\n\n", "data: " + strings.Repeat("b", 100) + "\n\n"}, err: io.EOF}
	ends := &countingLedger{body: body}
	tr := newAnsweredTurn(t, &caller{takes: 10}, ends)
	tr.answer.maxText = 50
	err := tr.forwardReply(context.Background(), work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: body})
	if !fault.Is(err, fault.TooLarge) || fault.From(err).NotRun || ends.finished > 0 {
		t.Errorf("fault %+v, finished %d times", err, ends.finished)
	}
	if got := tr.errorOutcome(context.Background(), err); got != target.Abandoned {
		t.Errorf("outcome %d", got)
	}
}

// TestMemoryOfLongPromptsIsBounded checks that long prompts are refused, with when to come again, while too many are in
// progress, that short ones are not, and that a single prompt has room in any box.
func TestMemoryOfLongPromptsIsBounded(t *testing.T) {
	const size = 2 << 20
	r := &Runner{counts: noCounts{}, memory: memory.NewBudgets(0)}
	limit := int(r.memory.Prompts.Limit())
	if limit > smallBox/4 {
		t.Errorf("the prompts of a small box may take %d bytes", limit)
	}
	newTurn := func() *turn {
		tr := &turn{Runner: r, route: &work.Route{}}
		tr.answer = newAnswerWriter(tr, nil)
		return tr
	}
	var begun []*turn
	for {
		tr := newTurn()
		err := tr.reserveMemory(size)
		if err == nil {
			begun = append(begun, tr)
			continue
		}
		if f := fault.From(err); !fault.Is(err, fault.Overloaded) || !f.NotRun || f.RetryAfter == 0 {
			t.Errorf("fault %+v, want a refusal with a delay", f)
		}
		break
	}
	if diff := cmp.Diff(limit/size, len(begun)); diff != "" {
		t.Errorf("long prompts in progress (-want +got):\n%s", diff)
	}
	if err := newTurn().reserveMemory(longPrompt - 1); err != nil {
		t.Errorf("a short prompt is refused: %v", err)
	}
	for _, tr := range begun {
		tr.releaseMemory()
	}
	single := newTurn()
	if err := single.reserveMemory(2 * limit); err != nil {
		t.Errorf("a single prompt is refused: %v", err)
	}
	if err := newTurn().reserveMemory(size); !fault.Is(err, fault.Overloaded) {
		t.Errorf("beside one that takes all the memory: %v", err)
	}
	single.releaseMemory()
	if diff := cmp.Diff(int64(0), r.memory.Prompts.Used()); diff != "" {
		t.Errorf("reserved after the end of all turns (-want +got):\n%s", diff)
	}
}
