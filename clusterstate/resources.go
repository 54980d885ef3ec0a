package clusterstate

// Resources is an amount of CPU and GPU, each in thousandths, and memory in MB.
type Resources [3]int64

// Fits reports whether request fits into v.
func (v Resources) Fits(request Resources) bool {
	return v[0] >= request[0] && v[1] >= request[1] && v[2] >= request[2]
}

// AddScaled returns v plus factor times w.
func (v Resources) AddScaled(w Resources, factor int64) Resources {
	return Resources{v[0] + factor*w[0], v[1] + factor*w[1], v[2] + factor*w[2]}
}

// exceedsAny reports whether v has more than w of any resource.
func (v Resources) exceedsAny(w Resources) bool { return v[0] > w[0] || v[1] > w[1] || v[2] > w[2] }
