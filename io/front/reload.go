package front

import (
	"context"
	"reflect"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/platform"
)

// settingsInterval is the interval at which the settings file is read again,
// since it may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reads the settings file on SIGHUP and every settingsInterval.
func (a *App) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	current := a.settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-a.reloads:
			signalled = true
		case <-t.C:
		}
		current = a.reload(current, signalled)
	}
}

// reload reads the settings file and returns its settings, or current when they
// are invalid. New seeds take effect at once. Other changes take effect at the
// next start, since the platform restarts a process whose host changes.
func (a *App) reload(current platform.Settings, signalled bool) platform.Settings {
	next, err := platform.ReadSettings(a.opts.SettingsPath)
	if err != nil {
		a.logEvent(effect.Event{Name: "settings_refused", Detail: err.Error()})
		return current
	}
	changed := !reflect.DeepEqual(next, current)
	if changed || signalled {
		ev := effect.Event{Name: "settings_read", Detail: "changed=false"}
		if changed {
			ev.Detail = "changed=true in_force=seeds at_next_start=rest"
			a.queue.Push(&input.Hosts{Balancers: seeds(next)})
		}
		a.logEvent(ev)
	}
	return next
}
