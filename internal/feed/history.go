package feed

import (
	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core/registry"
)

// errEarlierHistory reports a response of the store that is late, from before its return from an earlier copy.
const errEarlierHistory = errors.ConstError("the response is from an earlier history of the store: call again")

// recordEra records the history of the store that a response belongs to. It returns false if that is an earlier one than
// that of another response.
func (s *Source) recordEra(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era < s.era {
		return false
	}
	if era > s.era {
		if s.era > 0 {
			s.Log.Warn("the store was restored from an earlier copy", "era", era, "era_before", s.era)
		}
		s.era = era
	}
	return true
}

// discardOtherHistories makes the ages in a message unknown for kinds that the sender has from another history of the store
// than this VM has them from with the updates of the message, or from an earlier one than the store's responses.
func (s *Source) discardOtherHistories(message *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind := range message.Ages {
		era, received := s.asOf[kind].Era, !s.asOf[kind].IsZero()
		for i := range message.Updates {
			if u := &message.Updates[i]; u.Kind == registry.Kind(kind) && u.Follows(s.asOf[kind]) {
				era, received = u.AsOf.Era, true
			}
		}
		if era < s.era || received && era != message.Eras[kind] {
			message.Ages[kind] = UnknownAge
		}
	}
}
