package carrier

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
)

// DecodeRequest decodes a client's datagram. It returns the request and the service address that it was
// sent to. Flow.Service is 0; the caller of the function must set it. The payload is a copy of the client's
// CoAP message. An empty message becomes a request with MethodCancel whose id is core.CancelID of the
// message id. Errors have KindTooLarge, KindHeader, KindMessage, KindOption or KindUnexpected.
func DecodeRequest(datagram []byte) (core.Request, netip.AddrPort, error) {
	h, body, err := SplitDatagram(datagram)
	if err != nil {
		return core.Request{}, netip.AddrPort{}, err
	}
	if h.Local {
		return core.Request{}, netip.AddrPort{}, newError(KindUnexpected, "request without a client address")
	}
	m, err := ParseMessage(body)
	if err != nil {
		return core.Request{}, netip.AddrPort{}, err
	}
	req, err := request(&m)
	if err != nil {
		return core.Request{}, netip.AddrPort{}, err
	}
	req.Flow = core.NewFlowKey(h.Source, 0)
	if req.Method == core.MethodSubscribe || req.Method == core.MethodUnsubscribe {
		// A live feed is identified by its token, independent of the message id of a repeated registration
		// (RFC 7641, 3.1).
		req.Feed = max(xxhash.Sum64(m.Token), 1)
	}
	req.Payload = bytes.Clone(body)
	return req, h.Destination, nil
}

// request derives all fields except the flow, the feed and the payload from a client's message.
func request(m *message.Message) (core.Request, error) {
	if m.Code == codes.Empty && m.Type != message.Acknowledgement {
		id := core.CancelID(uint16(m.MessageID))
		return core.Request{ID: id, Method: core.MethodCancel, Class: core.ClassRead, Idempotent: true}, nil
	}
	if !isRequest(m.Code) || m.Type > message.NonConfirmable {
		return core.Request{}, newError(KindUnexpected, "%v %v from a client", m.Type, m.Code)
	}
	block, blockwise, err := Block1(m)
	if err != nil {
		return core.Request{}, err
	}
	return core.Request{
		ID:         requestID(m, block, blockwise),
		Method:     method(m),
		Class:      class(m, blockwise),
		Idempotent: idempotent(m.Code),
		Deadline:   deadline(m),
		Sticky:     blockwise,
	}, nil
}

// method returns whether a request registers or deregisters a live feed, or does neither.
func method(m *message.Message) core.Method {
	observe, ok := OptionUint(m, OptionObserve)
	switch {
	case !ok || m.Code != codes.GET:
		return core.MethodOther
	case observe == ObserveRegister:
		return core.MethodSubscribe
	case observe == ObserveDeregister:
		return core.MethodUnsubscribe
	}
	return core.MethodOther
}

// class returns the class of a request. Although PUT, DELETE and iPATCH are idempotent, they are in the same
// class as POST because they change state too.
func class(m *message.Message, blockwise bool) core.Class {
	if m.Code == codes.GET || m.Code == codes.FETCH {
		if method(m) != core.MethodOther {
			return core.ClassFeed
		}
		return core.ClassRead
	}
	path, _ := OptionValue(m, OptionPath)
	if blockwise || string(path) == UploadPath {
		return core.ClassUpload
	}
	return core.ClassPosting
}

// idempotent reports whether a request with the method may run more than once. It returns false for unknown
// methods.
func idempotent(c codes.Code) bool {
	switch c {
	case codes.GET, codes.PUT, codes.DELETE, codes.FETCH, codes.IPATCH:
		return true
	}
	return false
}

// deadline returns the remaining time of a request, or 0 when the request has no deadline. A remaining time
// of 0 becomes 1 ms, so that a late request does not count as one without a deadline.
func deadline(m *message.Message) time.Duration {
	ms, ok := OptionUint(m, OptionDeadline)
	if !ok {
		return 0
	}
	return time.Duration(min(max(ms, 1), maxDeadlineMillis)) * time.Millisecond
}
