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

// Settings is mgctl's settings file.
type Settings struct {
	// Log is the log's address, Boxes the admin addresses of the boxes.
	Log    netip.AddrPort   `json:"log"`
	Boxes  []netip.AddrPort `json:"boxes"`
	Author string           `json:"author"`
	// OperatorKeys are all operators' public keys, the same as in the boxes' settings.
	OperatorKeys [][]byte `json:"operator_keys"`
	// OperatorKeyFile contains this operator's private key as a 32-byte seed; publishing
	// needs it. RootKeyFile contains the root key; only creating a data key needs it.
	OperatorKeyFile string `json:"operator_key_file,omitempty"`
	RootKeyFile     string `json:"root_key_file,omitempty"`
}

const logTimeout = 5 * time.Second

// Load reads and checks a settings file. It rejects unknown fields.
func Load(path string) (Settings, error) {
	var s Settings
	file, err := os.Open(path)
	if err != nil {
		return s, fault.Refuse(fault.BadSettings, "settings file cannot be read").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	dec := json.NewDecoder(file)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, fault.Refuse(fault.BadSettings, "settings file: "+err.Error())
	}
	return s, s.check()
}

func (s Settings) check() error {
	var errs []error
	if !s.Log.IsValid() {
		errs = append(errs, fault.Refuse(fault.BadSettings, "log: missing"))
	}
	if len(s.OperatorKeys) == 0 {
		errs = append(errs, fault.Refuse(fault.BadSettings, "operator_keys: missing"))
	}
	for _, key := range s.OperatorKeys {
		if len(key) != ed25519.PublicKeySize {
			errs = append(errs, fault.Refuse(fault.BadSettings, "operator_keys: not an Ed25519 public key in base64"))
		}
	}
	return errors.Join(errs...)
}

// LogClient returns a client of the log.
func (s Settings) LogClient() *logc.Client {
	return logc.New(s.Log, logTimeout)
}

// PublicKeys returns the operators' public keys.
func (s Settings) PublicKeys() []ed25519.PublicKey {
	out := make([]ed25519.PublicKey, 0, len(s.OperatorKeys))
	for _, key := range s.OperatorKeys {
		out = append(out, ed25519.PublicKey(key))
	}
	return out
}

// PrivateKey reads this operator's private key. The key must belong to one of OperatorKeys.
func (s Settings) PrivateKey() (ed25519.PrivateKey, error) {
	if s.OperatorKeyFile == "" {
		return nil, fault.Refuse(fault.BadKey, "operator_key_file is required to publish")
	}
	seed, err := os.ReadFile(s.OperatorKeyFile)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "operator_key_file cannot be read").WithCause(err)
	}
	if len(seed) != ed25519.SeedSize {
		return nil, fault.Refuse(fault.BadKey, "operator_key_file does not hold 32 bytes")
	}
	key := ed25519.NewKeyFromSeed(seed)
	public := key.Public().(ed25519.PublicKey)
	for _, operatorKey := range s.PublicKeys() {
		if operatorKey.Equal(public) {
			return key, nil
		}
	}
	return nil, fault.Refuse(fault.BadKey, "the public key of operator_key_file is not one of operator_keys")
}

// RootKey reads the root key, which encrypts data keys.
func (s Settings) RootKey() (*seal.RootKey, error) {
	if s.RootKeyFile == "" {
		return nil, fault.Refuse(fault.BadKey, "root_key_file is required to create a data key")
	}
	raw, err := os.ReadFile(s.RootKeyFile)
	if err != nil {
		return nil, fault.Refuse(fault.BadKey, "root_key_file cannot be read").WithCause(err)
	}
	return seal.NewRootKey(raw)
}
