package demo

import (
	"context"
	"net/netip"

	"github.com/mangoweir/mangoweir/core"
)

// EntryVM is a running entry VM.
type EntryVM interface {
	Name() string
	// FabricAddr returns the address that receives packets from the fabric.
	FabricAddr() netip.AddrPort
	// Stop stops the VM as planned; it returns when the VM has handed over its targets and ended.
	Stop(ctx context.Context) error
	// Kill ends the VM at once.
	Kill()
}

// EntryVMSpec describes an entry VM that a Deployment starts.
type EntryVMSpec struct {
	Name core.VMName
	Zone core.ZoneName
	// FabricReturn is the fabric's return address.
	FabricReturn netip.AddrPort
	// Number is the VM's number in the Deployment, counted from 1; a later VM has a higher number.
	Number int
}

// EntryVMFactory starts an entry VM.
type EntryVMFactory func(ctx context.Context, spec EntryVMSpec) (EntryVM, error)
