package retry_test

import (
	"time"

	"radishwell/core/retry"
)

// windowBudget is an entry with a window of its own and a part of the spare retries.
type windowBudget struct {
	window retry.Window
	spare  float64
}

func newEntryBudget(now time.Time, _, _ int) entryBudget {
	return &windowBudget{
		window: retry.Window{Ratio: 0.9 * jhinuk.ratio, Spare: 0.8 * jhinuk.spare / 10, Span: jhinuk.span, SpareFrom: now.Add(jhinuk.span)},
		spare:  0.8 * jhinuk.spare,
	}
}

func (w *windowBudget) recordFirst(now, _ time.Time) { w.window.RecordFirst(now) }
func (w *windowBudget) take(now time.Time) bool      { return w.window.Take(now) }
func (w *windowBudget) settle(time.Time)             {}
func (w *windowBudget) lose(time.Time)               {}

func (w *windowBudget) meet(_ time.Time, names []int) { w.window.Spare = w.spare / float64(len(names)) }
