package seal

import (
	"bytes"
	"testing"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// newKeyring returns a keyring of new data keys with the given IDs.
func newKeyring(t testing.TB, ids ...string) *Keyring {
	t.Helper()
	root, err := NewRootKey(make([]byte, KeySize))
	if err != nil {
		t.Fatal(err)
	}
	var keys []types.DataKey
	for _, id := range ids {
		keys = append(keys, root.NewKey(id))
	}
	keyring, err := NewKeyring(root, keys)
	if err != nil {
		t.Fatal(err)
	}
	return keyring
}

// TestOnlyTheSameWorkspaceAndPlaceOpen checks that Open rejects data of another workspace, another
// place or an expired key.
func TestOnlyTheSameWorkspaceAndPlaceOpen(t *testing.T) {
	keyring := newKeyring(t, "a", "b")
	sealed, err := keyring.Seal("one", "turn p", []byte("text"))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := keyring.Open("one", "turn p", sealed)
	if err != nil || !bytes.Equal(plain, []byte("text")) {
		t.Fatalf("Open returned %q and error %v, want \"text\"", plain, err)
	}
	if _, err := keyring.Open("two", "turn p", sealed); !fault.Is(err, fault.BadContinuation) {
		t.Errorf("Open for another workspace: got error %v, want BadContinuation", err)
	}
	if _, err := keyring.Open("one", "turn q", sealed); !fault.Is(err, fault.BadContinuation) {
		t.Errorf("Open for another place: got error %v, want BadContinuation", err)
	}
	if _, err := newKeyring(t, "c").Open("one", "turn p", sealed); !fault.Is(err, fault.BadContinuation) {
		t.Errorf("Open with an expired key: got error %v, want BadContinuation", err)
	}
}

// FuzzOpen checks that altered data is never decrypted and that every error is BadContinuation.
func FuzzOpen(f *testing.F) {
	keyring := newKeyring(f, "a")
	sealed, err := keyring.Seal("one", "p", []byte("text"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Add([]byte{1, 200})
	f.Fuzz(func(t *testing.T, raw []byte) {
		plain, err := keyring.Open("one", "p", raw)
		if err == nil && !bytes.Equal(raw, sealed) {
			t.Errorf("Open decrypted altered data: %q", plain)
		}
		if err != nil && !fault.Is(err, fault.BadContinuation) {
			t.Errorf("got error %v, want BadContinuation", err)
		}
	})
}
