package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"sync"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const (
	// KeySize is the size of root and data keys in bytes.
	KeySize   = 32
	version   = 1
	headerLen = 2
	rootInfo  = "mulleingate root"
	dataInfo  = "mulleingate data "
)

// RootKey wraps data keys. It comes from the settings and never leaves the process.
type RootKey struct {
	aead cipher.AEAD
}

// NewRootKey makes a root from a key of KeySize bytes.
func NewRootKey(key []byte) (*RootKey, error) {
	if len(key) != KeySize {
		return nil, fault.Refuse(fault.BadKey, "root key has the wrong size")
	}
	aead, err := derive(key, rootInfo)
	if err != nil {
		return nil, err
	}
	return &RootKey{aead: aead}, nil
}

// NewKey makes a random data key and seals it.
func (r *RootKey) NewKey(id string) types.DataKey {
	key := make([]byte, KeySize)
	_, _ = rand.Read(key)
	nonce := make([]byte, r.aead.NonceSize())
	_, _ = rand.Read(nonce)
	return types.DataKey{ID: id, Sealed: r.aead.Seal(nonce, nonce, key, []byte(id))}
}

func (r *RootKey) open(key types.DataKey) ([]byte, error) {
	size := r.aead.NonceSize()
	if len(key.Sealed) < size {
		return nil, fault.Refuse(fault.BadKey, "sealed data key is too short")
	}
	plain, err := r.aead.Open(nil, key.Sealed[:size], key.Sealed[size:], []byte(key.ID))
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "data key does not open under the root key").WithCause(err)
	}
	return plain, nil
}

// Keyring holds the data keys in force. The last one seals; all of them open.
type Keyring struct {
	keys    map[string][]byte
	current string

	mu    sync.Mutex
	aeads map[string]cipher.AEAD
}

// NewKeyring opens the keys with the root.
func NewKeyring(root *RootKey, keys []types.DataKey) (*Keyring, error) {
	ring := &Keyring{keys: map[string][]byte{}, aeads: map[string]cipher.AEAD{}}
	for _, key := range keys {
		plain, err := root.open(key)
		if err != nil {
			return nil, err
		}
		ring.keys[key.ID] = plain
		ring.current = key.ID
	}
	if ring.current == "" {
		return nil, fault.Refuse(fault.BadKey, "no data keys")
	}
	return ring, nil
}

// Seal encrypts plain for the workspace; place must be given again to open it.
func (r *Keyring) Seal(workspace, place string, plain []byte) ([]byte, error) {
	aead, err := r.aead(r.current, workspace)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, headerLen+len(r.current)+aead.NonceSize()+len(plain)+aead.Overhead())
	out = append(out, version, byte(len(r.current)))
	out = append(out, r.current...)
	nonce := make([]byte, aead.NonceSize())
	_, _ = rand.Read(nonce)
	out = append(out, nonce...)
	return aead.Seal(out, nonce, plain, []byte(place)), nil
}

// Open decrypts what Seal made for the same workspace and place.
func (r *Keyring) Open(workspace, place string, sealed []byte) ([]byte, error) {
	if len(sealed) < headerLen || sealed[0] != version {
		return nil, fault.Refuse(fault.BadContinuation, "unknown sealed format")
	}
	end := headerLen + int(sealed[1])
	if len(sealed) < end {
		return nil, fault.Refuse(fault.BadContinuation, "sealed data is cut short")
	}
	aead, err := r.aead(string(sealed[headerLen:end]), workspace)
	if err != nil {
		return nil, err
	}
	rest := sealed[end:]
	if len(rest) < aead.NonceSize() {
		return nil, fault.Refuse(fault.BadContinuation, "sealed data is cut short")
	}
	plain, err := aead.Open(nil, rest[:aead.NonceSize()], rest[aead.NonceSize():], []byte(place))
	if err != nil {
		return nil, fault.Refuse(fault.BadContinuation, "sealed data is altered or foreign").WithCause(err)
	}
	return plain, nil
}

// SealText is Seal in URL-safe base64.
func (r *Keyring) SealText(workspace, place string, plain []byte) (string, error) {
	sealed, err := r.Seal(workspace, place, plain)
	return base64.RawURLEncoding.EncodeToString(sealed), err
}

// OpenText is Open for SealText.
func (r *Keyring) OpenText(workspace, place, text string) ([]byte, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, fault.Refuse(fault.BadContinuation, "continuation is not base64url").WithCause(err)
	}
	return r.Open(workspace, place, sealed)
}

func (r *Keyring) aead(id, workspace string) (cipher.AEAD, error) {
	key, ok := r.keys[id]
	if !ok {
		return nil, fault.Refuse(fault.BadContinuation, "sealed with an unknown or expired key")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := id + "\x00" + workspace
	if aead, ok := r.aeads[name]; ok {
		return aead, nil
	}
	aead, err := derive(key, dataInfo+workspace)
	if err != nil {
		return nil, err
	}
	r.aeads[name] = aead
	return aead, nil
}

func derive(key []byte, info string) (cipher.AEAD, error) {
	sub, err := hkdf.Key(sha256.New, key, nil, info, KeySize)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "key derivation failed").WithCause(err)
	}
	block, err := aes.NewCipher(sub)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "cipher setup failed").WithCause(err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "cipher setup failed").WithCause(err)
	}
	return aead, nil
}
