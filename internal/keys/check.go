package keys

import (
	"crypto/tls"
	"crypto/x509"
	"time"
)

// credentials are a checked certificate with its key, and the certificate authorities of peers.
type credentials struct {
	cert        *tls.Certificate
	authorities *x509.CertPool
	// content is the content of the three files. Reload compares it to detect changes.
	content [3]string
}

// loadCredentials reads and checks the files of the named VM.
func loadCredentials(files Files, name string, now time.Time) (*credentials, error) {
	certData, err := readFile(files.Certificate)
	if err != nil {
		return nil, err
	}
	keyData, err := readKeyFile(files.Key)
	if err != nil {
		return nil, err
	}
	caData, err := readFile(files.Authority)
	if err != nil {
		return nil, err
	}
	certs, err := parseCertificates(files.Certificate, certData)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(files.Key, keyData)
	if err != nil {
		return nil, err
	}
	if !matches(key, certs[0]) {
		return nil, newError(ErrKeyMismatch, "%s and %s", files.Key, files.Certificate)
	}
	authorities, err := parseAuthorities(files.Authority, caData)
	if err != nil {
		return nil, err
	}
	if err := checkCertificate(files.Certificate, certs, authorities, name, now); err != nil {
		return nil, err
	}
	cert := &tls.Certificate{PrivateKey: key, Leaf: certs[0]}
	for _, c := range certs {
		cert.Certificate = append(cert.Certificate, c.Raw)
	}
	content := [3]string{string(certData), string(keyData), string(caData)}
	return &credentials{cert: cert, authorities: authorities, content: content}, nil
}

func parseAuthorities(path string, data []byte) (*x509.CertPool, error) {
	certs, err := parseCertificates(path, data)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, cert := range certs {
		if !cert.IsCA {
			return nil, newError(ErrFormat, "%s contains a certificate that is not a CA certificate", path)
		}
		pool.AddCert(cert)
	}
	return pool, nil
}

// checkCertificate makes the checks that a peer makes. Otherwise the only sign of a certificate that peers
// refuse would be links that are never established.
func checkCertificate(path string, certs []*x509.Certificate, pool *x509.CertPool, name string, now time.Time) error {
	leaf := certs[0]
	if err := checkTime(path, leaf, now); err != nil {
		return err
	}
	if err := leaf.VerifyHostname(name); err != nil {
		return newError(ErrNameMismatch, "%s is for %q, this VM is %s", path, leaf.DNSNames, name)
	}
	intermediates := x509.NewCertPool()
	for _, cert := range certs[1:] {
		intermediates.AddCert(cert)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		if !hasUsage(leaf, usage) {
			return newError(ErrUsage, "%s", path)
		}
		options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return newError(ErrUnknownAuthority, "%s: %v", path, err)
		}
	}
	return nil
}

func checkTime(path string, cert *x509.Certificate, now time.Time) error {
	if now.After(cert.NotAfter) {
		return newError(ErrExpired, "%s expired at %s", path, cert.NotAfter.Format(time.RFC3339))
	}
	if now.Before(cert.NotBefore) {
		return newError(ErrNotYetValid, "%s is valid from %s", path, cert.NotBefore.Format(time.RFC3339))
	}
	return nil
}

func hasUsage(cert *x509.Certificate, usage x509.ExtKeyUsage) bool {
	for _, u := range cert.ExtKeyUsage {
		if u == usage || u == x509.ExtKeyUsageAny {
			return true
		}
	}
	return false
}
