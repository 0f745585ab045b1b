package soak_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/soak"
	"radishwell/platform/stand"
)

func seconds(n ...float64) (out []time.Duration) {
	for _, s := range n {
		out = append(out, time.Duration(s*float64(time.Second)))
	}
	return out
}

// spans returns the spans between pairs of times, in seconds.
func spans(n ...float64) (out []soak.Span) {
	at := seconds(n...)
	for i := 0; i+1 < len(at); i += 2 {
		out = append(out, soak.Span{From: at[i], Until: at[i+1]})
	}
	return out
}

// wantRetryBound executes a play and checks that upstreams receive no more repeats than the budget allows.
func wantRetryBound(t *testing.T, play *soak.Standstill) {
	t.Helper()
	report, err := play.Execute()
	assert.NilError(t, err)
	t.Log(report)
	assert.Assert(t, report.Worst.Over() <= 0, report)
	assert.Equal(t, len(report.Panics), 0)
	assert.Assert(t, report.Served > 0)
}

// Guards against repeats beyond the bound once upstreams that stood still under load read what they were
// sent, after the load has fallen.
func TestStandstillsKeepRetryBound(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	for name, play := range map[string]soak.Standstill{
		"engines":                 {Entries: 5, Engines: 9, Services: 2, Stopped: 7, Rate: 150, Load: spans(0, 12), Stops: spans(8, 30), Length: 32 * time.Second},
		"engines, entries killed": {Entries: 5, Engines: 9, Services: 2, Stopped: 7, Rate: 150, Load: spans(0, 12), Stops: spans(8, 34), Kills: seconds(11, 13), Length: 36 * time.Second},
		"plain":                   {Entries: 2, Engines: 2, Services: 24, Stopped: 20, Plain: true, Rate: 300, Load: spans(0, 14), Stops: spans(8, 30), Length: 32 * time.Second},
		"plain, entries killed, for more than a minute": {Entries: 2, Engines: 2, Services: 24, Stopped: 20, Plain: true, Rate: 300, Load: spans(0, 14), Stops: spans(8, 75), Kills: seconds(16), Length: 77 * time.Second},
		"links": {Entries: 5, Engines: 9, Services: 2, Stopped: 7, Links: true, Rate: 150, Load: spans(0, 12), Stops: spans(8, 30), Kills: seconds(11), Length: 32 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play.Program, play.Dir, play.Seed, play.Ratio, play.Spare, play.Rest = []string{self}, t.TempDir(), 1, 0.2, 56, 2
			wantRetryBound(t, &play)
		})
	}
}

// Guards against retries that are paid from requests which were sent in other windows than those in which
// entries read them, since a link held them.
func TestHeldRequestsKeepRetryBound(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	for name, play := range map[string]soak.Standstill{
		"the load falls while links hold": {Services: 12, Rate: 150, Rest: 60, Load: spans(0, 26), Holds: spans(20, 32), Breaks: spans(36.5, 50), BreakShare: 0.45},
		"kept connections":                {Services: 12, Rate: 150, Rest: 60, Load: spans(0, 26), Holds: spans(20, 32), Breaks: spans(36.5, 50), BreakShare: 0.45, Kept: true},
		"links are squeezed":              {Services: 12, Rate: 150, Rest: 20, Load: spans(0, 26), Squeezes: spans(14, 45), SqueezeRate: 20_000, Breaks: spans(38, 50), BreakShare: 0.55},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play.Program, play.Dir, play.Seed, play.Ratio, play.Spare = []string{self}, t.TempDir(), 1, 0.2, 56
			play.Entries, play.Engines, play.Plain, play.Length = 5, 2, true, 52*time.Second
			wantRetryBound(t, &play)
		})
	}
}

// Guards against entries that give up sound upstreams which need more than half of a request's time, and spend the
// retry budget on it.
func TestSlowSoundUpstreamsServeAll(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	for name, play := range map[string]soak.Standstill{
		"few":  {Services: 3, Rest: 10},
		"many": {Services: 12, Rest: 30},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play.Program, play.Dir, play.Seed, play.Ratio, play.Spare = []string{self}, t.TempDir(), 1, 0.2, 56
			play.Entries, play.Engines, play.Plain, play.Work, play.Length = 5, 2, true, 2200*time.Millisecond, 20*time.Second
			report, err := play.Execute()
			assert.NilError(t, err)
			t.Log(report)
			assert.Equal(t, report.Served, report.Requests)
			assert.Equal(t, report.Worst.All, 0)
		})
	}
}

// Guards against entries that keep what many faulty upstreams send without end, run out of memory, and end with the
// requests of others.
func TestEndlessAnswersEndNoEntry(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	for name, fault := range map[string]stand.WorkerFault{"in heads": stand.EndlessHead, "in bodies": stand.EndlessBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := soak.Standstill{
				Program: []string{self}, Dir: t.TempDir(), Seed: 1, Ratio: 0.2, Spare: 56, Entries: 2, Engines: 2, Services: 6, Plain: true,
				Rest: 40, Breaks: spans(1, 12), BreakShare: 0.5, BreakFault: fault, Length: 14 * time.Second,
			}
			report, err := play.Execute()
			assert.NilError(t, err)
			t.Log(report, report.PeakMemory>>20, "MiB")
			const limit = 284 << 20
			assert.Assert(t, report.PeakMemory > 0 && report.PeakMemory <= limit, "%d MiB", report.PeakMemory>>20)
			assert.Equal(t, report.Starts, play.Entries, "an entry ended by itself")
			assert.Assert(t, report.Served >= report.Requests*4/10, report)
		})
	}
}

// Guards against streams that wait until their deadlines at engines that cannot be reached, while their agents
// report that they run.
func TestBrokenWaysToEnginesLoseNoStreams(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	t.Parallel()
	const begins, detected = 8 * time.Second, 3 * time.Second
	play := soak.Standstill{
		Program: []string{self}, Dir: t.TempDir(), Seed: 1, Ratio: 0.2, Spare: 56, Rest: 40, Links: true,
		Entries: 5, Engines: 9, Services: 2, Stopped: 7, Stops: spans(8, 60), Length: 30 * time.Second,
	}
	report, err := play.Execute()
	assert.NilError(t, err)
	t.Log(report)
	late := slices.DeleteFunc(report.Unserved, func(at time.Duration) bool { return at < begins+detected })
	assert.Assert(t, len(late) <= report.Requests/100, "%d sent more than %v after engines could not be reached", len(late), detected)
	assert.Assert(t, report.Worst.Over() <= 0, report)
}
