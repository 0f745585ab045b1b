package fleet

// Words returns the number of lives whose word a View holds.
func Words(v *View) int { return len(v.words) }
