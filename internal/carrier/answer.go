package carrier

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
)

// observeTick is the time between two values of ObserveValue. The values repeat after 2^24 ticks, and
// RFC 7641, 3.4 requires half of that period to be longer than 128 s.
const observeTick = 20 * time.Microsecond

// ObserveValue returns the Observe value of a notification that is sent at the given wall-clock time. VMs
// derive it from wall-clock time so that it keeps increasing when a live feed moves to another VM.
func ObserveValue(wall time.Time) uint32 {
	return uint32(wall.UnixNano()/int64(observeTick)) & 0xffffff
}

// AppendAnswer appends to dst the datagram that carries a target's answer to the client of a request. The
// answer has the token of the client's request. It is an acknowledgement for a confirmable request and
// non-confirmable otherwise, in both cases with the request's message id. Notifications after the first
// are non-confirmable and have their own message id. observe is the Observe value for messages of live
// feeds; the service address is the source of the datagram. Errors have KindTooLarge, KindHeader,
// KindMessage or KindUnexpected.
func AppendAnswer(dst []byte, answer *core.AnswerClient, service netip.AddrPort, observe uint32) ([]byte, error) {
	req, err := ParseMessage(answer.Request)
	if err != nil {
		return dst, err
	}
	m, err := ParseMessage(answer.Payload)
	if err != nil {
		return dst, err
	}
	if !isResponse(m.Code) {
		return dst, newError(KindUnexpected, "%v as an answer to a client", m.Code)
	}
	setAnswerIDs(&m, &req)
	if answer.Notification {
		m.Type = message.NonConfirmable
		m.MessageID = int32(notificationMessageID(observe))
	}
	if hasOption(&m, OptionObserve) {
		SetOptionUint(&m, OptionObserve, observe&0xffffff)
	}
	RemoveOption(&m, OptionLoadReport)
	return AppendDatagram(dst, clientHeader(answer.Flow, service), &m)
}

// notificationMessageID derives a 16-bit message id from a 24-bit Observe value.
func notificationMessageID(observe uint32) uint16 { return uint16(observe) ^ uint16(observe>>16)<<8 }

// AppendRefusal appends to dst the datagram that refuses a client's request. Its code is 5.03 when the
// request did not run, and 5.04 when it is unknown whether it ran. Max-Age is the retry-after time, rounded
// up to seconds; the payload is the reason. Errors have KindTooLarge, KindHeader or KindMessage.
func AppendRefusal(dst []byte, refusal *core.RefuseClient, service netip.AddrPort) ([]byte, error) {
	req, err := ParseMessage(refusal.Request)
	if err != nil {
		return dst, err
	}
	m := message.Message{Code: codes.ServiceUnavailable, Payload: []byte(refusal.Reason.String())}
	run := uint32(RunStatusNotRun)
	if refusal.Run == core.RunUnknown {
		m.Code = codes.GatewayTimeout
		run = RunStatusUnknown
	}
	setAnswerIDs(&m, &req)
	AddOption(&m, OptionMaxAge, uintBytes(retryAfterSeconds(refusal.RetryAfter)))
	AddOption(&m, OptionRunStatus, uintBytes(run))
	return AppendDatagram(dst, clientHeader(refusal.Flow, service), &m)
}

// setAnswerIDs sets the type, token and message id of m so that it answers a client's request.
func setAnswerIDs(m, req *message.Message) {
	m.Type = message.NonConfirmable
	if req.Type == message.Confirmable {
		m.Type = message.Acknowledgement
	}
	m.Token = req.Token
	m.MessageID = req.MessageID
}

// retryAfterSeconds converts to seconds, at most a day. It rounds up so that no client retries too early.
func retryAfterSeconds(d time.Duration) uint32 {
	const maxSeconds = 24 * 60 * 60
	s := (d + time.Second - 1) / time.Second
	return uint32(min(max(s, 0), maxSeconds))
}

// clientHeader returns the header of a datagram to a client.
func clientHeader(flow core.FlowKey, service netip.AddrPort) Header {
	return Header{Source: service, Destination: flow.ClientAddr()}
}
