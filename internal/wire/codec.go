package wire

import (
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire/wirepb"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Field numbers of the envelope that checkSize reads before the envelope is decoded.
const (
	fieldVersion    = 1
	fieldConfigPush = 12
)

// Encode returns the envelope of a message in the given protocol version. Fields that the version
// does not have are omitted. Errors: ErrUnsupportedVersion, ErrInvalid, ErrTooLarge.
func Encode(msg core.Message, version Version) ([]byte, error) {
	if version < MinVersion || version > MaxVersion {
		return nil, newError(ErrUnsupportedVersion, "version %d", version)
	}
	if err := validate(msg); err != nil {
		return nil, err
	}
	env := &wirepb.Envelope{Version: uint32(version)}
	setBody(env, msg, version)
	return marshal(env)
}

// Decode returns the message of an envelope. Errors: ErrTooLarge, ErrMalformed,
// ErrUnsupportedVersion, ErrUnknownKind, ErrInvalid. For a Hello it returns ErrUnknownKind; use
// DecodeHello instead.
func Decode(data []byte) (core.Message, error) {
	env, err := unmarshal(data)
	if err != nil {
		return nil, err
	}
	version := Version(env.Version)
	if version < MinVersion || version > MaxVersion {
		return nil, newError(ErrUnsupportedVersion, "version %d", version)
	}
	d := &decoder{version: version}
	msg := d.body(env)
	if d.err != nil {
		return nil, d.err
	}
	if msg == nil {
		return nil, newError(ErrUnknownKind, "version %d, %d bytes", version, len(data))
	}
	if err := validate(msg); err != nil {
		return nil, err
	}
	return msg, nil
}

func marshal(env *wirepb.Envelope) ([]byte, error) {
	data, err := proto.Marshal(env)
	if err != nil {
		return nil, newError(ErrInvalid, "%v", err)
	}
	if limit := sizeLimit(env.GetConfigPush() != nil); len(data) > limit {
		return nil, newError(ErrTooLarge, "%d bytes, limit %d", len(data), limit)
	}
	return data, nil
}

func unmarshal(data []byte) (*wirepb.Envelope, error) {
	if err := checkSize(data); err != nil {
		return nil, err
	}
	env := &wirepb.Envelope{}
	if err := proto.Unmarshal(data, env); err != nil {
		return nil, newError(ErrMalformed, "%v", err)
	}
	return env, nil
}

// checkSize refuses messages that are too large before they are decoded, because decoding takes several
// times their size in memory. Errors: ErrTooLarge, ErrMalformed.
func checkSize(data []byte) error {
	if len(data) <= MaxSize {
		return nil
	}
	if len(data) > MaxConfigSize {
		return newError(ErrTooLarge, "%d bytes, limit %d", len(data), MaxConfigSize)
	}
	for rest := data; len(rest) > 0; {
		num, typ, n := protowire.ConsumeField(rest)
		if n < 0 {
			return newError(ErrMalformed, "%v", protowire.ParseError(n))
		}
		isConfig := num == fieldConfigPush && typ == protowire.BytesType
		if num != fieldVersion && !isConfig {
			return newError(ErrTooLarge, "%d bytes, limit %d", len(data), MaxSize)
		}
		rest = rest[n:]
	}
	return nil
}

func sizeLimit(config bool) int {
	if config {
		return MaxConfigSize
	}
	return MaxSize
}
