// Package certificates makes roots and certificates for tests and experiments. They last hours and prove nothing elsewhere.
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
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(raw)
	return &Root{c, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})}, err
}

// Issue gives a certificate and its key for a name, good until a time.
func (r *Root) Issue(name string, until time.Time) (certificate, key []byte, err error) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, t, r.certificate, &own.PublicKey, r.key)
	if err != nil {
		return nil, nil, err
	}
	bare, err := x509.MarshalECPrivateKey(own)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: bare}), nil
}

// Write issues for a name into NAME.pem and NAME.key in a folder, and writes roots.pem from the roots.
func (r *Root) Write(folder, name string, until time.Time, roots ...*Root) error {
	certificate, key, err := r.Issue(name, until)
	if err != nil {
		return err
	}
	var all []byte
	for _, x := range roots {
		all = append(all, x.PEM...)
	}
	for file, content := range map[string][]byte{name + ".pem": certificate, name + ".key": key, "roots.pem": all} {
		if err := os.WriteFile(filepath.Join(folder, file), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}
