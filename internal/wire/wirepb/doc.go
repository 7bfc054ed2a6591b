// Package wirepb contains the protobuf types generated from wire.proto. Only package wire uses them.
package wirepb
