package forward

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token is a 32-bit name of one incarnation of a target, equal on all VMs. 0 means none. Two incarnations
// with the same token are rare (one pair expected among 92,000 targets). Snapshot.Targets then contains the
// one whose id sorts first, and the other gets no new flows until that one is gone.
type Token uint32

// NewToken returns the token of the incarnation of target id that started at startMillis, a Unix time in
// milliseconds.
func NewToken(id string, startMillis int64) Token {
	t := Token(xxhash.Sum64String(id + "\x00" + strconv.FormatInt(startMillis, 10)))
	if t == 0 {
		return 1
	}
	return t
}
