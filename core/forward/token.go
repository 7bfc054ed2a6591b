package forward

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token is a 32-bit name, equal on all VMs, of a target or of one of its incarnations. 0 means none.
//
// Packets carry the token of the target, whatever its incarnation: a target checks only its id in a packet, and resets the
// flows that ended with an earlier incarnation itself. A VM thus needs to know no earlier incarnation, wherever it has its
// objects from. Two targets with the same token are rare (one pair expected among 92,000 targets). Snapshot.Targets then
// contains the one that started first, and the other gets no new flows until that one is gone.
//
// VMs keep what they observe about a target under the token of its incarnation.
type Token uint32

// NewTargetToken returns the token of the target id.
func NewTargetToken(id string) Token { return newToken(id) }

// NewToken returns the token of the incarnation of target id that started at startMillis, a Unix time in
// milliseconds.
func NewToken(id string, startMillis int64) Token {
	return newToken(id + "\x00" + strconv.FormatInt(startMillis, 10))
}

func newToken(name string) Token {
	t := Token(xxhash.Sum64String(name))
	if t == 0 {
		return 1
	}
	return t
}
