package carrier

import "github.com/plgd-dev/go-coap/v3/message"

// Block is the value of a Block1 option (RFC 7959).
type Block struct {
	// Num is the number of the block, starting at 0.
	Num uint32
	// More is true when more blocks follow.
	More bool
	// SizeExp is the exponent of the block size: a block has 2^(SizeExp+4) bytes.
	SizeExp uint8
}

// Block1 returns the Block1 option of a message and whether there is one. Errors have KindOption.
func Block1(m *message.Message) (Block, bool, error) {
	v, ok := OptionValue(m, OptionBlock1)
	if !ok {
		return Block{}, false, nil
	}
	n, ok := OptionUint(m, OptionBlock1)
	if !ok || len(v) > 3 || n&7 == 7 {
		return Block{}, false, newError(KindOption, "the Block1 option is % x", v)
	}
	return Block{Num: n >> 4, More: n&8 != 0, SizeExp: uint8(n & 7)}, true, nil
}

// Size returns the size of a full block in bytes.
func (b Block) Size() int { return 1 << (b.SizeExp + 4) }

// Value returns the numeric value of the option.
func (b Block) Value() uint32 {
	v := b.Num<<4 | uint32(b.SizeExp&7)
	if b.More {
		v |= 8
	}
	return v
}
