package conf

import (
	"crypto/ed25519"
	"os"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/seal"
)

// Security holds the keys and certificates of a box.
type Security struct {
	// RootKey decrypts the data keys in the configuration: 32 bytes, in base64. Either it or
	// RootKeyFile, the path of a file with the raw bytes, must be set, but not both.
	RootKey     []byte `json:"root_key"`
	RootKeyFile string `json:"root_key_file"`
	// OperatorKeys are the Ed25519 public keys of operators, in base64.
	OperatorKeys [][]byte `json:"operator_keys"`
	Callers      Cert     `json:"callers"`
	Peers        Cert     `json:"peers"`
	// InsecureLoopback allows callers and peers to connect without TLS on loopback addresses.
	InsecureLoopback bool `json:"insecure_loopback"`
}

// Cert holds the paths of PEM files. The files are read again when the certificate changes.
type Cert struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA is the file with the certificates that the other side's certificate is verified
	// against. It is required for peers.
	CA string `json:"ca"`
}

// IsSet reports whether the path of a certificate is configured.
func (c Cert) IsSet() bool {
	return c.Cert != ""
}

func (s Security) check(rep *report, listen Listen) {
	if s.RootKeyFile == "" {
		rep.require(len(s.RootKey) == seal.KeySize, "security.root_key", "not 32 bytes in base64")
	}
	rep.require(s.RootKeyFile == "" || len(s.RootKey) == 0, "security.root_key_file", "set together with root_key")
	rep.require(len(s.OperatorKeys) > 0, "security.operator_keys", "missing")
	for _, key := range s.OperatorKeys {
		rep.require(len(key) == ed25519.PublicKeySize, "security.operator_keys", "not an Ed25519 public key in base64")
	}
	s.checkCert(rep, "security.callers", s.Callers, listen.Callers.Addr().IsLoopback())
	s.checkCert(rep, "security.peers", s.Peers, listen.Peers.Addr().IsLoopback())
	rep.require(!s.Peers.IsSet() || s.Peers.CA != "", "security.peers.ca", "missing")
}

// checkCert requires a certificate with its key, unless InsecureLoopback is set and the
// address is a loopback address.
func (s Security) checkCert(rep *report, path string, cert Cert, loopback bool) {
	if cert.IsSet() {
		rep.require(cert.Key != "", path+".key", "missing")
		return
	}
	rep.require(s.InsecureLoopback, path+".cert", "missing; only insecure_loopback allows listening without TLS")
	rep.require(!s.InsecureLoopback || loopback, path+".cert", "missing; insecure_loopback applies to loopback addresses only")
}

// LoadRootKey returns the root key from RootKeyFile if that is set, and from RootKey otherwise.
func (s Security) LoadRootKey() (*seal.RootKey, error) {
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

// OperatorPublicKeys returns OperatorKeys as public keys.
func (s Security) OperatorPublicKeys() []ed25519.PublicKey {
	keys := make([]ed25519.PublicKey, 0, len(s.OperatorKeys))
	for _, key := range s.OperatorKeys {
		keys = append(keys, ed25519.PublicKey(key))
	}
	return keys
}
