package client

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Status is the result of a request as the client received it.
type Status uint8

// Results of a request.
const (
	// Answered: a target answered the request.
	Answered Status = iota
	// Refused: the request was refused as not run.
	Refused
	// Unknown: the load balancer reported that the outcome is unknown.
	Unknown
	// Silent: no answer was received before the deadline, so the outcome is unknown.
	Silent
	// Abandoned: the context ended before an answer was received.
	Abandoned
	// NumStatuses is the number of results.
	NumStatuses
)

// String returns the name of the status in summaries.
func (s Status) String() string {
	names := [NumStatuses]string{"answered", "refused", "unknown", "silent", "abandoned"}
	if s < NumStatuses {
		return names[s]
	}
	return "invalid"
}

// Outcome describes how a request ended.
type Outcome struct {
	Status Status
	Code   codes.Code
	Reply  target.Reply
	// RetryAfter is the time to wait before a retry, for Refused and Unknown.
	RetryAfter time.Duration
	// Reason is the diagnostic text of a refusal or of an unknown outcome.
	Reason string
	// Took is the time from the first transmission to the end.
	Took time.Duration
	// Transmissions is the number of times that the datagram was sent, the first time included.
	Transmissions int
}

// Stats are the counts of a client.
type Stats struct {
	// Outcomes counts requests by class and status; feed registrations are in ClassFeed.
	Outcomes      [core.NumClasses][NumStatuses]uint64
	DatagramsSent uint64
	// Mismatched counts answers that belong to another request.
	Mismatched uint64
	// Late counts answers to requests that had ended; each is checked for a mismatch.
	Late uint64
	// Malformed counts packets that are not answers of the service.
	Malformed uint64

	// FeedsOpened counts feeds that were answered for the first time.
	FeedsOpened, Notifications uint64
	// FeedGaps counts notifications that were lost between two others of the same registration.
	FeedGaps uint64
	// StaleNotifications counts notifications that were received after a newer one.
	StaleNotifications uint64
	// BrokenFlows is the sum of BrokenSilent and BrokenMoved.
	BrokenFlows, BrokenSilent, BrokenMoved uint64
	// AllowedMoves counts the changes of the target that Options.MoveAllowed permits.
	AllowedMoves uint64

	PostsDone, PostsConfirmed, PostsGivenUp uint64
	// PostsRejected counts attempts at postings that a target answered with an error.
	PostsRejected uint64
	// PostsUnknown counts postings with at least one attempt whose outcome was unknown.
	PostsUnknown                                  uint64
	UploadsDone, UploadsFailed, UploadsMismatched uint64
	UploadRestarts                                uint64
}

// Add adds the counts of another client.
func (s *Stats) Add(o Stats) {
	for c := range s.Outcomes {
		for status := range s.Outcomes[c] {
			s.Outcomes[c][status] += o.Outcomes[c][status]
		}
	}
	for _, p := range []struct {
		to *uint64
		n  uint64
	}{
		{&s.DatagramsSent, o.DatagramsSent}, {&s.Mismatched, o.Mismatched}, {&s.Late, o.Late}, {&s.Malformed, o.Malformed},
		{&s.FeedsOpened, o.FeedsOpened}, {&s.Notifications, o.Notifications}, {&s.FeedGaps, o.FeedGaps},
		{&s.StaleNotifications, o.StaleNotifications}, {&s.BrokenFlows, o.BrokenFlows}, {&s.BrokenSilent, o.BrokenSilent},
		{&s.BrokenMoved, o.BrokenMoved}, {&s.AllowedMoves, o.AllowedMoves}, {&s.PostsDone, o.PostsDone},
		{&s.PostsConfirmed, o.PostsConfirmed}, {&s.PostsGivenUp, o.PostsGivenUp},
		{&s.PostsRejected, o.PostsRejected}, {&s.PostsUnknown, o.PostsUnknown}, {&s.UploadsDone, o.UploadsDone},
		{&s.UploadsFailed, o.UploadsFailed}, {&s.UploadsMismatched, o.UploadsMismatched},
		{&s.UploadRestarts, o.UploadRestarts},
	} {
		*p.to += p.n
	}
}

// Count returns the number of requests of all classes with a status.
func (s *Stats) Count(status Status) uint64 {
	var n uint64
	for c := range s.Outcomes {
		n += s.Outcomes[c][status]
	}
	return n
}
