package fleet

// RetainedSignals returns the number of incarnations whose signals a View keeps.
func RetainedSignals(v *View) int { return len(v.signals) }
