package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
)

// Default validity of certificates.
const (
	DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour
	DefaultValidity          = 365 * 24 * time.Hour
)

const (
	// clockSkew is how far the clock of a VM may be behind that of the machine that issues certificates.
	clockSkew = time.Hour
	// serialBits is the size of random serial numbers; RFC 5280 allows up to 160 bits.
	serialBits = 128
)

// CreateAuthority writes a new certificate authority to a directory: ca.pem and ca-key.pem. A validity of
// 0 means DefaultAuthorityValidity. Errors: ErrExists, ErrWrite.
func CreateAuthority(dir, name string, validity time.Duration) error {
	certPath, keyPath := filepath.Join(dir, AuthorityFile), filepath.Join(dir, AuthorityKeyFile)
	if exists(certPath) || exists(keyPath) {
		return newError(ErrExists, "%s", dir)
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	template, err := newTemplate(name, validity, DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return errors.Annotate(err, "create authority")
	}
	return writeCertificateAndKey(certPath, keyPath, der, key)
}

// Issue writes a VM's certificate and key, signed by the authority in authorityDir, and the
// authority's ca.pem to a directory. A validity of 0 means DefaultValidity; a certificate expires no later
// than its authority. Existing files are replaced when renew is true, and are an error otherwise. Errors:
// ErrInvalidName, ErrExists, ErrRead, ErrFormat, ErrKeyMode, ErrKeyMismatch, ErrExpired, ErrNotYetValid,
// ErrWrite.
func Issue(authorityDir, dir, name string, validity time.Duration, renew bool) error {
	if !validName(name) {
		return newError(ErrInvalidName, "%q", name)
	}
	files := FilesIn(dir, name)
	if !renew && (exists(files.Certificate) || exists(files.Key)) {
		return newError(ErrExists, "%s", dir)
	}
	authority, err := loadAuthority(authorityDir)
	if err != nil {
		return err
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	der, err := authority.sign(name, validity, key)
	if err != nil {
		return err
	}
	if err := writeFile(files.Authority, authority.bundle, certificateMode); err != nil {
		return err
	}
	return writeCertificateAndKey(files.Certificate, files.Key, der, key)
}

// authority is a certificate authority with its key.
type authority struct {
	cert *x509.Certificate
	key  crypto.Signer
	// bundle is the content of ca.pem; its first certificate is cert.
	bundle []byte
}

func loadAuthority(dir string) (*authority, error) {
	certPath, keyPath := filepath.Join(dir, AuthorityFile), filepath.Join(dir, AuthorityKeyFile)
	bundle, err := readFile(certPath)
	if err != nil {
		return nil, err
	}
	certs, err := parseCertificates(certPath, bundle)
	if err != nil {
		return nil, err
	}
	keyData, err := readKeyFile(keyPath)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(keyPath, keyData)
	if err != nil {
		return nil, err
	}
	if !matches(key, certs[0]) {
		return nil, newError(ErrKeyMismatch, "%s", keyPath)
	}
	if err := checkTime(certPath, certs[0], time.Now()); err != nil {
		return nil, err
	}
	return &authority{cert: certs[0], key: key, bundle: bundle}, nil
}

func (a *authority) sign(name string, validity time.Duration, key *ecdsa.PrivateKey) ([]byte, error) {
	template, err := newTemplate(name, validity, DefaultValidity)
	if err != nil {
		return nil, err
	}
	if template.NotAfter.After(a.cert.NotAfter) {
		template.NotAfter = a.cert.NotAfter
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	return der, errors.Annotate(err, "issue certificate")
}

func newTemplate(name string, validity, defaultValidity time.Duration) (*x509.Certificate, error) {
	if validity == 0 {
		validity = defaultValidity
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "create serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Annotate(err, "create key")
}

// writeCertificateAndKey writes the key and then the certificate. A Store that reads the files in between
// finds a mismatch and keeps its credentials until the certificate is written, too.
func writeCertificateAndKey(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyData, err := encodeKey(key)
	if err != nil {
		return err
	}
	if err := writeFile(keyPath, keyData, keyMode); err != nil {
		return err
	}
	return writeFile(certPath, encodeCertificate(der), certificateMode)
}

// validName reports whether a certificate can be issued for a VM name. It accepts all names that settings
// accept, except names whose files could be those of the authority or the key file of another VM.
func validName(name string) bool {
	reserved := name+certificateSuffix == AuthorityFile || strings.HasSuffix(name+certificateSuffix, keySuffix)
	return core.ValidName(name) && !reserved
}
