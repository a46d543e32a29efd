package share

import (
	"fmt"
	"slices"

	"mangolug.org/core/digest"
)

func encodeStreams(m *digest.Streams) *Streams {
	if m == nil {
		return nil
	}
	w := &Streams{Unknown: slices.Concat(m.Unknown, m.Several)}
	for _, s := range m.Told {
		w.Told, w.Versions, w.Sole = append(w.Told, s.Attempt), append(w.Versions, s.Version), append(w.Sole, s.Sole)
	}
	if !slices.Contains(w.Sole, true) {
		w.Sole = nil
	}
	if len(m.Several) > 0 {
		for i := range w.Unknown {
			w.Several = append(w.Several, i >= len(m.Unknown))
		}
	}
	for _, q := range m.Asked {
		w.Asked, w.Services, w.Windows = append(w.Asked, q.Attempt), append(w.Services, q.Service), append(w.Windows, toMillis(q.Window))
	}
	return w
}

func decodeStreams(w *Streams) (*digest.Streams, error) {
	if w == nil {
		return nil, nil
	}
	if len(w.Told) != len(w.Versions) || len(w.Asked) != len(w.Services) || len(w.Asked) != len(w.Windows) {
		return nil, fmt.Errorf("streams: %d told with %d versions, %d asked with %d services and %d windows",
			len(w.Told), len(w.Versions), len(w.Asked), len(w.Services), len(w.Windows))
	}
	if len(w.Sole) > 0 && len(w.Sole) != len(w.Told) || len(w.Several) > 0 && len(w.Several) != len(w.Unknown) {
		return nil, fmt.Errorf("streams: %d told with %d sole versions, %d unknown with %d of several versions",
			len(w.Told), len(w.Sole), len(w.Unknown), len(w.Several))
	}
	m := &digest.Streams{}
	for i, attempt := range w.Told {
		m.Told = append(m.Told, digest.StreamVersion{Attempt: attempt, Version: w.Versions[i], Sole: len(w.Sole) > 0 && w.Sole[i]})
	}
	for i, attempt := range w.Unknown {
		if len(w.Several) > 0 && w.Several[i] {
			m.Several = append(m.Several, attempt)
		} else {
			m.Unknown = append(m.Unknown, attempt)
		}
	}
	for i, attempt := range w.Asked {
		m.Asked = append(m.Asked, digest.StreamQuestion{Attempt: attempt, Service: w.Services[i], Window: fromMillis(w.Windows[i])})
	}
	return m, nil
}
