package demo

import (
	"context"
	"net/netip"

	"github.com/mangoweir/mangoweir/core"
)

// Entry is a running entry VM.
type Entry interface {
	Name() string
	// FabricAddr is the address that takes packets of the fabric.
	FabricAddr() netip.AddrPort
	// Stop is a planned stop; it returns when the VM has handed over and finished.
	Stop(ctx context.Context) error
	// Kill ends the VM at once.
	Kill()
}

// EntrySpec is what a World wants an entry VM to be.
type EntrySpec struct {
	Name core.VMName
	Zone core.ZoneName
	// Return is the fabric's return address.
	Return netip.AddrPort
	// Number counts the entry VMs of a World from 1; a later VM has a higher number.
	Number int
}

// EntryFactory starts an entry VM.
type EntryFactory func(ctx context.Context, spec EntrySpec) (Entry, error)
