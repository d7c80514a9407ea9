package seal

import (
	"bytes"
	"testing"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

func ring(t testing.TB, ids ...string) *Keyring {
	t.Helper()
	root, err := NewRootKey(make([]byte, KeySize))
	if err != nil {
		t.Fatal(err)
	}
	var keys []types.DataKey
	for _, id := range ids {
		keys = append(keys, root.NewKey(id))
	}
	r, err := NewKeyring(root, keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestOnlyTheSameWorkspaceAndPlaceOpen(t *testing.T) {
	r := ring(t, "a", "b")
	sealed, err := r.Seal("one", "turn p", []byte("text"))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := r.Open("one", "turn p", sealed)
	if err != nil || !bytes.Equal(plain, []byte("text")) {
		t.Fatalf("got %q, %v", plain, err)
	}
	if _, err := r.Open("two", "turn p", sealed); !fault.Is(err, fault.BadContinuation) {
		t.Errorf("another workspace: %v", err)
	}
	if _, err := r.Open("one", "turn q", sealed); !fault.Is(err, fault.BadContinuation) {
		t.Errorf("another place: %v", err)
	}
	if _, err := ring(t, "c").Open("one", "turn p", sealed); !fault.Is(err, fault.BadContinuation) {
		t.Errorf("an expired key: %v", err)
	}
}

func FuzzOpen(f *testing.F) {
	r := ring(f, "a")
	good, err := r.Seal("one", "p", []byte("text"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{1, 200})
	f.Fuzz(func(t *testing.T, raw []byte) {
		plain, err := r.Open("one", "p", raw)
		if err == nil && !bytes.Equal(raw, good) {
			t.Errorf("altered data opened: %q", plain)
		}
		if err != nil && !fault.Is(err, fault.BadContinuation) {
			t.Errorf("failure without its type: %v", err)
		}
	})
}
