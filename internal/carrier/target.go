package carrier

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// AppendSendTarget appends the datagram for an action towards a target to dst: the request, or its
// cancellation.
func AppendSendTarget(dst []byte, a *core.SendTarget, service netip.AddrPort) ([]byte, error) {
	if a.Kind == core.SendCancel {
		return AppendCancel(dst, a, service)
	}
	return AppendRequest(dst, a, service)
}

// AppendRequest appends the datagram that sends an attempt of a request to a target. The message has
// the caller's options with the remaining time, the attempt token and a message id of its own. It is
// non-confirmable, as only the core decides whether a request is sent again.
func AppendRequest(dst []byte, a *core.SendTarget, service netip.AddrPort) ([]byte, error) {
	m, err := ParseMessage(a.Request.Payload)
	if err != nil {
		return dst, err
	}
	if !isRequest(m.Code) {
		return dst, fail(KindUnexpected, "%v as a request to a target", m.Code)
	}
	addressAttempt(&m, a)
	SetOptionUint(&m, OptionDeadline, remainingMillis(a.Remaining))
	return AppendDatagram(dst, towardsTarget(a, service), &m)
}

// AppendCancel appends the datagram that withdraws an attempt. For a live feed it is the feed's
// request with Observe 1 (RFC 7641, 3.6), for any other request a reset with its message id. A target
// that complies answers with the attempt token and Report.Cancelled.
func AppendCancel(dst []byte, a *core.SendTarget, service netip.AddrPort) ([]byte, error) {
	m, err := ParseMessage(a.Request.Payload)
	if err != nil {
		return dst, err
	}
	if a.Request.Method != core.MethodSubscribe {
		id := attemptMessageID(uint16(m.MessageID), a)
		m = message.Message{Type: message.Reset, Code: codes.Empty, MessageID: int32(id)}
		return AppendDatagram(dst, towardsTarget(a, service), &m)
	}
	addressAttempt(&m, a)
	RemoveOption(&m, OptionDeadline)
	SetOptionUint(&m, OptionObserve, ObserveDeregister)
	return AppendDatagram(dst, towardsTarget(a, service), &m)
}

// AppendReset appends the datagram that rejects a target's datagram, such as a notification of an
// unknown feed. RFC 7641, 3.6 requires the target to end that feed.
func AppendReset(dst []byte, datagram []byte) ([]byte, error) {
	return appendEmpty(dst, datagram, message.Reset)
}

// NeedsAck reports whether a target's CoAP message, such as TargetAnswer.Payload, is confirmable. A
// target repeats such a message until it gets the datagram of AppendAck.
func NeedsAck(body []byte) bool {
	return len(body) >= 4 && message.Type(body[0]>>4&3) == message.Confirmable
}

// AppendAck appends the datagram that acknowledges a target's confirmable datagram.
func AppendAck(dst []byte, datagram []byte) ([]byte, error) {
	return appendEmpty(dst, datagram, message.Acknowledgement)
}

// appendEmpty appends the empty message of the given type that refers to a target's datagram.
func appendEmpty(dst []byte, datagram []byte, typ message.Type) ([]byte, error) {
	h, body, err := SplitDatagram(datagram)
	if err != nil {
		return dst, err
	}
	in, err := ParseMessage(body)
	if err != nil {
		return dst, err
	}
	m := message.Message{Type: typ, Code: codes.Empty, MessageID: in.MessageID}
	return AppendDatagram(dst, Header{Source: h.Destination, Destination: h.Source, Local: h.Local}, &m)
}

// towardsTarget returns the header of a datagram to a target.
func towardsTarget(a *core.SendTarget, service netip.AddrPort) Header {
	return Header{Source: a.Request.Flow.ClientAddr(), Destination: service}
}

// addressAttempt gives a message the type, token and message id of an attempt.
func addressAttempt(m *message.Message, a *core.SendTarget) {
	id := attemptMessageID(uint16(m.MessageID), a)
	address(m, a.Token)
	m.MessageID = int32(id)
}

// address gives a message of the VM's own the type, token and message id of an attempt.
func address(m *message.Message, token core.AttemptToken) {
	m.Type = message.NonConfirmable
	m.Token = binary.BigEndian.AppendUint64(nil, uint64(token))
	m.MessageID = int32(messageID(token))
}

// Ranges of message ids, relative to that of the caller's packet.
const (
	attemptStep  = 0x4000
	renewalRange = 0x2000
)

// attemptMessageID derives the message id of an attempt from that of the caller's packet. Targets
// detect duplicates by caller and message id for some minutes (RFC 7252, 4.2), so the ids of a flow's
// attempts must differ whichever VMs send them. The caller's own ids differ already; each further
// attempt has a range of its own, far from the ids that the caller uses meanwhile.
func attemptMessageID(caller uint16, a *core.SendTarget) uint16 {
	if a.Attempt < core.RenewalAttempt {
		return caller + uint16(a.Attempt)*attemptStep
	}
	return caller + core.RenewalAttempt*attemptStep + uint16(rendezvous.Mix(uint64(a.Token), 0))%renewalRange
}

// messageID derives a message id for a VM's own requests, such as probes.
func messageID(token core.AttemptToken) uint16 {
	return uint16(token) ^ uint16(token>>32)
}

// remainingMillis rounds down, so that a target never assumes more time than there is.
func remainingMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(maxDeadlineMillis)))
}
