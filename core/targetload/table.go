package targetload

import "time"

const (
	// tableLifetime is the age from which a table counts as empty; 8 summaries.
	tableLifetime = 2 * time.Second
	// clockDifference is how far in the future a table may be. The threads of a VM read the clock separately, and a VM with
	// a small share of a core may be suspended in between.
	clockDifference = time.Second
	// minWeight lets slow targets have some flows, which show when they recover.
	minWeight = 1.0 / 64
)

// Table answers what a Summary says about single targets. It is immutable, and its methods are safe on a nil Table, which is empty.
type Table struct {
	at       time.Duration
	targets  map[ID]float64
	services map[string]ServiceLoad
	ignored  int
}

// NewTable returns the table of a summary that was made at a time. Entries that no Pool makes are ignored and counted.
func NewTable(s Summary, at time.Duration) *Table {
	t := &Table{at: at, targets: make(map[ID]float64, len(s.Targets)), services: make(map[string]ServiceLoad, len(s.Services))}
	for _, target := range s.Targets {
		if !validSlowness(target.Slowness) {
			t.ignored++
			continue
		}
		t.targets[target.ID] = target.Slowness
	}
	for _, service := range s.Services {
		if !validSlowness(service.Slowness) || !(service.Rejected >= 0 && service.Rejected <= 1) {
			t.ignored++
			continue
		}
		t.services[service.Service] = service
	}
	return t
}

// validSlowness is false for NaN too.
func validSlowness(slowness float64) bool { return slowness > 0 && slowness <= maxSlowness }

// Ignored returns the number of entries of the summary that were ignored.
func (t *Table) Ignored() int {
	if t == nil {
		return 0
	}
	return t.ignored
}

func (t *Table) empty(now time.Duration) bool {
	return t == nil || now-t.at > tableLifetime || t.at-now > clockDifference
}

// Slowness returns the response time of a target's requests as a multiple of their work. For a target that is not listed it returns
// that of the service, and 1 when both are unknown.
func (t *Table) Slowness(id ID, service string, now time.Duration) float64 {
	if t.empty(now) {
		return 1
	}
	if slowness, ok := t.targets[id]; ok {
		return slowness
	}
	return t.serviceSlowness(service)
}

// Weight returns the probability in (0, 1] with which a sampled target is considered for a new flow, 1 when unknown. All VMs have
// the same table: choosing the target with the largest weight would send the flows of all VMs to it.
func (t *Table) Weight(id ID, service string, now time.Duration) float64 {
	if t.empty(now) {
		return 1
	}
	slowness, ok := t.targets[id]
	if !ok {
		return 1
	}
	// The weight has no step where a target becomes listed: with one, the flows of all VMs would move to the targets below it, and
	// back with the next summary. 12% of the requests were rejected with 100 VMs.
	ratio := min(slowTarget*t.serviceSlowness(service)/slowness, 1)
	return max(ratio*ratio*ratio, minWeight)
}

// ServiceSlowness returns the slowness of the best targets of a service, 1 when unknown.
func (t *Table) ServiceSlowness(service string, now time.Duration) float64 {
	if t.empty(now) {
		return 1
	}
	return t.serviceSlowness(service)
}

func (t *Table) serviceSlowness(service string) float64 {
	if load, ok := t.services[service]; ok {
		return load.Slowness
	}
	return 1
}

// Rejected returns the share of the requests of a service that its targets rejected, 0 when unknown.
func (t *Table) Rejected(service string, now time.Duration) float64 {
	if t.empty(now) {
		return 0
	}
	return t.services[service].Rejected
}
