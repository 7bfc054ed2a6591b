package carrier

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
)

// DecodeAnswer decodes a datagram received from a target at the given address. It returns the answer and
// the service address in its header. Flow.Service is 0; the caller of the function must set it. The payload
// is a copy of the target's CoAP message. Errors have KindTooLarge, KindHeader, KindMessage, KindToken or
// KindUnexpected.
func DecodeAnswer(datagram []byte, from netip.AddrPort) (core.TargetAnswer, netip.AddrPort, error) {
	h, body, err := SplitDatagram(datagram)
	if err != nil {
		return core.TargetAnswer{}, netip.AddrPort{}, err
	}
	if h.Local {
		return core.TargetAnswer{}, netip.AddrPort{}, newError(KindUnexpected, "answer without a client address")
	}
	m, err := ParseMessage(body)
	if err != nil {
		return core.TargetAnswer{}, netip.AddrPort{}, err
	}
	if !isResponse(m.Code) || m.Type == message.Reset {
		return core.TargetAnswer{}, netip.AddrPort{}, newError(KindUnexpected, "%v %v from a target", m.Type, m.Code)
	}
	token, err := attemptToken(&m)
	if err != nil {
		return core.TargetAnswer{}, netip.AddrPort{}, err
	}
	report, reported := loadReport(&m)
	answer := core.TargetAnswer{
		From:    from,
		Flow:    core.NewFlowKey(h.Destination, 0),
		Token:   token,
		Status:  status(&m, report),
		Payload: bytes.Clone(body),
	}
	if reported {
		answer.Load = &report.Load
	}
	return answer, h.Source, nil
}

// attemptToken returns the token of an answer. Errors have KindToken.
func attemptToken(m *message.Message) (core.AttemptToken, error) {
	if len(m.Token) != TokenSize {
		return 0, newError(KindToken, "token has %d bytes", len(m.Token))
	}
	return core.AttemptToken(binary.BigEndian.Uint64(m.Token)), nil
}

// loadReport returns the load report of an answer, if it has a valid one.
func loadReport(m *message.Message) (Report, bool) {
	v, ok := OptionValue(m, OptionLoadReport)
	if !ok {
		return Report{}, false
	}
	return DecodeReport(v)
}

// status returns the status of a target's answer. A 5.03 without the shed flag is the answer to a request
// that ran.
func status(m *message.Message, report Report) core.AnswerStatus {
	switch {
	case report.Cancelled:
		return core.AnswerCancelled
	case m.Code == codes.TooManyRequests, m.Code == codes.ServiceUnavailable && report.Shed:
		return core.AnswerShed
	case m.Code>>5 == 2 && hasOption(m, OptionObserve):
		return core.AnswerNotification
	}
	return core.AnswerOK
}

// hasOption reports whether a message has an option.
func hasOption(m *message.Message, id message.OptionID) bool {
	_, ok := OptionValue(m, id)
	return ok
}
