package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// outputFlag is the value of the flag -o, the format of a command's output.
type outputFlag string

const (
	outputText outputFlag = "text"
	outputJSON outputFlag = "json"
)

// String returns the format.
func (o *outputFlag) String() string { return string(*o) }

// Type returns the name that the help text shows.
func (o *outputFlag) Type() string { return "text|json" }

// Set parses the format.
func (o *outputFlag) Set(value string) error {
	switch f := outputFlag(value); f {
	case outputText, outputJSON:
		*o = f
		return nil
	}
	return fmt.Errorf("use text or json")
}

// addOutputFlag adds the flag -o to a command.
func addOutputFlag(cmd *cobra.Command) *outputFlag {
	format := outputText
	cmd.Flags().VarP(&format, "output", "o", "output format")
	return &format
}

// print writes text, or value as indented JSON if the format is JSON.
func (o outputFlag) print(w io.Writer, text string, value any) error {
	if o == outputText {
		_, err := io.WriteString(w, text)
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
