package target

import (
	"encoding/json"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Paths of live feeds and of the ledger. A target answers reads and postings on any other path, too.
const (
	// PathFeed is the path of live feeds.
	PathFeed = "feed"
	// PathLedger is the path that returns how often the request with the given QueryKey ran.
	PathLedger = "ledger"
)

// Prefixes of query arguments.
const (
	// QueryNonce precedes a value that the reply returns, so that a client can check that the reply
	// belongs to its request.
	QueryNonce = "n="
	// QueryKey precedes the ContentKey of the request whose runs PathLedger returns.
	QueryKey = "key="
)

// Reply is the payload of each answer; it is encoded as JSON.
type Reply struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// Boot changes when the target restarts.
	Boot uint64 `json:"boot"`
	// Nonce is the value of the request's QueryNonce.
	Nonce string `json:"nonce,omitempty"`
	// Key is the ContentKey of the request's content; for a complete upload, of the whole upload.
	Key string `json:"key,omitempty"`
	// Seq numbers the messages of a feed from 0; a new feed starts at 0 again.
	Seq uint64 `json:"seq,omitempty"`
	// Runs is the number of runs that PathLedger returns.
	Runs int `json:"runs,omitempty"`
}

// ParseReply decodes the payload of an answer.
func ParseReply(payload []byte) (Reply, error) {
	var r Reply
	err := json.Unmarshal(payload, &r)
	return r, err
}

// encode returns the reply as JSON.
func (r Reply) encode() []byte {
	// The encoding of a struct of strings and numbers cannot fail.
	b, _ := json.Marshal(r)
	return b
}

// query returns the rest of the first query argument with the given prefix; empty when there is none.
func query(m *message.Message, prefix string) string {
	for _, o := range m.Options {
		if o.ID != carrier.OptionQuery {
			continue
		}
		if v, ok := strings.CutPrefix(string(o.Value), prefix); ok {
			return v
		}
	}
	return ""
}

// path returns the first path segment.
func path(m *message.Message) string {
	v, _ := carrier.OptionValue(m, carrier.OptionPath)
	return string(v)
}
