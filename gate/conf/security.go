package conf

import (
	"crypto/ed25519"
	"os"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/seal"
)

// Security holds keys and certificates.
type Security struct {
	// RootKey opens the data keys of the configuration; base64, 32 bytes. Either it or
	// RootKeyFile, which holds the raw bytes, is set.
	RootKey     []byte `json:"root_key"`
	RootKeyFile string `json:"root_key_file"`
	// OperatorKeys are Ed25519 public keys, base64.
	OperatorKeys [][]byte `json:"operator_keys"`
	Callers      Cert     `json:"callers"`
	Peers        Cert     `json:"peers"`
	// InsecureLoopback allows listening without TLS, on loopback addresses only.
	InsecureLoopback bool `json:"insecure_loopback"`
}

// Cert names certificate files; they are read again when they change.
type Cert struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA verifies the other side; needed for peers.
	CA string `json:"ca"`
}

// Set reports whether a certificate is configured.
func (c Cert) Set() bool {
	return c.Cert != ""
}

func (s Security) check(rep *report, listen Listen) {
	if s.RootKeyFile == "" {
		rep.need(len(s.RootKey) == seal.KeySize, "security.root_key", "not 32 bytes in base64")
	}
	rep.need(s.RootKeyFile == "" || len(s.RootKey) == 0, "security.root_key_file", "set together with root_key")
	rep.need(len(s.OperatorKeys) > 0, "security.operator_keys", "missing")
	for _, key := range s.OperatorKeys {
		rep.need(len(key) == ed25519.PublicKeySize, "security.operator_keys", "not an Ed25519 public key in base64")
	}
	s.pair(rep, "security.callers", s.Callers, listen.Callers.Addr().IsLoopback())
	s.pair(rep, "security.peers", s.Peers, listen.Peers.Addr().IsLoopback())
	rep.need(!s.Peers.Set() || s.Peers.CA != "", "security.peers.ca", "missing")
}

func (s Security) pair(rep *report, path string, cert Cert, loopback bool) {
	if cert.Set() {
		rep.need(cert.Key != "", path+".key", "missing")
		return
	}
	rep.need(s.InsecureLoopback, path+".cert", "missing; without TLS only by insecure_loopback")
	rep.need(!s.InsecureLoopback || loopback, path+".cert", "missing; insecure_loopback is for loopback addresses only")
}

// Root makes the root key.
func (s Security) Root() (*seal.RootKey, error) {
	key := s.RootKey
	if s.RootKeyFile != "" {
		raw, err := os.ReadFile(s.RootKeyFile)
		if err != nil {
			return nil, fault.Refuse(fault.BadSettings, "security.root_key_file: cannot be read").WithCause(err)
		}
		key = raw
	}
	return seal.NewRootKey(key)
}

// Operators are the public keys of operators.
func (s Security) Operators() []ed25519.PublicKey {
	keys := make([]ed25519.PublicKey, 0, len(s.OperatorKeys))
	for _, key := range s.OperatorKeys {
		keys = append(keys, ed25519.PublicKey(key))
	}
	return keys
}
