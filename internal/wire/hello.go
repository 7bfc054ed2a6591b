package wire

import (
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire/wirepb"
)

// Hello is the first message of both sides of a connection. It is sent in an envelope of version
// MinVersion, which every release that has a version in common with the sender can decode.
type Hello struct {
	Name        core.VMName
	Zone        core.ZoneName
	Incarnation core.Incarnation
	// MinVersion and MaxVersion bound the versions that the sender supports.
	MinVersion, MaxVersion Version
	// LinkID is chosen by the dialer; the answer repeats it.
	LinkID uint64
	// LastLinkID is the id of the link that the dialer has lost or wants to replace; 0 when there was none.
	LastLinkID uint64
	// Peer is the VM that the dialer wants to reach or, in an answer, the dialer.
	Peer core.VMName
	// Duplicate is set in an answer when another connection is kept and this one is not needed.
	Duplicate bool
}

// EncodeHello returns the envelope of a Hello. Errors: ErrInvalid.
func EncodeHello(h *Hello) ([]byte, error) {
	if err := validateHello(h); err != nil {
		return nil, err
	}
	body := &wirepb.Hello{
		Name:        string(h.Name),
		Zone:        string(h.Zone),
		Incarnation: uint32(h.Incarnation),
		MinVersion:  uint32(h.MinVersion),
		MaxVersion:  uint32(h.MaxVersion),
		LinkId:      h.LinkID,
		LastLinkId:  h.LastLinkID,
		Peer:        string(h.Peer),
		Duplicate:   h.Duplicate,
	}
	return marshal(&wirepb.Envelope{Version: uint32(MinVersion), Body: &wirepb.Envelope_Hello{Hello: body}})
}

// DecodeHello returns the Hello of an envelope. It accepts every envelope version, because the version is
// negotiated only by the Hellos. Errors: ErrTooLarge, ErrMalformed, ErrUnknownKind, ErrInvalid.
func DecodeHello(data []byte) (*Hello, error) {
	env, err := unmarshal(data)
	if err != nil {
		return nil, err
	}
	body := env.GetHello()
	if body == nil {
		return nil, newError(ErrUnknownKind, "expected a Hello")
	}
	h := &Hello{
		Name:        core.VMName(body.Name),
		Zone:        core.ZoneName(body.Zone),
		Incarnation: core.Incarnation(body.Incarnation),
		MinVersion:  Version(body.MinVersion),
		MaxVersion:  Version(body.MaxVersion),
		LinkID:      body.LinkId,
		LastLinkID:  body.LastLinkId,
		Peer:        core.VMName(body.Peer),
		Duplicate:   body.Duplicate,
	}
	if err := validateHello(h); err != nil {
		return nil, err
	}
	return h, nil
}

func validateHello(h *Hello) error {
	c := &checker{}
	c.name("name", string(h.Name))
	c.name("zone", string(h.Zone))
	c.name("peer", string(h.Peer))
	c.check(h.MinVersion > 0 && h.MinVersion <= h.MaxVersion, "version range is %d to %d", h.MinVersion, h.MaxVersion)
	c.check(h.LinkID != 0, "link id is 0")
	return c.err
}
