package traffic

import "time"

// Times and bounds of a shard. The design page gives the reasons where none is stated here.
const (
	// cancelGrace is the time after which a withdrawn attempt gives its slot back unconfirmed.
	cancelGrace = 2 * time.Second
	// backupWait bounds the wait for the backup's confirmation.
	backupWait = 100 * time.Millisecond
	// loadInterval is the shortest time between two load reports of a target.
	loadInterval = 250 * time.Millisecond
	// ownerWait bounds the wait for a holder. It covers the 2 s of silence after which a failed
	// holder's targets are taken over.
	ownerWait = 2500 * time.Millisecond
	// blockedWait bounds the wait of queued requests while nothing may be sent to the target.
	blockedWait = time.Second
	// newerGenerationWait bounds the wait for a newer generation that is known to exist.
	newerGenerationWait = 2 * time.Second
	// discardAfterPause is the time in which the sockets and mailboxes that filled during a pause are
	// read; a full mailbox takes 80 ms.
	discardAfterPause = 500 * time.Millisecond
	// queryWait is the time in which peers can answer a FlowQuery.
	queryWait = 50 * time.Millisecond
	// queriesPerSecond bounds the FlowQuery broadcasts of a shard.
	queriesPerSecond = 50
	// handoverResend is the time between two end messages.
	handoverResend = 200 * time.Millisecond
	// handoverWait is the time without confirmation after which waiting requests are refused.
	handoverWait = time.Second
	// refusalRepeatWindow is the time after a refusal in which the request may arrive again: the refusal
	// and a repeated packet that crosses it may each spend MaxPacketLifetime in the network.
	refusalRepeatWindow = 4 * time.Second
	// feedRelayTime is how long a former holder relays notifications until the new one has
	// registered the feeds again.
	feedRelayTime = 10 * time.Second
	// feedIdle is the time without packets after which a flow with a live feed has ended. Quiet
	// feeds outlive FlowIdleTimeout because the caller sends nothing while it listens.
	feedIdle = time.Hour
	// renewalTimeout is the time after which an unanswered registration is sent again.
	renewalTimeout = 2 * time.Second
	// renewalPause is the pause before a registration that was shed is sent again.
	renewalPause = 500 * time.Millisecond
	// minAttemptTime keeps short pauses of a target from causing retries.
	minAttemptTime = 500 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound what callers are told: an earlier return finds the same
	// queue, and a later one exceeds the deadline of any request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// unreachableRetryAfter covers the time in which a failed holder is replaced.
	unreachableRetryAfter = 2 * time.Second

	// rejectionsPerTick bounds the rejected notifications, as each needs a look at all targets.
	rejectionsPerTick = 8

	maxRetries = 2
	// retriesPerRequest is the part of a request that each first attempt adds to the retry budget.
	retriesPerRequest = 0.1
	// initialRetryBudget lets a shard retry before it has sent many requests.
	initialRetryBudget = 3
	// maxRetryBudget bounds the retries that a long calm can save up for a burst of sheds.
	maxRetryBudget = 100
	// coldAfterFailures is the number of sheds and time-outs in a row after which a target is cold.
	coldAfterFailures = 3

	// maxHops ends forwarding loops. The longest regular path visits MaxPreviousSets candidates and
	// comes back once.
	maxHops = 40
	// maxDeferred and maxQueries bound the requests that wait for a holder and for peers; each is a
	// packet of at most 64 KB.
	maxDeferred = 2048
	maxQueries  = 1024
	// maxAnswerBytes bounds the stored answers of a shard.
	maxAnswerBytes = 4 << 20
	// maxChunkBytes leaves room for encoding below the 60 KB that a message may have.
	maxChunkBytes = 48 << 10
	// feedMovesPerTick bounds the feeds that are placed anew in one tick, per target.
	feedMovesPerTick = 16
	// sweepPerTick bounds the slots that a tick checks for idle flows, per table. A table of
	// 300,000 flows is checked every 45 s.
	sweepPerTick = 512

	// loadSlack is the part by which a target's flows may exceed its share before new flows are
	// redirected; it leaves room below the bound of 1.10 for loads that are a heartbeat old.
	loadSlack = 1.04
	// minFlowBound avoids redirects while a target has only a few flows.
	minFlowBound = 2
)
