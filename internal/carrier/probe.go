package carrier

import (
	"encoding/binary"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
)

// ProbePath is the path of a target's health and load endpoint.
const ProbePath = "health"

// ProbeAnswer is a target's answer to a probe, which is a read of its health and load endpoint.
type ProbeAnswer struct {
	Token core.AttemptToken
	OK    bool
	Load  *core.LoadReport
}

// AppendProbe appends to dst the datagram that reads a target's health and load endpoint. It has a PROXY
// LOCAL header because no client is involved.
func AppendProbe(dst []byte, token core.AttemptToken) ([]byte, error) {
	m := message.Message{Code: codes.GET}
	setTypeAndIDs(&m, token)
	AddOption(&m, OptionPath, []byte(ProbePath))
	return AppendDatagram(dst, Header{Local: true}, &m)
}

// IsProbe reports whether a datagram has a PROXY LOCAL header, which probes and their answers have. Byte 12
// of the header contains the version and the command; 0x20 is LOCAL in version 2.
func IsProbe(datagram []byte) bool {
	return len(datagram) >= 13 && datagram[12] == 0x20
}

// DecodeProbeAnswer decodes a target's answer to a probe. Errors have KindTooLarge, KindHeader,
// KindMessage or KindUnexpected.
func DecodeProbeAnswer(datagram []byte) (ProbeAnswer, error) {
	h, body, err := SplitDatagram(datagram)
	if err != nil {
		return ProbeAnswer{}, err
	}
	m, err := ParseMessage(body)
	if err != nil {
		return ProbeAnswer{}, err
	}
	if !h.Local || !isResponse(m.Code) || len(m.Token) != TokenSize {
		return ProbeAnswer{}, newError(KindUnexpected, "%v %v as an answer to a probe", m.Type, m.Code)
	}
	p := ProbeAnswer{Token: core.AttemptToken(binary.BigEndian.Uint64(m.Token)), OK: m.Code>>5 == 2}
	if r, ok := loadReport(&m); ok {
		p.Load = &r.Load
	}
	return p, nil
}
