package conn

import (
	"crypto/ed25519"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/logc"
	"mulleingate.dev/base/seal"
)

// File is mgctl's settings file.
type File struct {
	Log    netip.AddrPort   `json:"log"`
	Boxes  []netip.AddrPort `json:"boxes"`
	Author string           `json:"author"`
	// OperatorKeys are the public keys that the boxes' settings have.
	OperatorKeys [][]byte `json:"operator_keys"`
	// OperatorKeyFile holds this operator's private key (the 32-byte seed), RootKeyFile
	// the root key; both are needed for publishing and for keys only.
	OperatorKeyFile string `json:"operator_key_file,omitempty"`
	RootKeyFile     string `json:"root_key_file,omitempty"`
}

const logTimeout = 5 * time.Second

// Load reads a settings file.
func Load(path string) (File, error) {
	var f File
	file, err := os.Open(path)
	if err != nil {
		return f, fault.Refuse(fault.BadSettings, "settings file cannot be read").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	dec := json.NewDecoder(file)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return f, fault.Refuse(fault.BadSettings, "settings file: "+err.Error())
	}
	return f, f.check()
}

func (f File) check() error {
	var errs []error
	if !f.Log.IsValid() {
		errs = append(errs, fault.Refuse(fault.BadSettings, "log: missing"))
	}
	if len(f.OperatorKeys) == 0 {
		errs = append(errs, fault.Refuse(fault.BadSettings, "operator_keys: missing"))
	}
	for _, key := range f.OperatorKeys {
		if len(key) != ed25519.PublicKeySize {
			errs = append(errs, fault.Refuse(fault.BadSettings, "operator_keys: not an Ed25519 public key in base64"))
		}
	}
	return errors.Join(errs...)
}

// Client is a client of the log.
func (f File) Client() *logc.Client {
	return logc.New(f.Log, logTimeout)
}

// Public are the operators' public keys.
func (f File) Public() []ed25519.PublicKey {
	out := make([]ed25519.PublicKey, 0, len(f.OperatorKeys))
	for _, key := range f.OperatorKeys {
		out = append(out, ed25519.PublicKey(key))
	}
	return out
}

// Private is this operator's private key.
func (f File) Private() (ed25519.PrivateKey, error) {
	if f.OperatorKeyFile == "" {
		return nil, fault.Refuse(fault.BadKey, "operator_key_file is needed to publish")
	}
	seed, err := os.ReadFile(f.OperatorKeyFile)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "operator_key_file cannot be read").WithCause(err)
	}
	if len(seed) != ed25519.SeedSize {
		return nil, fault.Refuse(fault.BadKey, "operator_key_file does not hold 32 bytes")
	}
	key := ed25519.NewKeyFromSeed(seed)
	public := key.Public().(ed25519.PublicKey)
	for _, known := range f.Public() {
		if known.Equal(public) {
			return key, nil
		}
	}
	return nil, fault.Refuse(fault.BadKey, "operator_key_file is not one of operator_keys")
}

// Root is the root key that seals data keys.
func (f File) Root() (*seal.RootKey, error) {
	if f.RootKeyFile == "" {
		return nil, fault.Refuse(fault.BadKey, "root_key_file is needed for keys")
	}
	raw, err := os.ReadFile(f.RootKeyFile)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "root_key_file cannot be read").WithCause(err)
	}
	return seal.NewRootKey(raw)
}
