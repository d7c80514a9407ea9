package parts

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mulleingate.dev/base/server"
	"mulleingate.dev/base/wire"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/peer"
)

// testCA is a certificate authority that issues certificates for boxes.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	ca := &testCA{t: t, cert: cert, key: key, dir: t.TempDir()}
	ca.write("ca.crt", "CERTIFICATE", der)
	return ca
}

// write writes a PEM file of the given block type to the CA's directory.
func (ca *testCA) write(name, kind string, der []byte) {
	ca.t.Helper()
	raw := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(ca.dir, name), raw, 0o600); err != nil {
		ca.t.Fatal(err)
	}
}

// issue writes a certificate and key that are valid until expiry and returns their paths.
func (ca *testCA) issue(name string, expiry time.Time) conf.Cert {
	ca.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-2 * time.Hour),
		NotAfter: expiry, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	ca.write(name+".crt", "CERTIFICATE", der)
	ca.write(name+".key", "EC PRIVATE KEY", raw)
	path := func(n string) string { return filepath.Join(ca.dir, n) }
	return conf.Cert{Cert: path(name + ".crt"), Key: path(name + ".key"), CA: path("ca.crt")}
}

// echoPeer answers each heartbeat with the same heartbeat.
type echoPeer struct{}

func (echoPeer) Beat(_ context.Context, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	return &wire.BeatReply{Self: beat}, nil
}

func (echoPeer) NewerRevision(int64) []byte { return nil }

// TestPeersRequireCertificateFromSameCA checks that a box rejects peers without a valid
// certificate from its own CA.
func TestPeersRequireCertificateFromSameCA(t *testing.T) {
	ownCA, otherCA := newTestCA(t), newTestCA(t)
	expiry := time.Now().Add(time.Hour)
	tlsConf, err := peerServerTLS(ownCA.issue("server", expiry))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", peer.NewServer(echoPeer{}, echoPeer{}))
	srv, err := server.Listen(netip.MustParseAddrPort("127.0.0.1:0"), mux, tlsConf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = srv.Stop(t.Context()) })
	sendBeat := func(cert conf.Cert) error {
		clientConf, err := peerClientTLS(cert)
		if err != nil {
			return err
		}
		_, err = peer.New(clientConf).Beat(t.Context(), srv.Addr(), &wire.BeatRequest{Box: "a"})
		return err
	}
	if err := sendBeat(ownCA.issue("client", expiry)); err != nil {
		t.Errorf("a box with a certificate from the same CA was rejected: %v", err)
	}
	if sendBeat(otherCA.issue("stranger", expiry)) == nil {
		t.Error("a box with a certificate from another CA was accepted")
	}
	if sendBeat(ownCA.issue("expired", time.Now().Add(-time.Hour))) == nil {
		t.Error("an expired certificate was accepted")
	}
	if _, err := peer.New(nil).Beat(t.Context(), srv.Addr(), &wire.BeatRequest{Box: "a"}); err == nil {
		t.Error("a box without a certificate was accepted")
	}
}
