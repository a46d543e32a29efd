package share

import (
	"fmt"
	"time"

	"mangolug.org/core/digest"
)

// maxAge bounds the ages that are decoded, so that their sums with other times can't overflow.
const maxAge = 24 * time.Hour

func encodeSuspects(list []digest.Suspect) []*Suspect {
	var encoded []*Suspect
	for _, s := range list {
		w := &Suspect{
			Service: s.Service, Id: s.ID, Request: s.Request, Cleared: s.Cleared, ClearedAge: toMillis(s.ClearedAge),
			Trials: toUnits(s.Trials, 1), TriedAge: toMillis(s.TriedAge),
		}
		for _, c := range s.Crashes {
			w.Servers, w.Ages, w.Answered = append(w.Servers, c.Server), append(w.Ages, toMillis(c.Age)), append(w.Answered, c.Answered)
		}
		encoded = append(encoded, w)
	}
	return encoded
}

func decodeSuspects(list []*Suspect) ([]digest.Suspect, error) {
	var decoded []digest.Suspect
	for _, w := range list {
		if len(w.Servers) != len(w.Ages) || len(w.Servers) != len(w.Answered) {
			return nil, fmt.Errorf("suspect %x: %d servers, %d ages, %d marks", w.Id, len(w.Servers), len(w.Ages), len(w.Answered))
		}
		s := digest.Suspect{
			Service: w.Service, ID: w.Id, Request: w.Request, Cleared: w.Cleared, ClearedAge: fromMillis(w.ClearedAge),
			Trials: int64(w.Trials), TriedAge: fromMillis(w.TriedAge),
		}
		for i, server := range w.Servers {
			s.Crashes = append(s.Crashes, digest.Crash{Server: server, Age: fromMillis(w.Ages[i]), Answered: w.Answered[i]})
		}
		decoded = append(decoded, s)
	}
	return decoded, nil
}

func fromMillis(n uint32) time.Duration { return min(time.Duration(n)*time.Millisecond, maxAge) }
