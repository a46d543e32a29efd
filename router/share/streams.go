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
	w := &Streams{Unknown: slices.Clone(m.Unknown)}
	for _, s := range m.Told {
		w.Told, w.Versions, w.Sole = append(w.Told, s.Attempt), append(w.Versions, s.Version), append(w.Sole, s.Sole)
	}
	if !slices.Contains(w.Sole, true) {
		w.Sole = nil
	}
	if len(m.Several) > 0 {
		w.Several = make([]bool, len(m.Unknown), len(m.Unknown)+len(m.Several))
		earlier := make([]uint32, len(m.Unknown), len(m.Unknown)+len(m.Several))
		for _, s := range m.Several {
			w.Unknown, w.Several, earlier = append(w.Unknown, s.Attempt), append(w.Several, true), append(earlier, s.Earlier)
		}
		if slices.Max(earlier) > 0 {
			w.Earlier = earlier
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
	optional := func(column, of int) bool { return column == 0 || column == of }
	if !optional(len(w.Sole), len(w.Told)) || !optional(len(w.Several), len(w.Unknown)) || !optional(len(w.Earlier), len(w.Unknown)) {
		return nil, fmt.Errorf("streams: %d told with %d sole versions, %d unknown with %d of several versions and %d earlier ones",
			len(w.Told), len(w.Sole), len(w.Unknown), len(w.Several), len(w.Earlier))
	}
	m := &digest.Streams{}
	for i, attempt := range w.Told {
		m.Told = append(m.Told, digest.StreamVersion{Attempt: attempt, Version: w.Versions[i], Sole: len(w.Sole) > 0 && w.Sole[i]})
	}
	for i, attempt := range w.Unknown {
		if len(w.Several) == 0 || !w.Several[i] {
			m.Unknown = append(m.Unknown, attempt)
			continue
		}
		several := digest.SeveralVersions{Attempt: attempt}
		if len(w.Earlier) > 0 {
			several.Earlier = w.Earlier[i]
		}
		m.Several = append(m.Several, several)
	}
	for i, attempt := range w.Asked {
		m.Asked = append(m.Asked, digest.StreamQuestion{Attempt: attempt, Service: w.Services[i], Window: fromMillis(w.Windows[i])})
	}
	return m, nil
}
