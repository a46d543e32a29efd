package digest

import "slices"

// maxRecentReads is the number of reads that are remembered: several routers may read the platform at about the same time.
const maxRecentReads = 16

// recentReads holds the identifiers of the newest reads of the platform, the newest last. The zero value is ready to use.
type recentReads struct {
	ids []uint32
}

// add adds a read; 0 stands for one that has no identifier.
func (r *recentReads) add(id uint32) {
	if len(r.ids) >= maxRecentReads {
		r.ids = slices.Delete(r.ids, 0, 1)
	}
	r.ids = append(r.ids, id)
}

// newest returns the identifier of the newest read, or 0 if it has none.
func (r *recentReads) newest() uint32 {
	if len(r.ids) == 0 {
		return 0
	}
	return r.ids[len(r.ids)-1]
}

// contains reports whether a read with this identifier is known.
func (r *recentReads) contains(id uint32) bool { return id != 0 && slices.Contains(r.ids, id) }
