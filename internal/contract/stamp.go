package contract

import (
	"encoding/json"
	"time"

	"github.com/tailscale/hujson"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// generatedField is the name of the field that apply writes.
const generatedField = "generated"

// maxHistory bounds the nonces of former generations in a stored text. An apply that lost its answer
// finds its nonce there unless more generations than this were accepted in between.
const maxHistory = 16

// StoredManifest is a manifest's text as stored on the platform. Generation 0 means that there is none.
type StoredManifest struct {
	Generation core.Generation
	Text       []byte
}

// AddGenerated returns the text to be stored after prev for an operator's text: the text with the field
// "generated", which holds the nonce, the nonces of former generations and the addresses that
// services gave up. The field goes on the line of the opening brace, so that the lines of the
// operator's text keep their numbers. Errors are *jsonc.Problems.
func AddGenerated(prev StoredManifest, text []byte, nonce string, now time.Time) ([]byte, error) {
	source := StripGenerated(text)
	next, err := Parse(storedName, source)
	if err != nil {
		return nil, err
	}
	var former *Manifest
	if prev.Generation > 0 {
		// An unreadable manifest in force says nothing about addresses; the new one replaces it.
		former, _ = Parse(storedName, prev.Text)
	}
	gen := Generated{
		Nonce:    nonce,
		History:  history(former, prev.Generation),
		Released: leftAddresses(former, next, now.UTC().Truncate(time.Millisecond)),
	}
	doc, err := jsonc.Parse(storedName, source)
	if err != nil {
		return nil, err
	}
	if err := refuseMovedServices(doc, next, gen.index()); err != nil {
		return nil, err
	}
	out, err := insertGenerated(source, gen)
	if err != nil {
		return nil, err
	}
	// The field may push the text over the size limit.
	if _, err := Parse(storedName, out); err != nil {
		return nil, err
	}
	return out, nil
}

// insertGenerated adds the field behind the opening brace of a valid manifest.
func insertGenerated(source []byte, gen Generated) ([]byte, error) {
	field, err := json.Marshal(gen)
	if err != nil {
		return nil, err
	}
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, err
	}
	at := root.StartOffset + 1
	return splice(source, at, at, `"`+generatedField+`":`+string(field)+","), nil
}

// StripGenerated returns the operator's text of a stored text, byte for byte as it was given to Stamp. A text
// without the field, or that is no JSON, is returned as it is.
func StripGenerated(text []byte) []byte {
	root, err := hujson.Parse(text)
	if err != nil {
		return text
	}
	obj, ok := root.Value.(*hujson.Object)
	if !ok {
		return text
	}
	for i := range obj.Members {
		if obj.Members[i].Name.Value.(hujson.Literal).String() == generatedField {
			start, end := memberSpan(obj, i)
			return splice(text, start, end, "")
		}
	}
	return text
}

// memberSpan returns the bytes to cut for removing a member together with one comma.
func memberSpan(obj *hujson.Object, i int) (start, end int) {
	m := &obj.Members[i]
	switch {
	case i+1 < len(obj.Members):
		next := &obj.Members[i+1].Name
		return m.Name.StartOffset - len(m.Name.BeforeExtra), next.StartOffset - len(next.BeforeExtra)
	case i > 0:
		return obj.Members[i-1].Value.EndOffset, m.Value.EndOffset
	default:
		return m.Name.StartOffset, m.Value.EndOffset
	}
}

// NonceOf returns the nonce of a generation up to the stored one, and whether it is known.
func (s StoredManifest) NonceOf(gen core.Generation) (nonce string, known bool) {
	m, err := Parse(storedName, s.Text)
	if err != nil || m.Generated == nil {
		return "", false
	}
	if gen == s.Generation {
		return m.Generated.Nonce, true
	}
	for _, h := range m.Generated.History {
		if h.Generation == gen {
			return h.Nonce, true
		}
	}
	return "", false
}

// history returns the nonces of the generations up to former, newest first; former may be nil.
func history(former *Manifest, generation core.Generation) []PreviousNonce {
	if former == nil || former.Generated == nil {
		return nil
	}
	out := []PreviousNonce{{Generation: generation, Nonce: former.Generated.Nonce}}
	out = append(out, former.Generated.History...)
	return out[:min(len(out), maxHistory)]
}
