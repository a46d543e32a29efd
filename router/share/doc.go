// Package share sends the messages of core/digest between routers in UDP datagrams.
package share

//go:generate protoc --go_out=. --go_opt=paths=source_relative share.proto
