package wire

// Version is a version of the protocol between VMs.
type Version uint32

// Versions that this release supports.
const (
	// Version1 is the first version.
	Version1 Version = 1
	// Version2 adds the trace context of requests and the backup sequence of heartbeats.
	Version2 Version = 2

	// MinVersion and MaxVersion bound the versions that this release supports. Two consecutive releases
	// have at least one version in common, so that they can run side by side.
	MinVersion = Version1
	MaxVersion = Version2
)

// Negotiate returns the highest version that is in both ranges, or ErrNoCommonVersion.
func Negotiate(minA, maxA, minB, maxB Version) (Version, error) {
	low, high := max(minA, minB), min(maxA, maxB)
	if low > high || low == 0 {
		return 0, newError(ErrNoCommonVersion, "one side supports %d to %d, the other %d to %d", minA, maxA, minB, maxB)
	}
	return high, nil
}
