package target

import (
	"encoding/json"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Paths that a target serves. Other paths are read and posted to as well.
const (
	// PathFeed is the path of live feeds.
	PathFeed = "feed"
	// PathLedger says how often a non-idempotent request ran, by QueryKey.
	PathLedger = "ledger"
)

// Arguments of paths.
const (
	// QueryNonce is returned in the reply, so that a caller knows that it is to its own request.
	QueryNonce = "n="
	// QueryKey is the ContentKey of a request that PathLedger is asked about.
	QueryKey = "key="
)

// Reply is the payload of each answer, as JSON.
type Reply struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// Boot changes when the target restarts.
	Boot uint64 `json:"boot"`
	// Nonce is the request's QueryNonce.
	Nonce string `json:"nonce,omitempty"`
	// Key is the ContentKey of the request's content; for an upload, of all of it.
	Key string `json:"key,omitempty"`
	// Seq numbers the messages of a feed from 0; a new registration starts again.
	Seq uint64 `json:"seq,omitempty"`
	// Runs is the answer of PathLedger.
	Runs int `json:"runs,omitempty"`
}

// ParseReply decodes the payload of an answer.
func ParseReply(payload []byte) (Reply, error) {
	var r Reply
	err := json.Unmarshal(payload, &r)
	return r, err
}

// encode returns the payload.
func (r Reply) encode() []byte {
	// A struct of strings and numbers always encodes.
	b, _ := json.Marshal(r)
	return b
}

// query returns the rest of the first query argument with the given prefix.
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
