package target

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ledger counts how often each non-idempotent request ran on any target of a service. It keeps its
// counts when targets restart, and is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// ContentKey returns the key of a request with the given content.
func ContentKey(content []byte) string {
	return strconv.FormatUint(xxhash.Sum64(content), 16)
}

// Record counts a run of the request with the given key.
func (l *Ledger) Record(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

// Runs returns how often the request with the given key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Len returns the number of different requests that ran.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// DuplicateRuns returns the number of runs beyond the first of each request.
func (l *Ledger) DuplicateRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	duplicates := 0
	for _, n := range l.runs {
		duplicates += n - 1
	}
	return duplicates
}
