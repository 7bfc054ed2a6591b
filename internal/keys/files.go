package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Names of files in the directories that this package writes.
const (
	AuthorityFile = "ca.pem"
	// AuthorityKeyFile is needed only to issue certificates. VMs do not need it.
	AuthorityKeyFile = "ca-key.pem"
	// certificateSuffix and keySuffix are appended to the VM's name.
	certificateSuffix = ".pem"
	keySuffix         = "-key.pem"
)

const (
	keyMode         fs.FileMode = 0o600
	certificateMode fs.FileMode = 0o644
	directoryMode   fs.FileMode = 0o700
	nonOwnerMask    fs.FileMode = 0o077
)

// PEM block types.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	ecKeyBlock       = "EC PRIVATE KEY"
	rsaKeyBlock      = "RSA PRIVATE KEY"
)

// Files are the paths of a VM's certificate and key and of the authority's certificates.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// FilesIn returns the paths of the files that Issue writes to a directory for the named VM.
func FilesIn(dir, name string) Files {
	return Files{
		Certificate: filepath.Join(dir, name+certificateSuffix),
		Key:         filepath.Join(dir, name+keySuffix),
		Authority:   filepath.Join(dir, AuthorityFile),
	}
}

// writeFile replaces a file atomically, so that a reader never reads an incomplete file.
func writeFile(path string, data []byte, mode fs.FileMode) error {
	// A new directory is accessible to its owner only, because it contains a key.
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return newError(ErrWrite, "%v", err)
	}
	// os.CreateTemp creates the file with mode 0600, so a key is never accessible to other users.
	temp, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return newError(ErrWrite, "%v", err)
	}
	defer os.Remove(temp.Name())
	if err := writeAndClose(temp, data, mode); err != nil {
		return newError(ErrWrite, "%v", err)
	}
	if err := os.Rename(temp.Name(), path); err != nil {
		return newError(ErrWrite, "%v", err)
	}
	return nil
}

func writeAndClose(f *os.File, data []byte, mode fs.FileMode) error {
	_, writeErr := f.Write(data)
	modeErr := f.Chmod(mode)
	syncErr := f.Sync()
	return errors.Trace(firstError(writeErr, modeErr, syncErr, f.Close()))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, newError(ErrRead, "%v", err)
	}
	return data, nil
}

// readKeyFile reads a key file. It refuses one that users other than the file's owner can access.
func readKeyFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, newError(ErrRead, "%v", err)
	}
	if info.Mode().Perm()&nonOwnerMask != 0 {
		return nil, newError(ErrKeyMode, "%s has mode %04o", path, info.Mode().Perm())
	}
	return readFile(path)
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

// parseCertificates returns all certificates of a PEM file. A file without a certificate is an error.
func parseCertificates(path string, data []byte) ([]*x509.Certificate, error) {
	var all []*x509.Certificate
	for {
		var block *pem.Block
		block, data = pem.Decode(data)
		if block == nil {
			break
		}
		if block.Type != certificateBlock {
			return nil, newError(ErrFormat, "%s contains a %s block", path, block.Type)
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, newError(ErrFormat, "%s: %v", path, err)
		}
		all = append(all, cert)
	}
	if len(all) == 0 {
		return nil, newError(ErrFormat, "%s contains no certificate", path)
	}
	return all, nil
}

// parseKey returns the private key of a PEM file. It accepts all keys that crypto/tls can use, because
// operators may have an authority of their own.
func parseKey(path string, data []byte) (crypto.Signer, error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, newError(ErrFormat, "%s contains no private key", path)
	}
	parsed, err := parseKeyBlock(block)
	if err != nil {
		return nil, newError(ErrFormat, "%s: %v", path, err)
	}
	key, ok := parsed.(crypto.Signer)
	if !ok {
		return nil, newError(ErrFormat, "%s contains a key of type %T", path, parsed)
	}
	return key, nil
}

func parseKeyBlock(block *pem.Block) (any, error) {
	switch block.Type {
	case keyBlock:
		return x509.ParsePKCS8PrivateKey(block.Bytes)
	case ecKeyBlock:
		return x509.ParseECPrivateKey(block.Bytes)
	case rsaKeyBlock:
		return x509.ParsePKCS1PrivateKey(block.Bytes)
	}
	return nil, errors.Errorf("file contains a %s block", block.Type)
}

// matches reports whether a key belongs to a certificate.
func matches(key crypto.Signer, cert *x509.Certificate) bool {
	public, ok := key.Public().(interface{ Equal(crypto.PublicKey) bool })
	return ok && public.Equal(cert.PublicKey)
}
