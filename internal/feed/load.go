package feed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

const (
	// maxLoadEntries is the maximum number of reports in a message, and of targets, services and shares in a summary. It
	// bounds the control traffic of a VM at any size of the deployment.
	maxLoadEntries = 64
	// maxReported is the maximum number of requests in a report. A target with the largest known load has 1,000 a second.
	maxReported = 1 << 20
	// maxRequestTime is the maximum mean time of the requests in a report: the longest duration of a flow in the platform's
	// settings.
	maxRequestTime = time.Minute
	// maxSlowness is the maximum slowness of a target or service.
	maxSlowness = 1000
)

// Load is the load of the targets of a zone and what its reader decided for new flows.
type Load struct {
	Zone core.ZoneName
	// Age is the time since the reader computed it.
	Age     time.Duration
	Summary targetload.Summary
	Policy  admission.Policy
	// Malformed is the number of entries of the message that were dropped.
	Malformed int
}

// LoadReports are the reports of a message of a subscriber.
type LoadReports struct {
	// Zone is the zone of the subscriber.
	Zone    core.ZoneName
	Reports []targetload.Report
	// Malformed is the number of reports of the message that were dropped.
	Malformed int
}

// Empty reports whether the load does not differ from that of idle targets.
func (l *Load) Empty() bool {
	return len(l.Summary.Targets) == 0 && len(l.Summary.Services) == 0 && len(l.Policy.Shares) == 0 && len(l.Policy.Reservations) == 0
}

// Size returns the encoded size in bytes.
func (l *Load) Size() int { return proto.Size(encodeLoad(l)) }

func encodeReports(reports []targetload.Report) []*feedpb.LoadReport {
	var out []*feedpb.LoadReport
	for _, r := range reports[:min(len(reports), maxLoadEntries)] {
		out = append(out, &feedpb.LoadReport{
			Token: uint32(r.ID), Responses: r.Responses, Rejected: r.Rejected, TookMillis: roundMillis(r.Took), WorkMillis: roundMillis(r.Work),
			UrgentWorkMillis: roundMillis(r.UrgentWork), UrgentResponses: r.UrgentResponses, UrgentRejected: r.UrgentRejected,
		})
	}
	return out
}

// decodeReports returns the valid reports and the number of the others.
func decodeReports(reports []*feedpb.LoadReport) (valid []targetload.Report, malformed int) {
	for i, pb := range reports {
		r := targetload.Report{
			ID: targetload.ID(pb.Token), Responses: pb.Responses, Rejected: pb.Rejected, Took: fromMillis(pb.TookMillis),
			Work: fromMillis(pb.WorkMillis), UrgentWork: fromMillis(pb.UrgentWorkMillis),
			UrgentResponses: pb.UrgentResponses, UrgentRejected: pb.UrgentRejected,
		}
		if i >= maxLoadEntries || !validReport(r) {
			malformed++
			continue
		}
		valid = append(valid, r)
	}
	return valid, malformed
}

func validReport(r targetload.Report) bool {
	requests := uint64(r.Responses) + uint64(r.Rejected)
	return requests > 0 && requests <= maxReported && r.UrgentResponses <= r.Responses && r.UrgentRejected <= r.Rejected &&
		r.Took <= time.Duration(r.Responses)*maxRequestTime && r.Work <= time.Duration(requests)*maxRequestTime && r.UrgentWork <= r.Work
}

func encodeLoad(l *Load) *feedpb.LoadSummary {
	if l == nil {
		return nil
	}
	// The age is rounded up, so that a summary never becomes newer on its way.
	pb := &feedpb.LoadSummary{Zone: string(l.Zone), AgeMillis: uint32(min(max(l.Age+time.Millisecond-1, 0).Milliseconds(), math.MaxUint32))}
	for _, t := range l.Summary.Targets[:min(len(l.Summary.Targets), maxLoadEntries)] {
		pb.Targets = append(pb.Targets, &feedpb.TargetLoad{Token: uint32(t.ID), SlownessPercent: toUnits(t.Slowness, 100, maxSlowness)})
	}
	pb.Services = encodeServices(l)
	for _, s := range l.Policy.Shares[:min(len(l.Policy.Shares), maxLoadEntries)] {
		pb.Shares = append(pb.Shares, &feedpb.AdmittedShare{Service: s.Service, Priority: int32(s.Priority), Permille: toUnits(s.Admitted, 1000, 1)})
	}
	return pb
}

