package contract

import "github.com/mangoweir/mangoweir/internal/jsonc"

// Parse parses and validates a manifest; file names it in problems. The error is a *jsonc.Problems
// with all problems of the text.
func Parse(file string, text []byte) (*Manifest, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	m := &Manifest{}
	doc.Decode(m)
	(&validator{doc: doc, manifest: m}).validate()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return m, nil
}
