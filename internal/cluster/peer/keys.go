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

// errNoCertificate is the error for a peer that sent no certificate in the TLS handshake.
var errNoCertificate = errors.New("peer sent no certificate")

// KeyFiles are the paths of an instance's PEM files: its certificate with the chain to a root, its key, and the
// root certificates that it trusts. While one root replaces another, the file of roots holds both.
type KeyFiles struct{ Certificate, Key, Roots string }

// Keys are the certificate, key and roots that KeyFiles.Load has read.
type Keys struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files. It returns an error if one cannot be read, if the key does not match the certificate, or if
// the file of roots has no certificate.
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

// CheckName returns an error unless the certificate is valid for a name at the given time, both for accepting and for
// dialling connections.
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

// keyHolder holds the keys for new connections. Replacing them does not affect open connections.
type keyHolder struct{ atomic.Pointer[Keys] }

// serverConfig returns the TLS configuration for accepting connections. It requires that the peer sends a certificate
// of a trusted root, and uses the keys that are current at each handshake.
func (holder *keyHolder) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys := holder.Load()
			// Session tickets are disabled: a resumed session would skip the check of the peer's certificate against
			// the current roots.
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keys.pair}, ClientCAs: keys.roots,
				ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration for dialling the peer with this name, whose certificate must be valid for
// the name. It has the keys that are current now.
func (holder *keyHolder) clientConfig(name string) *tls.Config {
	keys := holder.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keys.pair}, RootCAs: keys.roots, ServerName: name,
	}
}

// verifyName returns an error unless a peer's certificate is valid for a name. The TLS handshake has already checked
// that the certificate is of a trusted root and has not expired.
func verifyName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w for the name %q", errNoCertificate, name)
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}
