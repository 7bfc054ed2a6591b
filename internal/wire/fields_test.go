package wire

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against message fields that are not encoded. Tests in virtual time pass messages without
// encoding them, so their decisions would then differ from those of real processes.
func TestNoFieldIsDropped(t *testing.T) {
	messages := []core.Message{
		&core.Heartbeat{}, &core.ConfigPull{}, &core.ConfigPush{}, &core.MembersPull{}, &core.MembersPush{},
		&core.ForwardRequest{}, &core.FlowLearned{}, &core.FlowQuery{}, &core.FlowReply{},
		&core.RecordStarted{}, &core.RecordAck{}, &core.HandoverBegin{}, &core.HandoverChunk{},
		&core.HandoverEnd{}, &core.HandoverAck{}, &core.RequestOutcome{}, &core.StatusPull{}, &core.StatusPush{},
	}
	Convey("A message with a value in every field is unchanged after encoding and decoding", t, func() {
		for _, m := range messages {
			setAllFields(reflect.ValueOf(m).Elem())
			data, err := Encode(m, MaxVersion)
			So(err, ShouldBeNil)
			decoded, err := Decode(data)
			So(err, ShouldBeNil)
			So(decoded, ShouldResemble, m)
		}
	})
}

// setAllFields sets every field to a value that is not zero and that a VM may send.
func setAllFields(v reflect.Value) {
	switch v.Interface().(type) {
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("127.0.0.1:7400")))
		return
	case core.FlowKey:
		v.Set(reflect.ValueOf(core.NewFlowKey(netip.MustParseAddrPort("127.0.0.2:5000"), 9)))
		return
	case time.Duration:
		v.SetInt(int64(1500 * time.Millisecond))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("vm-1")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setAllFields(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setAllFields(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			setAllFields(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			setAllFields(v.Field(i))
		}
	}
}
