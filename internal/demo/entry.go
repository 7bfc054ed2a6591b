package demo

import (
	"context"
	"net/netip"

	"github.com/mangoweir/mangoweir/core"
)

// EntryVM is a running entry VM.
type EntryVM interface {
	Name() string
	// FabricAddr is the address that takes packets of the fabric.
	FabricAddr() netip.AddrPort
	// Stop is a planned stop; it returns when the VM has handed over and finished.
	Stop(ctx context.Context) error
	// Kill ends the VM at once.
	Kill()
}

// EntryVMSpec is what a World wants an entry VM to be.
type EntryVMSpec struct {
	Name core.VMName
	Zone core.ZoneName
	// FabricReturn is the fabric's return address.
	FabricReturn netip.AddrPort
	// Number counts the entry VMs of a World from 1; a later VM has a higher number.
	Number int
}

// EntryVMFactory starts an entry VM.
type EntryVMFactory func(ctx context.Context, spec EntryVMSpec) (EntryVM, error)
