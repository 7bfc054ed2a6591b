package traffic

import "time"

// Times and bounds of a shard. The design document gives the reasons where none is stated here.
const (
	// cancelGrace is the time after which a cancelled attempt frees its slot without confirmation.
	cancelGrace = 2 * time.Second
	// backupWait bounds the wait for the backup's confirmation.
	backupWait = 100 * time.Millisecond
	// loadInterval is the minimum time between two load reports of a target.
	loadInterval = 250 * time.Millisecond
	// ownerWait bounds the wait for an owner. It covers the 2 s of silence after which a failed
	// owner's targets are taken over.
	ownerWait = 2500 * time.Millisecond
	// blockedWait bounds the wait of queued requests while nothing may be sent to the target.
	blockedWait = time.Second
	// newerGenerationWait bounds the wait for a newer generation that is known to exist.
	newerGenerationWait = 2 * time.Second
	// discardAfterPause is the time for which requests are discarded after a pause, until the
	// sockets and mailboxes that filled during it have been read; reading a full mailbox takes
	// 80 ms.
	discardAfterPause = 500 * time.Millisecond
	// queryWait is the time that peers have to answer a FlowQuery.
	queryWait = 50 * time.Millisecond
	// queriesPerSecond bounds the rate of FlowQuery broadcasts of a shard.
	queriesPerSecond = 50
	// handoverResend is the time after which an unconfirmed HandoverEnd is sent again.
	handoverResend = 200 * time.Millisecond
	// handoverWait is the time without confirmation after which waiting requests are refused.
	handoverWait = time.Second
	// refusalRepeatWindow is the time after a refusal in which the request may arrive again: the
	// refusal and a retransmission that crosses it may each spend MaxPacketLifetime in the network.
	refusalRepeatWindow = 4 * time.Second
	// feedRelayTime is the time for which a previous owner relays notifications until the new one
	// has registered the feeds again.
	feedRelayTime = 10 * time.Second
	// feedIdle is the time without packets after which a flow with a live feed has ended. It is
	// longer than FlowIdleTimeout because the client of a quiet feed sends nothing while it waits
	// for messages.
	feedIdle = time.Hour
	// renewalTimeout is the time after which an unanswered registration is sent again.
	renewalTimeout = 2 * time.Second
	// renewalPause is the pause before a registration that was shed is sent again.
	renewalPause = 500 * time.Millisecond
	// minAttemptTime is the minimum time before an unanswered attempt is retried, so that short
	// pauses of a target do not cause retries.
	minAttemptTime = 500 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound the retry-after of refusals: a client that retries
	// earlier finds the same queue, and a longer time exceeds the deadline of any request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// unreachableRetryAfter covers the time in which a failed owner is replaced.
	unreachableRetryAfter = 2 * time.Second

	// rejectionsPerTick bounds the rejected notifications, because each takes a search through all
	// targets.
	rejectionsPerTick = 8

	maxRetries = 2
	// retriesPerRequest is the part of a retry that each first attempt adds to the retry budget.
	retriesPerRequest = 0.1
	// initialRetryBudget allows retries before a shard has sent many requests.
	initialRetryBudget = 3
	// maxRetryBudget bounds the retries that can accumulate without sheds, for a burst of sheds.
	maxRetryBudget = 100
	// coldAfterFailures is the number of consecutive sheds and time-outs after which a target is
	// cold.
	coldAfterFailures = 3

	// maxHops ends forwarding loops. The longest regular path visits MaxPreviousSets candidates and
	// comes back once.
	maxHops = 40
	// maxDeferred and maxQueries bound the requests that wait for an owner and for peers; each is a
	// packet of at most 64 KB.
	maxDeferred = 2048
	maxQueries  = 1024
	// maxAnswerBytes bounds the stored answers of a shard.
	maxAnswerBytes = 4 << 20
	// maxChunkBytes leaves room for encoding below the 60 KB limit of a message.
	maxChunkBytes = 48 << 10
	// feedMovesPerTick bounds the feeds that are moved to other targets in one tick, per target.
	feedMovesPerTick = 16
	// sweepPerTick bounds the slots that a tick checks for idle flows, per table. A table of
	// 300,000 flows is checked every 45 s.
	sweepPerTick = 512

	// loadSlack is the factor by which a target's flows may exceed its share before new flows are
	// redirected; it leaves room below the bound of 1.10 for loads that are a heartbeat old.
	loadSlack = 1.04
	// minFlowBound is the number of flows up to which a target takes new flows whatever its share,
	// so that few flows cause no redirects.
	minFlowBound = 2
)
