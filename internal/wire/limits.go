package wire

import "time"

// Size limits of encoded envelopes, in bytes.
const (
	// MaxConfigSize bounds an envelope with a ConfigPush; the manifest in it has at most a megabyte.
	MaxConfigSize = 1_250_000
	// MaxSize bounds every other envelope.
	MaxSize = 64 << 10
)

// Limits of lists and strings. They bound what a decoded message can take in memory.
const (
	maxName     = 63
	maxEpochs   = 256
	maxHoldings = 2048
	maxMembers  = 1024
	maxTrail    = 32
	maxSet      = 512
	maxFlows    = 1024
	maxRecords  = 1024
	maxStatuses = 1024
)

// maxDuration bounds all durations; longer ones are shortened, as all timeouts are far below it.
const maxDuration = 24 * time.Hour
