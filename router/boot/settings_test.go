package boot

import (
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

func TestParse(t *testing.T) {
	good := []string{"--name=lahore-1", "--data-centre=lahore", "--platform=http://127.0.0.1:8500", "--secret=0123456789abcdef"}
	cases := map[string]struct {
		extra   []string
		setting string // expected in the error; empty for no error
	}{
		"sound":          {},
		"bad name":       {extra: []string{"--name=Lahore 1"}, setting: "name"},
		"listen by name": {extra: []string{"--listen=localhost:80"}, setting: "listen"},
		"no port":        {extra: []string{"--admin=127.0.0.1"}, setting: "admin"},
		"platform":       {extra: []string{"--platform=127.0.0.1:8500"}, setting: "platform"},
		"short secret":   {extra: []string{"--secret=short"}, setting: "secret"},
		"source":         {extra: []string{"--source=eth0"}, setting: "source"},
		"limit below 0":  {extra: []string{"--open=-1"}, setting: "open"},
		"anticipate":     {extra: []string{"--anticipate=1s"}, setting: "anticipate"},
		"drain":          {extra: []string{"--drain-limit=1s", "--drain-delay=2s"}, setting: "drain-limit"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(append(append([]string{}, good...), c.extra...))
			var settingErr *SettingError
			if errors.As(err, &settingErr) {
				if settingErr.Setting != c.setting {
					t.Errorf("error for setting %s, want %q", settingErr.Setting, c.setting)
				}
			} else if err != nil || c.setting != "" {
				t.Errorf("got %v, want an error for setting %q", err, c.setting)
			}
		})
	}
	var missing *flags.Error
	if _, err := Parse(good[1:]); !errors.As(err, &missing) || missing.Type != flags.ErrRequired {
		t.Errorf("without a name: got %v", err)
	}
}
