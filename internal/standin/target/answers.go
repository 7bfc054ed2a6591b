package target

// maxCachedAnswers is the maximum number of answers in an answerCache. At the request rates of the
// tests, these are the answers of more than core.RequestLifetime.
const maxCachedAnswers = 8192

// answerCache keeps the newest answers by attempt, so that an attempt that the network duplicates gets
// the same answer again.
type answerCache struct {
	byKey map[attemptKey][]byte
	order []attemptKey
}

func newAnswerCache() *answerCache { return &answerCache{byKey: map[attemptKey][]byte{}} }

// add stores the answer to an attempt; it evicts the oldest answer when the cache is full.
func (a *answerCache) add(key attemptKey, datagram []byte) {
	if _, ok := a.byKey[key]; !ok {
		a.order = append(a.order, key)
	}
	a.byKey[key] = datagram
	if len(a.order) > maxCachedAnswers {
		delete(a.byKey, a.order[0])
		a.order = a.order[1:]
	}
}

// find returns the answer to an attempt.
func (a *answerCache) find(key attemptKey) ([]byte, bool) {
	datagram, ok := a.byKey[key]
	return datagram, ok
}
