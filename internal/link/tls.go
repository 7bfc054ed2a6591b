package link

import (
	"crypto/tls"
	"net"

	"github.com/mangoweir/mangoweir/core"
)

// secureDialed performs the client side of the TLS handshake, which fails unless the certificate is for
// the peer's name. Without credentials it returns conn unchanged.
func (m *Manager) secureDialed(conn net.Conn, peer core.VMName) (net.Conn, error) {
	if m.cfg.Credentials == nil {
		return conn, nil
	}
	config := m.tlsConfig()
	config.ServerName = string(peer)
	return handshake(tls.Client(conn, config))
}

// secureAccepted performs the server side of the TLS handshake. checkCertificateName later compares the
// certificate with the name in the Hello. Without credentials it returns conn unchanged.
func (m *Manager) secureAccepted(conn net.Conn) (net.Conn, error) {
	if m.cfg.Credentials == nil {
		return conn, nil
	}
	return handshake(tls.Server(conn, m.tlsConfig()))
}

// tlsConfig returns the TLS configuration of one connection, so that renewed certificates are used at
// once. Session tickets are disabled because a resumed session would not check the certificate again.
func (m *Manager) tlsConfig() *tls.Config {
	authorities := m.cfg.Credentials.Authorities()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*m.cfg.Credentials.Certificate()},
		RootCAs:                authorities,
		ClientCAs:              authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

func handshake(conn *tls.Conn) (net.Conn, error) {
	if err := conn.Handshake(); err != nil {
		return nil, newError(ErrTLS, "%v", err)
	}
	return conn, nil
}

// checkCertificateName checks that the peer's certificate is for the name in its Hello. It accepts
// connections without TLS.
func checkCertificateName(conn net.Conn, name core.VMName) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	cert := tlsConn.ConnectionState().PeerCertificates[0]
	if err := cert.VerifyHostname(string(name)); err != nil {
		return newError(ErrWrongPeer, "%v", err)
	}
	return nil
}
