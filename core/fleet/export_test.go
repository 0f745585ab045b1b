package fleet

// Remembered returns the number of lives whose signals a View holds.
func Remembered(v *View) int { return len(v.signals) }
