package parts

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/conf"
)

// reload looks at the certificate files at most this often.
const reload = 5 * time.Second

// keeper reads certificate files again when they change, so that keys rotate without a
// restart.
type keeper struct {
	conf conf.Cert

	mu     sync.Mutex
	looked time.Time
	stamp  time.Time
	cert   *tls.Certificate
	pool   *x509.CertPool
}

func newKeeper(set conf.Cert) (*keeper, error) {
	k := &keeper{conf: set}
	_, _, err := k.get()
	return k, err
}

func (k *keeper) get() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cert != nil && time.Since(k.looked) < reload {
		return k.cert, k.pool, nil
	}
	k.looked = time.Now()
	info, err := os.Stat(k.conf.Cert)
	if err != nil {
		return k.old(err)
	}
	if k.cert != nil && info.ModTime().Equal(k.stamp) {
		return k.cert, k.pool, nil
	}
	cert, err := tls.LoadX509KeyPair(k.conf.Cert, k.conf.Key)
	if err != nil {
		return k.old(err)
	}
	pool, err := readPool(k.conf.CA)
	if err != nil {
		return k.old(err)
	}
	k.cert, k.pool, k.stamp = &cert, pool, info.ModTime()
	return k.cert, k.pool, nil
}

// old keeps the certificate in force when the files cannot be read.
func (k *keeper) old(err error) (*tls.Certificate, *x509.CertPool, error) {
	if k.cert != nil {
		return k.cert, k.pool, nil
	}
	return nil, nil, fault.Refuse(fault.BadSettings, "certificate cannot be read").WithCause(err)
}

func readPool(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Refuse(fault.BadSettings, "CA file cannot be read").WithCause(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fault.Refuse(fault.BadSettings, "CA file holds no certificate")
	}
	return pool, nil
}

// callerTLS serves callers; nil without certificates.
func callerTLS(set conf.Cert) (*tls.Config, error) {
	if !set.Set() {
		return nil, nil
	}
	k, err := newKeeper(set)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _, err := k.get()
		return cert, err
	}}, nil
}

// peerServerTLS takes only boxes whose certificate the CA has signed.
func peerServerTLS(set conf.Cert) (*tls.Config, error) {
	if !set.Set() {
		return nil, nil
	}
	k, err := newKeeper(set)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool, err := k.get()
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, nil
	}}, nil
}

// peerClientTLS shows this box's certificate and checks that the other side's is signed
// by the CA. Boxes are known by number, so names are not compared.
func peerClientTLS(set conf.Cert) (*tls.Config, error) {
	if !set.Set() {
		return nil, nil
	}
	k, err := newKeeper(set)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified below; only the host name is not.
		InsecureSkipVerify: true, //nolint:gosec // see VerifyConnection
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := k.get()
			return cert, err
		},
		VerifyConnection: func(state tls.ConnectionState) error { return verify(k, state) },
	}, nil
}

func verify(k *keeper, state tls.ConnectionState) error {
	_, pool, err := k.get()
	if err != nil {
		return err
	}
	between := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: between})
	if err != nil {
		return fault.Refuse(fault.BadKey, "the box's certificate is not signed by the CA").WithCause(err)
	}
	return nil
}
