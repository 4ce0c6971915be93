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

// errNoCertificate is the error for a peer that sent no certificate.
var errNoCertificate = errors.New("peer sent no certificate")

// KeyFiles are the paths of an instance's PEM files: its certificate with the chain to a root, its key, and the
// root certificates that it trusts. While one root replaces another, the file of roots holds both.
type KeyFiles struct{ Certificate, Key, Roots string }

// Keys are the loaded contents of KeyFiles.
type Keys struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files. It returns an error if the key does not match the certificate.
func (files KeyFiles) Load() (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w (files %s and %s)", err, files.Certificate, files.Key)
	}
	raw, err := os.ReadFile(files.Roots)
	if err != nil {
		return nil, fmt.Errorf("roots: %w", err)
	}
	keys := &Keys{pair: pair, roots: x509.NewCertPool()}
	if !keys.roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("roots: %s holds no PEM certificate", files.Roots)
	}
	return keys, nil
}

// CheckName returns an error if the certificate is not valid for a name at the given time, both as a server and as a
// client.
func (keys *Keys) CheckName(name string, at time.Time) error {
	chain := x509.NewCertPool()
	for _, raw := range keys.pair.Certificate[1:] {
		if certificate, err := x509.ParseCertificate(raw); err == nil {
			chain.AddCert(certificate)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{
			DNSName: name, Roots: keys.roots, Intermediates: chain, CurrentTime: at,
			KeyUsages: []x509.ExtKeyUsage{usage},
		}
		if _, err := keys.pair.Leaf.Verify(options); err != nil {
			return fmt.Errorf("the certificate is not valid for the name %q: %w", name, err)
		}
	}
	return nil
}

// keyHolder holds the current keys. New connections use them; replacing them leaves open connections alone.
type keyHolder struct{ atomic.Pointer[Keys] }

// serverConfig returns the TLS configuration of accepted connections. It requires a client certificate.
func (holder *keyHolder) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys := holder.Load()
			// Without session tickets, because a resumed session would skip the check against the current roots.
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keys.pair}, ClientCAs: keys.roots,
				ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of a dialled connection. The peer's certificate must be valid for
// the name.
func (holder *keyHolder) clientConfig(name string) *tls.Config {
	keys := holder.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keys.pair}, RootCAs: keys.roots, ServerName: name,
	}
}

// verifyName returns an error if a peer's certificate is not valid for a name. The TLS handshake has verified the
// certificate itself.
func verifyName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w for the name %q", errNoCertificate, name)
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}
