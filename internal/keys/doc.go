// Package keys creates, loads and checks the certificates of peer links.
//
// The files of a VM are NAME.pem, NAME-key.pem and ca.pem; those of the certificate authority are
// ca.pem and ca-key.pem. Both can be in the same directory. Key files have mode 0600. ca.pem may contain
// several certificates, so that an authority can be replaced without stopping VMs.
//
// A Store owns the certificates in use and replaces them when the files change.
package keys
