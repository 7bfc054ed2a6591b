// Package wirepb holds the protobuf types generated from wire.proto. Only package wire uses them.
package wirepb
