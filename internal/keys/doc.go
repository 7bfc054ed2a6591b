// Package keys creates, loads and checks the certificates of peer links.
//
// A directory of a VM holds cert.pem, key.pem and ca.pem; the directory of the certificate authority
// holds ca.pem and ca-key.pem. Key files have mode 0600. ca.pem may hold several certificates, so
// that an authority can be replaced without stopping VMs.
//
// A Store owns the certificates in use and replaces them when the files change.
package keys
