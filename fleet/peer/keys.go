package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// KeyFiles name what an instance proves itself with: its certificate with the chain to a root, its key, and the roots
// it believes, all PEM. Two roots may be in the file while one takes the place of the other.
type KeyFiles struct{ Certificate, Key, Roots string }

// Keys are loaded files.
type Keys struct {
	pair  tls.Certificate
	leaf  *x509.Certificate
	roots *x509.CertPool
}

// Load reads the files.
func (f KeyFiles) Load() (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	raw, err := os.ReadFile(f.Roots)
	if err != nil {
		return nil, fmt.Errorf("roots: %w", err)
	}
	k := &Keys{pair: pair, leaf: pair.Leaf, roots: x509.NewCertPool()}
	if !k.roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("roots: %s holds no certificate", f.Roots)
	}
	return k, nil
}

// CheckName tells what keeps these keys from proving a name at a time.
func (k *Keys) CheckName(name string, at time.Time) error {
	chain := x509.NewCertPool()
	for _, raw := range k.pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil {
			chain.AddCert(c)
		}
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if _, err := k.leaf.Verify(x509.VerifyOptions{
			DNSName: name, Roots: k.roots, Intermediates: chain, CurrentTime: at,
			KeyUsages: []x509.ExtKeyUsage{use},
		}); err != nil {
			return fmt.Errorf("the certificate does not prove %q: %w", name, err)
		}
	}
	return nil
}

// ExpiresAt is when the certificate is no longer good.
func (k *Keys) ExpiresAt() time.Time { return k.leaf.NotAfter }

// holder is the keys in force: new connections use them, those that stand go on.
type holder struct{ atomic.Pointer[Keys] }

// server is what an accepted connection is held to.
func (h *holder) server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		k := h.Load()
		// Without tickets: a session of before would pass with a root that is no longer believed.
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.pair}, ClientCAs: k.roots,
			ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
		}, nil
	}}
}

// client is what a dialled connection to an instance is held to.
func (h *holder) client(name string) *tls.Config {
	k := h.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.pair}, RootCAs: k.roots, ServerName: name}
}

// proves tells whether a peer's certificate, verified already, is for a name.
func proves(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}
