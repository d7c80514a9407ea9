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
	// KeySize is the size of root and data keys, in bytes.
	KeySize = 32
	// version is the first byte of sealed data; the length of the key ID is the second.
	version   = 1
	headerLen = 2
	// rootInfo and dataInfo are the context strings of the key derivation.
	rootInfo = "mulleingate root"
	dataInfo = "mulleingate data "
)

// RootKey encrypts data keys. Its key comes from the settings and never leaves the process.
type RootKey struct {
	aead cipher.AEAD
}

// NewRootKey returns a RootKey with a key of KeySize bytes.
func NewRootKey(key []byte) (*RootKey, error) {
	if len(key) != KeySize {
		return nil, fault.Refuse(fault.BadKey, "root key has the wrong size")
	}
	aead, err := newAEAD(key, rootInfo)
	if err != nil {
		return nil, err
	}
	return &RootKey{aead: aead}, nil
}

// NewKey creates a random data key and returns it encrypted.
func (r *RootKey) NewKey(id string) types.DataKey {
	key := make([]byte, KeySize)
	_, _ = rand.Read(key)
	nonce := make([]byte, r.aead.NonceSize())
	_, _ = rand.Read(nonce)
	return types.DataKey{ID: id, Sealed: r.aead.Seal(nonce, nonce, key, []byte(id))}
}

// decryptKey decrypts a data key.
func (r *RootKey) decryptKey(key types.DataKey) ([]byte, error) {
	size := r.aead.NonceSize()
	if len(key.Sealed) < size {
		return nil, fault.Refuse(fault.BadKey, "sealed data key is too short")
	}
	plain, err := r.aead.Open(nil, key.Sealed[:size], key.Sealed[size:], []byte(key.ID))
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "cannot decrypt data key with the root key").WithCause(err)
	}
	return plain, nil
}

// Keyring holds the data keys in use: the last one encrypts and all of them decrypt. It is safe for
// concurrent use.
type Keyring struct {
	keys    map[string][]byte
	current string

	mu sync.Mutex
	// aeads caches the derived ciphers by data key and workspace.
	aeads map[string]cipher.AEAD
}

// NewKeyring decrypts the data keys with the root key. There must be at least one data key.
func NewKeyring(root *RootKey, keys []types.DataKey) (*Keyring, error) {
	keyring := &Keyring{keys: map[string][]byte{}, aeads: map[string]cipher.AEAD{}}
	for _, key := range keys {
		plain, err := root.decryptKey(key)
		if err != nil {
			return nil, err
		}
		keyring.keys[key.ID] = plain
		keyring.current = key.ID
	}
	if keyring.current == "" {
		return nil, fault.Refuse(fault.BadKey, "no data keys")
	}
	return keyring, nil
}

// Seal encrypts plain for the workspace and binds it to place; Open needs the same values.
func (k *Keyring) Seal(workspace, place string, plain []byte) ([]byte, error) {
	aead, err := k.aead(k.current, workspace)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, headerLen+len(k.current)+aead.NonceSize()+len(plain)+aead.Overhead())
	out = append(out, version, byte(len(k.current)))
	out = append(out, k.current...)
	nonce := make([]byte, aead.NonceSize())
	_, _ = rand.Read(nonce)
	out = append(out, nonce...)
	return aead.Seal(out, nonce, plain, []byte(place)), nil
}

// Open decrypts data that Seal encrypted for the same workspace and place. It returns a
// BadContinuation fault if that fails.
func (k *Keyring) Open(workspace, place string, sealed []byte) ([]byte, error) {
	if len(sealed) < headerLen || sealed[0] != version {
		return nil, fault.Refuse(fault.BadContinuation, "unknown sealed format")
	}
	end := headerLen + int(sealed[1])
	if len(sealed) < end {
		return nil, fault.Refuse(fault.BadContinuation, "sealed data is cut short")
	}
	aead, err := k.aead(string(sealed[headerLen:end]), workspace)
	if err != nil {
		return nil, err
	}
	rest := sealed[end:]
	if len(rest) < aead.NonceSize() {
		return nil, fault.Refuse(fault.BadContinuation, "sealed data is cut short")
	}
	plain, err := aead.Open(nil, rest[:aead.NonceSize()], rest[aead.NonceSize():], []byte(place))
	if err != nil {
		return nil, fault.Refuse(fault.BadContinuation, "sealed data is altered or for another use").WithCause(err)
	}
	return plain, nil
}

// SealText is Seal with the result in unpadded URL-safe base64.
func (k *Keyring) SealText(workspace, place string, plain []byte) (string, error) {
	sealed, err := k.Seal(workspace, place, plain)
	return base64.RawURLEncoding.EncodeToString(sealed), err
}

// OpenText decrypts text that SealText returned.
func (k *Keyring) OpenText(workspace, place, text string) ([]byte, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, fault.Refuse(fault.BadContinuation, "continuation is not base64url").WithCause(err)
	}
	return k.Open(workspace, place, sealed)
}

// aead returns the cipher for a workspace under the data key with the ID.
func (k *Keyring) aead(id, workspace string) (cipher.AEAD, error) {
	key, ok := k.keys[id]
	if !ok {
		return nil, fault.Refuse(fault.BadContinuation, "sealed with an unknown or expired key")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	name := id + "\x00" + workspace
	if aead, ok := k.aeads[name]; ok {
		return aead, nil
	}
	aead, err := newAEAD(key, dataInfo+workspace)
	if err != nil {
		return nil, err
	}
	k.aeads[name] = aead
	return aead, nil
}

// newAEAD returns an AES-256-GCM cipher whose key is derived from key and info.
func newAEAD(key []byte, info string) (cipher.AEAD, error) {
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
