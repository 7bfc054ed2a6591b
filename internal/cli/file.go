package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// readFile reads a file, or standard input for "-". It reads one byte more than a valid file can
// have, so that larger ones are recognized without being read in full.
func readFile(cmd *cobra.Command, name string) ([]byte, error) {
	if name == "-" {
		return readAll(cmd.InOrStdin())
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &fileError{err}
	}
	defer f.Close()
	return readAll(f)
}

func readAll(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, jsonc.MaxSize+1))
	if err != nil {
		return nil, &fileError{err}
	}
	return text, nil
}
