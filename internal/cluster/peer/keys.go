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

// errNoCertificate is a peer that showed none.
var errNoCertificate = errors.New("no certificate")

// KeyFiles name what an instance proves itself with: its certificate with the chain to a root, its key, and
// the roots it believes, all PEM. Two roots may be in the file while one takes the place of the other.
type KeyFiles struct{ Certificate, Key, Roots string }

// Keys are loaded files.
type Keys struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files.
func (files KeyFiles) Load() (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	raw, err := os.ReadFile(files.Roots)
	if err != nil {
		return nil, fmt.Errorf("roots: %w", err)
	}
	keys := &Keys{pair: pair, roots: x509.NewCertPool()}
	if !keys.roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("roots: %s holds no certificate", files.Roots)
	}
	return keys, nil
}

// CheckName returns what keeps these keys from proving a name at a time, as a server's and as a client's.
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
			return fmt.Errorf("the certificate does not prove %q: %w", name, err)
		}
	}
	return nil
}

// keyHolder is the keys in force: new connections use them, those that stand go on.
type keyHolder struct{ atomic.Pointer[Keys] }

// serverConfig is what an accepted connection is held to.
func (holder *keyHolder) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys := holder.Load()
			// Without tickets: a session of before would pass with a root that is no longer believed.
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keys.pair}, ClientCAs: keys.roots,
				ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig is what a dialled connection to an instance is held to.
func (holder *keyHolder) clientConfig(name string) *tls.Config {
	keys := holder.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{keys.pair}, RootCAs: keys.roots, ServerName: name,
	}
}

// provesName returns what keeps a peer's certificate, verified already, from being for a name.
func provesName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}
