package core

// eventNames are the names that logs and metrics use.
var eventNames = [NumEvents]string{
	EventConfigInstalled:   "config_installed",
	EventConfigInvalid:     "config_invalid",
	EventEpochInstalled:    "epoch_installed",
	EventPeerSuspect:       "peer_suspect",
	EventPeerDead:          "peer_dead",
	EventPeerBack:          "peer_back",
	EventTakeOver:          "takeover",
	EventHandoverStarted:   "handover_started",
	EventHandoverDone:      "handover_done",
	EventHandoverFailed:    "handover_failed",
	EventAuthorityLost:     "authority_lost",
	EventAuthorityGained:   "authority_gained",
	EventClockJump:         "clock_jump",
	EventTargetCold:        "target_cold",
	EventTargetWarm:        "target_warm",
	EventTargetDraining:    "target_leaving",
	EventDuplicateAbsorbed: "duplicate_absorbed",
	EventAnswerDropped:     "answer_dropped",
	EventFlowPlaced:        "flow_placed",
	EventFlowRedirected:    "flow_redirected",
	EventFlowLost:          "flow_lost",
	EventPacketDropped:     "packet_dropped",
	EventPlatformDown:      "platform_down",
	EventPlatformBack:      "platform_back",
}

// String returns the name that logs and metrics use.
func (k EventKind) String() string {
	if k < NumEvents {
		return eventNames[k]
	}
	return "unknown"
}
