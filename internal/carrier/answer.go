package carrier

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
)

// observeTick is the time between two values of ObserveValue. The values repeat after 2^24 ticks, and
// RFC 7641, 3.4 needs half of them to last longer than 128 s.
const observeTick = 20 * time.Microsecond

// ObserveValue returns the Observe value of a notification that is sent at the given wall time. VMs
// derive it from wall time so that it keeps increasing when a feed moves to another VM.
func ObserveValue(wall time.Time) uint32 {
	return uint32(wall.UnixNano()/int64(observeTick)) & 0xffffff
}

// AppendAnswer appends the datagram that carries a target's answer to the caller of a request. The
// answer gets the token of the caller's request. It is an acknowledgement of a confirmable request and
// non-confirmable otherwise; both have the request's message id. Notifications after the first are
// non-confirmable with a message id of their own. Observe is the value for messages of live feeds.
func AppendAnswer(dst []byte, a *core.AnswerClient, service netip.AddrPort, observe uint32) ([]byte, error) {
	req, err := ParseMessage(a.Request)
	if err != nil {
		return dst, err
	}
	m, err := ParseMessage(a.Payload)
	if err != nil {
		return dst, err
	}
	if !isResponse(m.Code) {
		return dst, fail(KindUnexpected, "%v as an answer to a caller", m.Code)
	}
	replyTo(&m, &req)
	if a.Notification {
		m.Type = message.NonConfirmable
		m.MessageID = int32(notificationID(observe))
	}
	if hasOption(&m, OptionObserve) {
		SetOptionUint(&m, OptionObserve, observe&0xffffff)
	}
	RemoveOption(&m, OptionLoadReport)
	return AppendDatagram(dst, towardsCaller(a.Flow, service), &m)
}

// notificationID folds an Observe value into a message id.
func notificationID(observe uint32) uint16 { return uint16(observe) ^ uint16(observe>>16)<<8 }

// AppendRefusal appends the datagram that tells a caller that its request will not be answered by a
// target: 5.03 when the request did not run, 5.04 when its outcome is unknown. Max-Age is the time to
// come back, rounded up to seconds; the payload is the reason.
func AppendRefusal(dst []byte, r *core.RefuseClient, service netip.AddrPort) ([]byte, error) {
	req, err := ParseMessage(r.Request)
	if err != nil {
		return dst, err
	}
	m := message.Message{Code: codes.ServiceUnavailable, Payload: []byte(r.Reason.String())}
	run := uint32(RunStatusNotRun)
	if r.Run == core.RunUnknown {
		m.Code = codes.GatewayTimeout
		run = RunStatusUnknown
	}
	replyTo(&m, &req)
	AddOption(&m, OptionMaxAge, uintBytes(comeBackSeconds(r.RetryAfter)))
	AddOption(&m, OptionRunStatus, uintBytes(run))
	return AppendDatagram(dst, towardsCaller(r.Flow, service), &m)
}

// replyTo makes m the response to a caller's request.
func replyTo(m, req *message.Message) {
	m.Type = message.NonConfirmable
	if req.Type == message.Confirmable {
		m.Type = message.Acknowledgement
	}
	m.Token = req.Token
	m.MessageID = req.MessageID
}

// comeBackSeconds rounds up, so that no caller comes back early.
func comeBackSeconds(d time.Duration) uint32 {
	const maxSeconds = 24 * 60 * 60
	s := (d + time.Second - 1) / time.Second
	return uint32(min(max(s, 0), maxSeconds))
}

// towardsCaller returns the header of a datagram to a caller.
func towardsCaller(flow core.FlowKey, service netip.AddrPort) Header {
	return Header{Source: service, Destination: flow.ClientAddr()}
}
