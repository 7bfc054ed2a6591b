package settings

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Load reads and parses a settings file and makes its file names relative to the working directory.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	s, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	s.resolve(filepath.Dir(file))
	return s, nil
}

// Parse parses and validates settings; file names them in problems. The error is a *jsonc.Problems
// with all problems of the text.
func Parse(file string, text []byte) (*Settings, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := withDefaults()
	doc.Decode(s)
	(&validator{doc: doc, s: s}).run()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	s.Seeds = s.otherSeeds()
	return s, nil
}

// otherSeeds returns the seeds without the VM itself.
func (s *Settings) otherSeeds() []Seed {
	var out []Seed
	for _, seed := range s.Seeds {
		if seed.Name != s.Name {
			out = append(out, seed)
		}
	}
	return out
}

// resolve makes file names relative to dir.
func (s *Settings) resolve(dir string) {
	names := []*string{&s.Traces.File}
	if s.TLS != nil {
		names = append(names, &s.TLS.CA, &s.TLS.Cert, &s.TLS.Key)
	}
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
