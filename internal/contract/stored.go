package contract

import (
	"encoding/json"
	"time"

	"github.com/tailscale/hujson"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// generatedField is the name of the manifest's field that the apply command writes.
const generatedField = "generated"

// maxHistory bounds the nonces of previous generations in a stored text. An apply whose response was
// lost finds its nonce there unless more generations than this have been accepted since.
const maxHistory = 16

// StoredManifest is a manifest's text as stored on the platform. Generation 0 means that there is none.
type StoredManifest struct {
	Generation core.Generation
	Text       []byte
}

// AddGenerated returns the text to store as the generation after inForce: the operator's text with the
// field "generated", which holds the nonce, the nonces of previous generations and the addresses that
// services gave up. The field is on the line of the opening brace, so that the lines of the operator's
// text keep their numbers. Errors are *jsonc.Problems.
func AddGenerated(inForce StoredManifest, text []byte, nonce string, now time.Time) ([]byte, error) {
	source := StripGenerated(text)
	next, err := Parse(storedName, source)
	if err != nil {
		return nil, err
	}
	var previous *Manifest
	if inForce.Generation > 0 {
		// An invalid manifest in force is no error, because the new one replaces it. Its addresses and
		// nonces are unknown.
		previous, _ = Parse(storedName, inForce.Text)
	}
	generated := Generated{
		Nonce:    nonce,
		History:  history(previous, inForce.Generation),
		Released: releasedAddresses(previous, next, now.UTC().Truncate(time.Millisecond)),
	}
	doc, err := jsonc.Parse(storedName, source)
	if err != nil {
		return nil, err
	}
	if err := rejectMovedServices(doc, next, generated.index()); err != nil {
		return nil, err
	}
	out, err := insertGenerated(source, generated)
	if err != nil {
		return nil, err
	}
	// With the field, the text may exceed the size limit.
	if _, err := Parse(storedName, out); err != nil {
		return nil, err
	}
	return out, nil
}

// insertGenerated inserts the field after the opening brace of a valid manifest.
func insertGenerated(source []byte, generated Generated) ([]byte, error) {
	field, err := json.Marshal(generated)
	if err != nil {
		return nil, err
	}
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, err
	}
	offset := root.StartOffset + 1
	return splice(source, offset, offset, `"`+generatedField+`":`+string(field)+","), nil
}

// StripGenerated removes the field "generated" from a stored text and returns the operator's text, byte
// for byte as it was given to AddGenerated. A text without the field, or that is not JSON, is returned
// unchanged.
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

// memberSpan returns the byte range of member i and of a comma next to it, if there is one.
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

// NonceOf returns the nonce of the stored generation or of a previous one, and whether the stored text
// has it.
func (s StoredManifest) NonceOf(gen core.Generation) (nonce string, known bool) {
	manifest, err := Parse(storedName, s.Text)
	if err != nil || manifest.Generated == nil {
		return "", false
	}
	if gen == s.Generation {
		return manifest.Generated.Nonce, true
	}
	for _, previous := range manifest.Generated.History {
		if previous.Generation == gen {
			return previous.Nonce, true
		}
	}
	return "", false
}

// history returns the nonces of previous and of the generations before it, newest first. generation is
// the generation of previous. previous may be nil.
func history(previous *Manifest, generation core.Generation) []PreviousNonce {
	if previous == nil || previous.Generated == nil {
		return nil
	}
	out := []PreviousNonce{{Generation: generation, Nonce: previous.Generated.Nonce}}
	out = append(out, previous.Generated.History...)
	return out[:min(len(out), maxHistory)]
}
