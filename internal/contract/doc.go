// Package contract holds the manifest: the zones, services, contracts and targets of a deployment
// as operators declare them. It parses and validates manifests, converts them to core.Config,
// compares them and edits the state of a zone in a manifest's text.
//
// The text of an accepted manifest is authoritative; all values of this package are derived from it
// and belong to the calling code. The package does no I/O and does not read the clock.
package contract
