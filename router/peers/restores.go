package peers

import "google.golang.org/grpc/metadata"

// restoresHeader is sent at the start of a stream by a receiver that puts back what wire.Said leaves out. Until it comes, and to
// a router of an earlier version, all is sent whole.
const restoresHeader = "mangolug-restores"

// restoresMetadata says that the receiver restores.
func restoresMetadata() metadata.MD { return metadata.Pairs(restoresHeader, "1") }
