// Package objects is a stand-in for the store of the users' platform, for tests and the soak test. It
// implements the store's HTTP interface: lists with pages, watches, conditional writes, one revision counter,
// and a history of changes that may be dropped.
//
// Faults are set for one VM (by the address that its calls come from) or for all: refused calls, calls without
// a response, slow responses, lost responses. The store may be restored from an earlier copy of itself. Entries of targets expire when they are not renewed.
package objects
