// Package wire defines the protobuf encoding of the messages between routers
// and converts them from and to the types of the decision core.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fleet.proto
