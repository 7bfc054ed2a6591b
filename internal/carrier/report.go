package carrier

import (
	"encoding/binary"

	"github.com/mangoweir/mangoweir/core"
)

// Report is the value of OptionLoadReport: the slots in use, the number of slots, flags and the boot id.
type Report struct {
	Load core.LoadReport
	// Shed is true in the answer to a request that the target refused and did not run.
	Shed bool
	// Cancelled is true in the answer to a request that the target cancelled before it ran.
	Cancelled bool
}

// reportSize is the size of an encoded Report in bytes.
const reportSize = 13

// Flags of an encoded Report.
const (
	flagCold = 1 << iota
	flagDraining
	flagShed
	flagCancelled
)

// Encode returns the report as the value of OptionLoadReport.
func (r Report) Encode() []byte {
	b := make([]byte, reportSize)
	binary.BigEndian.PutUint16(b, r.Load.InUse)
	binary.BigEndian.PutUint16(b[2:], r.Load.Slots)
	b[4] = flag(r.Load.Cold, flagCold) | flag(r.Load.Draining, flagDraining) |
		flag(r.Shed, flagShed) | flag(r.Cancelled, flagCancelled)
	binary.BigEndian.PutUint64(b[5:], r.Load.BootID)
	return b
}

// flag returns bit when set is true, and 0 otherwise.
func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// DecodeReport decodes the value of OptionLoadReport. It returns false when the length is wrong.
func DecodeReport(b []byte) (Report, bool) {
	if len(b) != reportSize {
		return Report{}, false
	}
	flags := b[4]
	return Report{
		Load: core.LoadReport{
			InUse:    binary.BigEndian.Uint16(b),
			Slots:    binary.BigEndian.Uint16(b[2:]),
			Cold:     flags&flagCold != 0,
			Draining: flags&flagDraining != 0,
			BootID:   binary.BigEndian.Uint64(b[5:]),
		},
		Shed:      flags&flagShed != 0,
		Cancelled: flags&flagCancelled != 0,
	}, true
}
