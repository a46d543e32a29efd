// Package plain decides which requests to a plain service are sent while its servers are short of capacity.
package plain
