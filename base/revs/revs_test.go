package revs

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

func key(n byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = n
	return ed25519.NewKeyFromSeed(seed)
}

func public(k ed25519.PrivateKey) ed25519.PublicKey {
	return k.Public().(ed25519.PublicKey)
}

// example returns an example configuration of the repository with a data key added.
func example(t *testing.T, name string) types.Config {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + "/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var cfg types.Config
	if err := json.Unmarshal(raw, &cfg); err != nil {
		t.Fatal(err)
	}
	cfg.Keys = []types.DataKey{{ID: "k1", Sealed: []byte("x")}}
	return cfg
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"ghent", "ndokwa"} {
		if err := Check(example(t, name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestCheckNamesInvalidField checks that each error names the path of the invalid field.
func TestCheckNamesInvalidField(t *testing.T) {
	cases := []struct {
		path    string
		corrupt func(cfg *types.Config)
	}{
		{"zones[1].name", func(c *types.Config) { c.Zones[1].Name = c.Zones[0].Name }},
		{"zones[0].slots", func(c *types.Config) { c.Zones[0].Slots = 0 }},
		{"workspaces[0].token_hashes", func(c *types.Config) { c.Workspaces[0].TokenHashes = []string{"zz"} }},
		{"services[0].hedge_after", func(c *types.Config) { c.Services[0].HedgeAfter = 1 }},
		{"defaults.turns", func(c *types.Config) { c.Defaults.Turns = 0 }},
		{"keys", func(c *types.Config) { c.Keys = nil }},
		{"policy.place", func(c *types.Config) { c.Policy.Place = "region ==" }},
		{"policy.place", func(c *types.Config) { c.Policy.Place = "depth == 0" }},
		{"policy.order", func(c *types.Config) { c.Policy.Order = `"high"` }},
		{"policy.samples[0]", func(c *types.Config) { c.Policy.Place = "true" }},
	}
	for _, c := range cases {
		cfg := example(t, "ghent")
		c.corrupt(&cfg)
		err := Check(cfg)
		if err == nil || !strings.Contains(err.Error(), c.path) {
			t.Errorf("error does not name %s: %v", c.path, err)
		}
	}
}

// memoryLog is an in-memory Log. With loseAnswers set, appends succeed but return an error.
type memoryLog struct {
	entries     []types.LogEntry
	loseAnswers bool
}

func (m *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	at := int64(len(m.entries) + 1)
	m.entries = append(m.entries, types.LogEntry{Offset: at, Data: data})
	if m.loseAnswers {
		return 0, fault.Fail(fault.LogUnavailable, "answer lost")
	}
	return at, nil
}

func (m *memoryLog) Read(_ context.Context, _ string, from int64, _ int) (types.LogPage, error) {
	page := types.LogPage{First: 1, Next: int64(len(m.entries) + 1)}
	for _, e := range m.entries {
		if e.Offset >= from {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

// TestOnlyOneOperatorWins checks that of two publications on the same base one is accepted, also
// if the answers to the appends are lost.
func TestOnlyOneOperatorWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		log := &memoryLog{loseAnswers: true}
		keys := Keys(public(key(1)), public(key(2)))
		cfg := example(t, "ghent")
		if _, err := Publish(ctx, log, key(1), keys, Draft{Config: cfg, Author: "a"}); err != nil {
			t.Fatalf("Publish failed after a lost answer: %v", err)
		}
		_, err := Publish(ctx, log, key(2), keys, Draft{Config: cfg, Author: "b"})
		if !fault.Is(err, fault.RevisionConflict) {
			t.Errorf("second Publish on the same base: got error %v, want a conflict", err)
		}
		state, _, err := History(ctx, log, keys)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("a", state.Current.Author); diff != "" {
			t.Errorf("author of the current revision (-want +got):\n%s", diff)
		}
	})
}

// TestForgedAndOldRevisionsAreIgnored checks the verdicts on revisions with a wrong key, on copies,
// on old numbers and on a gap.
func TestForgedAndOldRevisionsAreIgnored(t *testing.T) {
	cfg := example(t, "ghent")
	sign := func(n int64, k ed25519.PrivateKey, isCopy bool) types.Revision {
		rev, err := Sign(types.Revision{Number: n, Base: n - 1, ID: string(rune('a' + n)), Config: cfg}, k)
		if err != nil {
			t.Fatal(err)
		}
		rev.IsCopy = isCopy
		return rev
	}
	state := New(Keys(public(key(1))))
	got := []Verdict{
		state.ApplyRevision(sign(1, key(2), false)),
		state.ApplyRevision(sign(5, key(1), true)),
		state.ApplyRevision(sign(4, key(1), true)),
		state.ApplyRevision(sign(5, key(1), false)),
		state.ApplyRevision(sign(6, key(1), false)),
		state.ApplyRevision(sign(8, key(1), false)),
	}
	want := []Verdict{BadSignature, Accepted, AlreadyKnown, AlreadyKnown, Accepted, LostRace}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"number":1,"config":{}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		state := New(Keys(public(key(1))))
		if _, verdict := state.Apply(types.LogEntry{Offset: 1, Data: raw}); verdict == Accepted {
			t.Error("an unsigned entry was accepted")
		}
	})
}
