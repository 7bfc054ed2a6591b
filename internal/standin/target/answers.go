package target

// maxAnswers bounds the remembered answers. At the rates of tests it covers more than
// core.RequestLifetime.
const maxAnswers = 8192

// answers remembers the newest answers by attempt, for duplicates that the network makes.
type answers struct {
	byKey map[workKey][]byte
	order []workKey
}

// newAnswers returns an empty memory.
func newAnswers() *answers { return &answers{byKey: map[workKey][]byte{}} }

// add remembers the answer to an attempt.
func (a *answers) add(key workKey, datagram []byte) {
	if _, ok := a.byKey[key]; !ok {
		a.order = append(a.order, key)
	}
	a.byKey[key] = datagram
	if len(a.order) > maxAnswers {
		delete(a.byKey, a.order[0])
		a.order = a.order[1:]
	}
}

// find returns the answer to an attempt.
func (a *answers) find(key workKey) ([]byte, bool) {
	datagram, ok := a.byKey[key]
	return datagram, ok
}
