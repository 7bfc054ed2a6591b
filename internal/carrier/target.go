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

// AppendSendTarget appends to dst the datagram for a core.SendTarget action: a request or the cancellation
// of one. Errors are those of AppendRequest and AppendCancel.
func AppendSendTarget(dst []byte, send *core.SendTarget, service netip.AddrPort) ([]byte, error) {
	if send.Kind == core.SendCancel {
		return AppendCancel(dst, send, service)
	}
	return AppendRequest(dst, send, service)
}

// AppendRequest appends to dst the datagram that sends an attempt of a request to a target. The message
// has the client's options, the remaining time as its deadline, the token of the attempt and its own
// message id. It is non-confirmable because only the core decides whether a request is sent again. Errors
// have KindTooLarge, KindHeader, KindMessage or KindUnexpected.
func AppendRequest(dst []byte, send *core.SendTarget, service netip.AddrPort) ([]byte, error) {
	m, err := ParseMessage(send.Request.Payload)
	if err != nil {
		return dst, err
	}
	if !isRequest(m.Code) {
		return dst, newError(KindUnexpected, "%v as a request to a target", m.Code)
	}
	setAttemptIDs(&m, send)
	SetOptionUint(&m, OptionDeadline, remainingMillis(send.Remaining))
	return AppendDatagram(dst, targetHeader(send, service), &m)
}

// AppendCancel appends to dst the datagram that cancels an attempt. For a live feed it is the feed's
// request with Observe 1 (RFC 7641, 3.6), for any other request a reset with the attempt's message id. A
// target that cancels the request answers with the token of the attempt and Report.Cancelled. Errors have
// KindTooLarge, KindHeader or KindMessage.
func AppendCancel(dst []byte, send *core.SendTarget, service netip.AddrPort) ([]byte, error) {
	m, err := ParseMessage(send.Request.Payload)
	if err != nil {
		return dst, err
	}
	if send.Request.Method != core.MethodSubscribe {
		id := attemptMessageID(uint16(m.MessageID), send)
		m = message.Message{Type: message.Reset, Code: codes.Empty, MessageID: int32(id)}
		return AppendDatagram(dst, targetHeader(send, service), &m)
	}
	setAttemptIDs(&m, send)
	RemoveOption(&m, OptionDeadline)
	SetOptionUint(&m, OptionObserve, ObserveDeregister)
	return AppendDatagram(dst, targetHeader(send, service), &m)
}

// AppendReset appends to dst the datagram that rejects a target's datagram, for example a notification of
// an unknown live feed. RFC 7641, 3.6 requires the target to end that feed.
func AppendReset(dst []byte, datagram []byte) ([]byte, error) {
	return appendEmpty(dst, datagram, message.Reset)
}

// NeedsAck reports whether a target's CoAP message, such as TargetAnswer.Payload, is confirmable. A target
// retransmits such a message until it receives the datagram of AppendAck.
func NeedsAck(body []byte) bool {
	return len(body) >= 4 && message.Type(body[0]>>4&3) == message.Confirmable
}

// AppendAck appends to dst the datagram that acknowledges a target's confirmable datagram.
func AppendAck(dst []byte, datagram []byte) ([]byte, error) {
	return appendEmpty(dst, datagram, message.Acknowledgement)
}

// appendEmpty appends to dst the datagram of an empty message of the given type. The message has the
// message id of a target's datagram.
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

// targetHeader returns the header of a datagram to a target.
func targetHeader(send *core.SendTarget, service netip.AddrPort) Header {
	return Header{Source: send.Request.Flow.ClientAddr(), Destination: service}
}

// setAttemptIDs sets the type, token and message id of a message to those of an attempt.
func setAttemptIDs(m *message.Message, send *core.SendTarget) {
	id := attemptMessageID(uint16(m.MessageID), send)
	setTypeAndIDs(m, send.Token)
	m.MessageID = int32(id)
}

// setTypeAndIDs makes a message non-confirmable and sets its token and a message id derived from the token.
func setTypeAndIDs(m *message.Message, token core.AttemptToken) {
	m.Type = message.NonConfirmable
	m.Token = binary.BigEndian.AppendUint64(nil, uint64(token))
	m.MessageID = int32(probeMessageID(token))
}

// Ranges of message ids, relative to the message id of the client's packet.
const (
	attemptIDStep  = 0x4000
	renewalIDRange = 0x2000
)

// attemptMessageID derives the message id of an attempt from that of the client's packet. Targets detect
// duplicates by client and message id for some minutes (RFC 7252, 4.2), so the ids of a flow's attempts
// must differ whichever VMs send them. The client's own ids are already different from each other. Each
// further attempt has its own range, far from the ids that the client uses at that time.
func attemptMessageID(clientMessageID uint16, send *core.SendTarget) uint16 {
	if send.Attempt < core.RenewalAttempt {
		return clientMessageID + uint16(send.Attempt)*attemptIDStep
	}
	return clientMessageID + core.RenewalAttempt*attemptIDStep + uint16(rendezvous.Mix(uint64(send.Token), 0))%renewalIDRange
}

// probeMessageID derives a message id for a VM's own requests, such as probes.
func probeMessageID(token core.AttemptToken) uint16 {
	return uint16(token) ^ uint16(token>>32)
}

// remainingMillis converts to milliseconds, at most maxDeadlineMillis. It rounds down so that a target never
// assumes more time than is left.
func remainingMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(maxDeadlineMillis)))
}
