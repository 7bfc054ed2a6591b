package registry

import "slices"

// Priorities returns the distinct priorities of the routes to each service of the configuration in force, the most urgent first.
func (r *Registry) Priorities() map[string][]int {
	priorities := map[string][]int{}
	if r.config == nil {
		return priorities
	}
	for i := range r.config.Routes {
		route := &r.config.Routes[i]
		for _, b := range route.Backends {
			if b.Weight > 0 && !slices.Contains(priorities[b.Service], route.Priority) {
				priorities[b.Service] = append(priorities[b.Service], route.Priority)
			}
		}
	}
	for _, p := range priorities {
		slices.Sort(p)
	}
	return priorities
}
