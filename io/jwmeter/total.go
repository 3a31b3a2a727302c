package jwmeter

import dto "github.com/prometheus/client_model/go"

// sumFamily returns the sum of the series of a family that have all of the tags.
func sumFamily(f *dto.MetricFamily, tags Tags) float64 {
	total := 0.0
	for _, m := range f.GetMetric() {
		if matches(m, tags) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return total
}

func matches(m *dto.Metric, tags Tags) bool {
	found := 0
	for _, label := range m.GetLabel() {
		if value, ok := tags[label.GetName()]; ok && value == label.GetValue() {
			found++
		}
	}
	return found == len(tags)
}
