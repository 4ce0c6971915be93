// Package certificates issues short-lived certificates for tests and experiments. They are signed by root
// certificates that the package creates itself, so nothing else trusts them.
package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// rootBackdating is how far the start of a root certificate's validity lies before its creation.
	rootBackdating = time.Hour
	// rootValidity is the time from a root certificate's creation until it expires.
	rootValidity = 24 * time.Hour
	// issuedBackdating is how far the start of an issued certificate's validity lies before its creation.
	issuedBackdating = 2 * time.Hour

	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "EC PRIVATE KEY"
	fileMode         = 0o600
)

// Root is a root certificate with its private key.
type Root struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	PEM         []byte // the certificate in PEM
}

// NewRoot creates a root certificate with a common name.
func NewRoot(name string) (*Root, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate private key of root certificate %q: %w", name, err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-rootBackdating),
		NotAfter:              now.Add(rootValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create root certificate %q: %w", name, err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("parse root certificate %q: %w", name, err)
	}
	return &Root{certificate: certificate, key: key, PEM: encodePEM(certificateBlock, raw)}, nil
}

// Issue creates a certificate for a DNS name that is valid until a time, signed by the root. It returns the
// certificate and its private key, both in PEM.
func (r *Root) Issue(name string, until time.Time) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate private key for %q: %w", name, err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-issuedBackdating),
		NotAfter:     until,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, r.certificate, &privateKey.PublicKey, r.key)
	if err != nil {
		return nil, nil, fmt.Errorf("create certificate for %q: %w", name, err)
	}
	rawKey, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		return nil, nil, fmt.Errorf("encode private key for %q: %w", name, err)
	}
	return encodePEM(certificateBlock, raw), encodePEM(privateKeyBlock, rawKey), nil
}

// Write issues a certificate for a DNS name and writes it with its private key to NAME.pem and NAME.key in a
// folder. It also writes the given root certificates to roots.pem in that folder.
func (r *Root) Write(folder, name string, until time.Time, roots ...*Root) error {
	certificate, key, err := r.Issue(name, until)
	if err != nil {
		return err
	}
	var allRoots []byte
	for _, root := range roots {
		allRoots = append(allRoots, root.PEM...)
	}
	files := map[string][]byte{
		name + ".pem": certificate,
		name + ".key": key,
		"roots.pem":   allRoots,
	}
	for file, content := range files {
		if err := os.WriteFile(filepath.Join(folder, file), content, fileMode); err != nil {
			return err
		}
	}
	return nil
}

func encodePEM(blockType string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: raw})
}
