package settings

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Load reads, parses and validates a settings file. It joins relative file names in the settings to the
// directory of the settings file, so that they are valid from the working directory.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	s, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	s.resolvePaths(filepath.Dir(file))
	return s, nil
}

// Parse parses and validates settings; file names them in problems. The error is a *jsonc.Problems
// with all problems of the text.
func Parse(file string, text []byte) (*Settings, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := defaultSettings()
	doc.Decode(s)
	(&validator{doc: doc, settings: s}).validate()
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

// resolvePaths prefixes relative file names with dir.
func (s *Settings) resolvePaths(dir string) {
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
