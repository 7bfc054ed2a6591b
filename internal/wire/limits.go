package wire

import "time"

// Size limits of encoded envelopes, in bytes.
const (
	// MaxConfigSize is the limit of an envelope with a ConfigPush, whose manifest has at most a megabyte.
	MaxConfigSize = 1_250_000
	// MaxSize is the limit of every other envelope.
	MaxSize = 64 << 10
)

// Limits of lists and strings. They bound the memory that a decoded message can take.
const (
	maxName         = 63
	maxEpochs       = 256
	maxOwnedTargets = 2048
	maxMembers      = 1024
	maxCandidates   = 32
	maxSetTargets   = 512
	maxFlows        = 1024
	maxRecords      = 1024
	maxStatuses     = 1024
)

// maxDuration is the limit of all durations. Encode shortens longer ones, and Decode refuses them. All
// timeouts are far below it.
const maxDuration = 24 * time.Hour
