package share

import (
	"fmt"

	"mangolug.org/core/digest"
)

func encodeStreams(m *digest.Streams) *Streams {
	if m == nil {
		return nil
	}
	w := &Streams{Unknown: m.Unknown}
	for _, s := range m.Told {
		w.Told, w.Versions = append(w.Told, s.Attempt), append(w.Versions, s.Version)
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
	m := &digest.Streams{Unknown: w.Unknown}
	for i, attempt := range w.Told {
		m.Told = append(m.Told, digest.StreamVersion{Attempt: attempt, Version: w.Versions[i]})
	}
	for i, attempt := range w.Asked {
		m.Asked = append(m.Asked, digest.StreamQuestion{Attempt: attempt, Service: w.Services[i], Window: fromMillis(w.Windows[i])})
	}
	return m, nil
}
