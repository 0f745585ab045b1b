// Package wire holds the messages that radishwell's own processes send each
// other. It is generated from wire.proto; the generated code is committed, so
// that a build needs no generator. To make it anew:
//
//	protoc --go_out=. --go_opt=paths=source_relative wire/wire.proto
package wire
