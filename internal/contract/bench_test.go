package contract

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// largeManifest returns a manifest close to the size limit.
func largeManifest() []byte {
	var b strings.Builder
	b.WriteString(`{"deployment": "large", "zones": [{"name": "za"}], "services": [`)
	for s := 0; b.Len() < jsonc.MaxSize-8192; s++ {
		fmt.Fprintf(&b, "{\"name\": \"s%d\", \"address\": \"10.1.%d.%d:1\", \"targets\": [\n", s, s/250, s%250)
		for i := range 20 {
			fmt.Fprintf(&b, "{\"name\": \"t%d\", \"address\": \"10.%d.%d.%d:1\", \"zone\": \"za\", \"slots\": 4, \"connections\": 2000, \"reportsLoad\": true},\n", i, 2+s/250, s%250, i)
		}
		b.WriteString("]},\n")
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// BenchmarkDecode measures the time and memory that a VM needs for a new generation whose manifest is
// close to the size limit.
func BenchmarkDecode(b *testing.B) {
	text := largeManifest()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(1, text); err != nil {
			b.Fatal(err)
		}
	}
}
