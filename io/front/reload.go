package front

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/platform"
)

// settingsEvery is the interval at which the settings file is read again, since
// it may change without a signal.
const settingsEvery = 5 * time.Second

// watchSettings reads the settings file on SIGHUP and now and then.
func (a *App) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	known := a.settings
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			asked = true
		case <-t.C:
		}
		known = a.reload(known, asked)
	}
}

// reload compares the settings file with what is known. New seeds are looked for
// at once. Addresses and limits are those of the start, since the platform
// restarts a process whose host changes.
func (a *App) reload(known platform.Settings, asked bool) platform.Settings {
	next, err := platform.ReadSettings(a.opts.SettingsPath)
	if err != nil {
		a.event(effect.Event{Name: "settings_refused", Detail: err.Error()})
		return known
	}
	changed := !reflect.DeepEqual(next, known)
	if changed || asked {
		ev := effect.Event{Name: "settings_read", Detail: "changed=false"}
		if changed {
			ev.Detail = "changed=true in_force=seeds at_next_start=rest"
			a.queue.Push(&input.Hosts{Balancers: seeds(next)})
		}
		a.event(ev)
	}
	return next
}
