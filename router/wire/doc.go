// Package wire is the protobuf form of the messages between routers, with
// conversions from and to the decision core's types.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fleet.proto
