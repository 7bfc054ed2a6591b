package link

import (
	"crypto/tls"
	"net"

	"github.com/mangoweir/mangoweir/core"
)

// secureDialed runs the client side of TLS; the peer's certificate has to be for its name.
func (m *Manager) secureDialed(conn net.Conn, peer core.VMName) (net.Conn, error) {
	if m.cfg.Credentials == nil {
		return conn, nil
	}
	config := m.tlsConfig()
	config.ServerName = string(peer)
	return handshake(tls.Client(conn, config))
}

// secureAccepted runs the server side of TLS. The name in the Hello is compared with the
// certificate afterwards, in checkName.
func (m *Manager) secureAccepted(conn net.Conn) (net.Conn, error) {
	if m.cfg.Credentials == nil {
		return conn, nil
	}
	return handshake(tls.Server(conn, m.tlsConfig()))
}

// tlsConfig is built per connection, so that renewed certificates are used at once. Tickets are off
// because a resumed session would not check the certificate again.
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

// checkName compares the name in a Hello with the certificate of the connection.
func checkName(conn net.Conn, name core.VMName) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	leaf := secure.ConnectionState().PeerCertificates[0]
	if err := leaf.VerifyHostname(string(name)); err != nil {
		return newError(ErrWrongPeer, "%v", err)
	}
	return nil
}
