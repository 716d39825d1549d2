package batch

import (
	"slices"

	"carawayshift.example/carawayshift"
)

// maxWaves is the number of waves that are kept; older ones are dropped.
const maxWaves = 256

// addWave adds a wave. A wave with a known ID is ignored.
func (t *Table) addWave(w carawayshift.Wave) {
	if t.wave(w.ID) != nil {
		return
	}
	w.Started, w.Done = nil, nil
	t.waves = append(t.waves, w)
	if len(t.waves) > maxWaves {
		t.waves = t.waves[1:]
	}
}

func (t *Table) wave(id int) *carawayshift.Wave {
	i := slices.IndexFunc(t.waves, func(w carawayshift.Wave) bool { return w.ID == id })
	if i < 0 {
		return nil
	}
	return &t.waves[i]
}

func (t *Table) recordMaintenance(u carawayshift.WaveStep) {
	w := t.wave(u.Wave)
	if w == nil || !slices.Contains(w.Machines, u.Machine) {
		return
	}
	w.Started = withName(w.Started, u.Machine)
	if u.Done {
		w.Done = withName(w.Done, u.Machine)
	}
}

// withName returns list with name added. It copies the list, because readers may
// still hold the old one.
func withName(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}

// Waves returns the kept waves, oldest first.
func (t *Table) Waves() []carawayshift.Wave {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.waves)
}
