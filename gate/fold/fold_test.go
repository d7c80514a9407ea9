package fold

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/types"
)

func logEntry(t testing.TB, offset int64, e types.Entry) types.LogEntry {
	t.Helper()
	raw, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return types.LogEntry{Offset: offset, Data: raw}
}

func claimEntry(box string) types.Entry {
	return types.Entry{Claim: &types.Claim{Box: box}}
}

func beginEntry(epoch, seq int64, id string) types.Entry {
	b := types.Begin{ID: id, Root: id, Workspace: "one", Budget: 100, Grant: 30, Deadline: time.Unix(1000, 0)}
	return types.Entry{Epoch: epoch, Seq: seq, Records: []types.Record{{Begin: &b}}}
}

func TestStaleEntriesAndDuplicatesAreIgnored(t *testing.T) {
	s := New()
	var got []Result
	for i, e := range []types.Entry{
		claimEntry("a"), beginEntry(1, 1, "p"), beginEntry(1, 1, "copy"),
		claimEntry("b"), beginEntry(1, 2, "stale"), beginEntry(4, 1, "q"),
	} {
		got = append(got, s.ApplyLogEntry(logEntry(t, int64(i+1), e)))
	}
	want := []Result{Claimed, Applied, Duplicate, Claimed, Stale, Applied}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	var ids []string
	for _, id := range []string{"p", "copy", "stale", "q"} {
		if _, ok := s.Programs[id]; ok {
			ids = append(ids, id)
		}
	}
	if diff := cmp.Diff([]string{"p", "q"}, ids); diff != "" {
		t.Errorf("programs (-want +got):\n%s", diff)
	}
}

func TestClaimCountsGrantsAsSpent(t *testing.T) {
	s := New()
	s.ApplyLogEntry(logEntry(t, 1, claimEntry("a")))
	s.ApplyLogEntry(logEntry(t, 2, beginEntry(1, 1, "p")))
	s.ApplyLogEntry(logEntry(t, 3, claimEntry("b")))
	want := &types.TreeBudget{Root: "p", Budget: 100, Granted: 30, Spent: 30}
	if diff := cmp.Diff(want, s.TreeBudgets["p"]); diff != "" {
		t.Errorf("tree budget (-want +got):\n%s", diff)
	}
}

func TestHistoryAcceptsOnlyTheNextChainedTurn(t *testing.T) {
	s := New()
	s.ApplyLogEntry(logEntry(t, 1, claimEntry("a")))
	s.ApplyLogEntry(logEntry(t, 2, beginEntry(1, 1, "p")))
	prog := s.Programs["p"]
	chainedTurn := func(n int, sealed string) types.Turn {
		turn := types.Turn{Program: "p", Number: n, Sealed: []byte(sealed)}
		turn.Digest = TurnDigest(prog.Begin, turn, LastDigest(prog))
		return turn
	}
	first := chainedTurn(1, "one")
	s.ApplyRecord(types.Record{Turn: &first})
	for name, turn := range map[string]types.Turn{
		"a gap":           chainedTurn(3, "three"),
		"altered content": {Program: "p", Number: 2, Sealed: []byte("x"), Digest: chainedTurn(2, "two").Digest},
		"another program": {Program: "q", Number: 2, Digest: chainedTurn(2, "two").Digest},
	} {
		s.ApplyRecord(types.Record{Turn: &turn})
		if LastTurn(prog) != 1 {
			t.Errorf("turn with %s was accepted", name)
		}
	}
	second := chainedTurn(2, "two")
	s.ApplyRecord(types.Record{Turn: &second})
	if diff := cmp.Diff(2, LastTurn(prog)); diff != "" {
		t.Errorf("last turn (-want +got):\n%s", diff)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"claim":{"box":"a"}}`))
	f.Add([]byte(`{"epoch":1,"seq":1,"records":[{"turn":{"program":"p"}},{"purse":{"root":"p"}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := New()
		s.ApplyLogEntry(logEntry(t, 1, claimEntry("a")))
		s.ApplyLogEntry(logEntry(t, 2, beginEntry(1, 1, "p")))
		s.ApplyLogEntry(types.LogEntry{Offset: 3, Data: raw})
		if s.NextOffset != 4 || s.Epoch < 1 {
			t.Errorf("next offset or epoch is wrong: next %d, want 4; epoch %d, want at least 1", s.NextOffset, s.Epoch)
		}
	})
}