// encodeServices returns the services that have a load or a reservation. If there are too many, it returns those with
// a reservation, then those with the most rejections and the slowest.
func encodeServices(l *Load) []*feedpb.ServiceLoad {
	byName := map[string]*feedpb.ServiceLoad{}
	var services []*feedpb.ServiceLoad
	entry := func(name string) *feedpb.ServiceLoad {
		pb := byName[name]
		if pb == nil {
			pb = &feedpb.ServiceLoad{Service: name}
			byName[name] = pb
			services = append(services, pb)
		}
		return pb
	}
	for _, s := range l.Summary.Services {
		pb := entry(s.Service)
		pb.SlownessPercent, pb.RejectedPermille = max(1, toUnits(s.Slowness, 100, maxSlowness)), toUnits(s.Rejected, 1000, 1)
	}
	for _, r := range l.Policy.Reservations {
		entry(r.Service).ReservedPermille = toUnits(r.Fraction, 1000, 1)
	}
	if len(services) > maxLoadEntries {
		slices.SortStableFunc(services, func(a, b *feedpb.ServiceLoad) int {
			return cmp.Or(cmp.Compare(b.ReservedPermille, a.ReservedPermille), cmp.Compare(b.RejectedPermille, a.RejectedPermille),
				cmp.Compare(b.SlownessPercent, a.SlownessPercent))
		})
		services = services[:maxLoadEntries]
	}
	return services
}

// decodeLoad decodes a summary without its malformed entries; nil for a message without one.
func decodeLoad(pb *feedpb.LoadSummary) *Load {
	if pb == nil {
		return nil
	}
	l := &Load{Zone: core.ZoneName(pb.Zone), Age: fromMillis(pb.AgeMillis)}
	targets := map[uint32]bool{}
	for i, t := range pb.Targets {
		if i >= maxLoadEntries || targets[t.Token] || t.SlownessPercent == 0 || t.SlownessPercent > 100*maxSlowness {
			l.Malformed++
			continue
		}
		targets[t.Token] = true
		l.Summary.Targets = append(l.Summary.Targets, targetload.TargetLoad{ID: targetload.ID(t.Token), Slowness: float64(t.SlownessPercent) / 100})
	}
	services := map[string]bool{}
	for i, s := range pb.Services {
		if i >= maxLoadEntries || services[s.Service] || !validService(s) {
			l.Malformed++
			continue
		}
		services[s.Service] = true
		l.addService(s)
	}
	type shareKey struct {
		service  string
		priority int32
	}
	shares := map[shareKey]bool{}
	for i, s := range pb.Shares {
		key := shareKey{s.Service, s.Priority}
		// A share of 0 would starve the priority; the lowest share that a reader decides is above it.
		if i >= maxLoadEntries || shares[key] || s.Service == "" || s.Permille == 0 || s.Permille > 1000 {
			l.Malformed++
			continue
		}
		shares[key] = true
		l.Policy.Shares = append(l.Policy.Shares, admission.Share{Service: s.Service, Priority: int(s.Priority), Admitted: float64(s.Permille) / 1000})
	}
	return l
}

func validService(s *feedpb.ServiceLoad) bool {
	return s.Service != "" && s.SlownessPercent <= 100*maxSlowness && s.RejectedPermille <= 1000 && s.ReservedPermille <= 1000 &&
		(s.SlownessPercent > 0 || s.RejectedPermille == 0 && s.ReservedPermille > 0)
}

func (l *Load) addService(s *feedpb.ServiceLoad) {
	if s.SlownessPercent > 0 {
		l.Summary.Services = append(l.Summary.Services, targetload.ServiceLoad{
			Service: s.Service, Slowness: float64(s.SlownessPercent) / 100, Rejected: float64(s.RejectedPermille) / 1000,
		})
	}
	if s.ReservedPermille > 0 {
		l.Policy.Reservations = append(l.Policy.Reservations, admission.Reservation{Service: s.Service, Fraction: float64(s.ReservedPermille) / 1000})
	}
}

// toUnits returns a value that is limited to [0, limit] as a rounded number of units, each 1/scale; 0 for NaN.
func toUnits(value, scale, limit float64) uint32 {
	if !(value > 0) {
		return 0
	}
	return uint32(math.Round(min(value, limit) * scale))
}

// roundMillis returns a duration that is limited to what the message can hold, in milliseconds.
func roundMillis(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Round(time.Millisecond).Milliseconds(), math.MaxUint32))
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
