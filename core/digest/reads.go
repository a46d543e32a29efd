package digest

import "slices"

// maxRecentReads is the number of reads that are remembered: all routers of a large fleet may read the platform at about the same time.
const maxRecentReads = 512

// recentReads holds the identifiers of the newest reads of the platform. The zero value is ready to use.
type recentReads struct {
	newest uint32   // identifier of the newest read; 0 if it has none
	ids    []uint32 // of the reads heard of last
}

// add adds a read that has an identifier and is not known.
func (r *recentReads) add(id uint32) {
	if id == 0 {
		return
	}
	if len(r.ids) >= maxRecentReads {
		r.ids = slices.Delete(r.ids, 0, 1)
	}
	r.ids = append(r.ids, id)
}

// contains reports whether a read with this identifier is known.
func (r *recentReads) contains(id uint32) bool { return id != 0 && slices.Contains(r.ids, id) }
