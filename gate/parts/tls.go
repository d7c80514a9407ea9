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

// reloadInterval is the minimum time between two checks of a certificate file for changes.
const reloadInterval = 5 * time.Second

// certReloader reads the certificate, key and CA files again when the modification time of the
// certificate file changes, so that certificates can be replaced without a restart.
type certReloader struct {
	files conf.Cert

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

func newCertReloader(files conf.Cert) (*certReloader, error) {
	r := &certReloader{files: files}
	_, _, err := r.get()
	return r, err
}

// get returns the current certificate and the pool of CA certificates, which is nil without a
// CA file.
func (r *certReloader) get() (*tls.Certificate, *x509.CertPool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cert != nil && time.Since(r.checkedAt) < reloadInterval {
		return r.cert, r.pool, nil
	}
	r.checkedAt = time.Now()
	info, err := os.Stat(r.files.Cert)
	if err != nil {
		return r.keepOld(err)
	}
	if r.cert != nil && info.ModTime().Equal(r.modTime) {
		return r.cert, r.pool, nil
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return r.keepOld(err)
	}
	pool, err := readCertPool(r.files.CA)
	if err != nil {
		return r.keepOld(err)
	}
	r.cert, r.pool, r.modTime = &cert, pool, info.ModTime()
	return r.cert, r.pool, nil
}

// keepOld returns the last valid certificate when the files cannot be read, and an error if
// there is none.
func (r *certReloader) keepOld(err error) (*tls.Certificate, *x509.CertPool, error) {
	if r.cert != nil {
		return r.cert, r.pool, nil
	}
	return nil, nil, fault.Refuse(fault.BadSettings, "certificate cannot be read").WithCause(err)
}

// readCertPool reads CA certificates from a PEM file. Without a path it returns nil.
func readCertPool(path string) (*x509.CertPool, error) {
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

// callerTLS returns the server configuration for callers, or nil if no certificate is set.
func callerTLS(files conf.Cert) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil
	}
	r, err := newCertReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _, err := r.get()
		return cert, err
	}}, nil
}

// peerServerTLS returns the server configuration for other boxes, or nil if no certificate is
// set. It accepts only clients with a certificate signed by the CA.
func peerServerTLS(files conf.Cert) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil
	}
	r, err := newCertReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool, err := r.get()
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, nil
	}}, nil
}

// peerClientTLS returns the client configuration for other boxes, or nil if no certificate is
// set. It presents this box's certificate and requires that the server's is signed by the CA.
// It does not verify the host name, because boxes are addressed by IP address.
func peerClientTLS(files conf.Cert) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil
	}
	r, err := newCertReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the certificate chain, but not the host name.
		InsecureSkipVerify: true, //nolint:gosec // see VerifyConnection
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := r.get()
			return cert, err
		},
		VerifyConnection: func(state tls.ConnectionState) error { return verifyPeer(r, state) },
	}, nil
}

// verifyPeer returns an error unless the server's certificate chain leads to the CA.
func verifyPeer(r *certReloader, state tls.ConnectionState) error {
	_, pool, err := r.get()
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	if err != nil {
		return fault.Refuse(fault.BadKey, "the box's certificate is not signed by the CA").WithCause(err)
	}
	return nil
}
