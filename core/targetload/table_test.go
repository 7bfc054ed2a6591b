package targetload

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func testTable(at time.Duration) *Table {
	return NewTable(Summary{
		Targets:  []TargetLoad{{ID: 1, Slowness: 6}, {ID: 2, Slowness: 100}, {ID: 3, Slowness: 1}},
		Services: []ServiceLoad{{Service: "desk", Slowness: 1.5, Rejected: 0.25}},
	}, at)
}

// Guards against weights outside (0, 1], and against tables that are used after their time.
func TestTable(t *testing.T) {
	const at = 100 * time.Second
	convey.Convey("Given a table", t, func() {
		table := testTable(at)

		convey.Convey("Weights are the squared ratio to the service, within limits", func() {
			convey.So(table.Weight(1, "desk", at), convey.ShouldAlmostEqual, 1./8)
			convey.So(table.Weight(2, "desk", at), convey.ShouldEqual, 1./64)
			convey.So(table.Weight(3, "desk", at), convey.ShouldEqual, 1)
			convey.So(table.Weight(4, "desk", at), convey.ShouldEqual, 1)
			convey.So(table.Weight(4, "other", at), convey.ShouldEqual, 1)
			convey.So(table.Weight(1, "other", at), convey.ShouldAlmostEqual, 1./27)
		})
		convey.Convey("A target that is not listed is as slow as its service", func() {
			convey.So(table.Slowness(1, "desk", at), convey.ShouldEqual, 6)
			convey.So(table.Slowness(4, "desk", at), convey.ShouldEqual, 1.5)
			convey.So(table.Slowness(4, "other", at), convey.ShouldEqual, 1)
			convey.So(table.ServiceSlowness("desk", at), convey.ShouldEqual, 1.5)
			convey.So(table.ServiceSlowness("other", at), convey.ShouldEqual, 1)
			convey.So(table.Rejected("desk", at), convey.ShouldEqual, 0.25)
			convey.So(table.Rejected("other", at), convey.ShouldEqual, 0)
		})
		convey.Convey("It is used for 2 s", func() {
			convey.So(table.Weight(1, "desk", at+2*time.Second), convey.ShouldBeLessThan, 1)
		})
		convey.Convey("Old tables, tables of the future and nil tables are empty", func() {
			var none *Table
			for _, test := range []struct {
				table *Table
				now   time.Duration
			}{{table, at + 2*time.Second + 1}, {table, at - time.Second - 1}, {table, math.MaxInt64}, {none, at}} {
				convey.So(test.table.Weight(1, "desk", test.now), convey.ShouldEqual, 1)
				convey.So(test.table.Slowness(1, "desk", test.now), convey.ShouldEqual, 1)
				convey.So(test.table.ServiceSlowness("desk", test.now), convey.ShouldEqual, 1)
				convey.So(test.table.Rejected("desk", test.now), convey.ShouldEqual, 0)
			}
			convey.So(none.Ignored(), convey.ShouldEqual, 0)
		})
		convey.Convey("Absurd entries are ignored and counted, the others are used", func() {
			absurd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}
			s := Summary{Targets: []TargetLoad{{ID: 1, Slowness: 6}}, Services: []ServiceLoad{{Service: "desk", Slowness: 1.5}}}
			for i, v := range absurd {
				s.Targets = append(s.Targets, TargetLoad{ID: ID(10 + i), Slowness: v})
				s.Services = append(s.Services, ServiceLoad{Service: "other", Slowness: v})
			}
			for _, v := range []float64{math.NaN(), -0.1, 1.1} {
				s.Services = append(s.Services, ServiceLoad{Service: "other", Slowness: 1, Rejected: v})
			}
			table := NewTable(s, at)
			convey.So(table.Ignored(), convey.ShouldEqual, 2*len(absurd)+3)
			convey.So(table.Weight(1, "desk", at), convey.ShouldAlmostEqual, 1./8)
			for i := range absurd {
				convey.So(table.Weight(ID(10+i), "other", at), convey.ShouldEqual, 1)
			}
		})
		convey.Convey("Look-ups do not allocate", func() {
			convey.So(testing.AllocsPerRun(100, func() {
				table.Weight(1, "desk", at)
				table.Slowness(4, "desk", at)
				table.ServiceSlowness("desk", at)
				table.Rejected("desk", at)
			}), convey.ShouldEqual, 0)
		})
	})
}
