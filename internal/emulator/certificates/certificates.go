// Package certificates issues certificates for tests and experiments. They are valid for hours and prove
// nothing elsewhere.
package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	rootBackdated   = time.Hour // before now, when a root's time begins
	rootValidity    = 24 * time.Hour
	issuedBackdated = 2 * time.Hour // before now, when an issued certificate's time begins

	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "EC PRIVATE KEY"
	fileMode         = 0o600
)

// Root is a root that signs.
type Root struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	PEM         []byte
}

// NewRoot makes a root.
func NewRoot(name string) (*Root, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-rootBackdated),
		NotAfter:              now.Add(rootValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	return &Root{certificate: certificate, key: key, PEM: encodePEM(certificateBlock, raw)}, nil
}

// Issue returns a certificate and its key for a name, valid until a time, both in PEM.
func (r *Root) Issue(name string, until time.Time) (certificate, key []byte, err error) {
	ownKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-issuedBackdated),
		NotAfter:     until,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, r.certificate, &ownKey.PublicKey, r.key)
	if err != nil {
		return nil, nil, err
	}
	rawKey, err := x509.MarshalECPrivateKey(ownKey)
	if err != nil {
		return nil, nil, err
	}
	return encodePEM(certificateBlock, raw), encodePEM(privateKeyBlock, rawKey), nil
}

// Write issues a certificate for a name into NAME.pem and NAME.key in a folder, and writes the roots into
// roots.pem there.
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

func encodePEM(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}
