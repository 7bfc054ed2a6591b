package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// readFile reads a file, or standard input for "-". It stops one byte after the size limit of a valid
// file, so that a file that is too large is recognized without being read in full.
func readFile(cmd *cobra.Command, name string) ([]byte, error) {
	if name == "-" {
		return readLimited(cmd.InOrStdin())
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &fileError{err}
	}
	defer f.Close()
	return readLimited(f)
}

func readLimited(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, jsonc.MaxSize+1))
	if err != nil {
		return nil, &fileError{err}
	}
	return text, nil
}
