package boot

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/core/sched"
	"mangolug.org/router/front"
	"mangolug.org/router/peers"
)

// maxAnticipate is the longest time that a free slot may deliberately be kept idle.
const maxAnticipate = 100 * time.Millisecond

// Settings are a router's flags and environment variables.
type Settings struct {
	Name        string        `long:"name" env:"MANGOLUG_NAME" required:"yes" description:"name of this VM on the platform's list"`
	DataCentre  string        `long:"data-centre" env:"MANGOLUG_DATA_CENTRE" required:"yes" description:"data centre of this VM"`
	Listen      string        `long:"listen" env:"MANGOLUG_LISTEN" default:"127.0.0.1:8080" description:"ip:port for callers"`
	PeerListen  string        `long:"peer-listen" env:"MANGOLUG_PEER_LISTEN" default:"127.0.0.1:8081" description:"ip:port for peers to connect to"`
	PeerAddress string        `long:"peer-address" env:"MANGOLUG_PEER_ADDRESS" description:"ip:port of this router on the platform's list; the same as peer-listen if not set"`
	Admin       string        `long:"admin" env:"MANGOLUG_ADMIN" default:"127.0.0.1:8082" description:"ip:port for health, metrics and operators"`
	Platform    string        `long:"platform" env:"MANGOLUG_PLATFORM" required:"yes" description:"base URL of the platform's configuration service"`
	Secrets     []string      `long:"secret" env:"MANGOLUG_SECRETS" env-delim:"," required:"yes" description:"fleet secret; the first signs, all are accepted"`
	Source      string        `long:"source" env:"MANGOLUG_SOURCE" description:"ip that outgoing connections are bound to"`
	Policy      string        `long:"policy" env:"MANGOLUG_POLICY" default:"fair" choice:"fair" choice:"leastLoaded" choice:"alone" description:"fair, or a baseline to measure against"`
	Anticipate  time.Duration `long:"anticipate" env:"MANGOLUG_ANTICIPATE" default:"0s" description:"how long a free slot may wait for a team that is behind its share and was just served; narrows the fairness gap, costs utilisation"`
	DrainDelay  time.Duration `long:"drain-delay" env:"MANGOLUG_DRAIN_DELAY" default:"2s" description:"how long a stopping router still takes callers, while the balancer learns of it"`
	DrainLimit  time.Duration `long:"drain-limit" env:"MANGOLUG_DRAIN_LIMIT" default:"60s" description:"how long a stopping router lets requests finish"`
	TraceBytes  int64         `long:"trace-bytes" env:"MANGOLUG_TRACE_BYTES" default:"0" description:"memory, compressed, for a trace of all control decisions since the start; 0 records none"`
	Callers     Callers       `group:"Limits on callers"`
	LogLevel    string        `long:"log-level" env:"MANGOLUG_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
}

// Callers are the limits on callers; 0 selects the default of package front.
type Callers struct {
	HeaderBytes  int           `long:"header-bytes" env:"MANGOLUG_HEADER_BYTES" default:"32768" description:"of a request's header"`
	BodyBytes    int64         `long:"body-bytes" env:"MANGOLUG_BODY_BYTES" default:"4194304" description:"of a request's body"`
	HeldBytes    int64         `long:"held-bytes" env:"MANGOLUG_HELD_BYTES" default:"134217728" description:"of all bodies held at once"`
	Open         int           `long:"open" env:"MANGOLUG_OPEN" default:"8192" description:"requests open at once"`
	OpenPerTeam  int           `long:"open-per-team" env:"MANGOLUG_OPEN_PER_TEAM" default:"2048" description:"requests of one team open at once"`
	Timeout      time.Duration `long:"timeout" env:"MANGOLUG_TIMEOUT" default:"30s" description:"deadline of a request that names none"`
	TimeoutLimit time.Duration `long:"timeout-limit" env:"MANGOLUG_TIMEOUT_LIMIT" default:"2m" description:"longest deadline that a request may name"`
	ReadTimeout  time.Duration `long:"read-timeout" env:"MANGOLUG_READ_TIMEOUT" default:"10s" description:"for a caller to send its header, and again its body"`
	WriteTimeout time.Duration `long:"write-timeout" env:"MANGOLUG_WRITE_TIMEOUT" default:"10s" description:"for a caller to take one part of its answer"`
	QueueLength  int           `long:"queue-length" env:"MANGOLUG_QUEUE_LENGTH" default:"512" description:"requests that one team may have waiting here for one product"`
	QueueBytes   int64         `long:"queue-bytes" env:"MANGOLUG_QUEUE_BYTES" default:"16777216" description:"bytes that one team's waiting requests may hold here for one product"`
}

// check returns a *SettingError for a negative limit.
func (c *Callers) check() error {
	limits := []struct {
		setting string
		value   int64
	}{
		{"header-bytes", int64(c.HeaderBytes)},
		{"body-bytes", c.BodyBytes},
		{"held-bytes", c.HeldBytes},
		{"open", int64(c.Open)},
		{"open-per-team", int64(c.OpenPerTeam)},
		{"timeout", int64(c.Timeout)},
		{"timeout-limit", int64(c.TimeoutLimit)},
		{"read-timeout", int64(c.ReadTimeout)},
		{"write-timeout", int64(c.WriteTimeout)},
		{"queue-length", int64(c.QueueLength)},
		{"queue-bytes", c.QueueBytes},
	}
	for _, l := range limits {
		if l.value < 0 {
			return &SettingError{l.setting, fmt.Sprint(l.value), "0 for the default, or more"}
		}
	}
	return nil
}

// front returns the limits as settings of package front.
func (c *Callers) front() front.Settings {
	return front.Settings{
		HeaderBytes: c.HeaderBytes, BodyBytes: c.BodyBytes, BufferedBodyBytes: c.HeldBytes, MaxOpen: c.Open, MaxOpenPerTeam: c.OpenPerTeam,
		Timeout: c.Timeout, TimeoutLimit: c.TimeoutLimit, ReadTimeout: c.ReadTimeout, WriteTimeout: c.WriteTimeout,
	}
}

// SettingError reports an invalid setting and what is expected.
type SettingError struct {
	Setting, Value, Want string
}

// Error returns a message with the setting, its value and what is expected.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s is %q: want %s", e.Setting, e.Value, e.Want)
}

// namePattern is the form of a name; it must suit a DNS name, as peers check a router's name against its certificate.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse parses flags and environment variables, of which flags take precedence, and checks the settings.
// The error is a *flags.Error or a *SettingError.
func Parse(arguments []string) (*Settings, error) {
	s := &Settings{}
	parser := flags.NewNamedParser("router", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", s); err != nil {
		return nil, errors.Wrap(err, "define settings")
	}
	rest, err := parser.ParseArgs(arguments)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, &SettingError{Setting: "", Value: rest[0], Want: "no arguments besides flags"}
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	return s, s.check()
}

func (s *Settings) check() error {
	if !namePattern.MatchString(s.Name) {
		return &SettingError{"name", s.Name, "1 to 63 of a-z, 0-9 and -, as in lahore-1"}
	}
	if !namePattern.MatchString(s.DataCentre) {
		return &SettingError{"data-centre", s.DataCentre, "1 to 63 of a-z, 0-9 and -, as in lahore"}
	}
	addresses := []struct{ setting, value string }{
		{"listen", s.Listen}, {"peer-listen", s.PeerListen}, {"peer-address", s.PeerAddress}, {"admin", s.Admin},
	}
	for _, a := range addresses {
		if err := checkAddress(a.setting, a.value); err != nil {
			return err
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &SettingError{"platform", s.Platform, "a URL, as in http://10.0.0.5:8500"}
	}
	if s.Source != "" && net.ParseIP(s.Source) == nil {
		return &SettingError{"source", s.Source, "an ip number"}
	}
	for _, secret := range s.Secrets {
		if len(secret) < peers.MinSecret {
			return &SettingError{"secret", fmt.Sprintf("(%d bytes)", len(secret)), fmt.Sprintf("at least %d bytes", peers.MinSecret)}
		}
	}
	if s.DrainDelay < 0 || s.DrainLimit < s.DrainDelay {
		return &SettingError{"drain-limit", s.DrainLimit.String(), "a duration of at least drain-delay"}
	}
	if s.Anticipate < 0 || s.Anticipate > maxAnticipate {
		return &SettingError{"anticipate", s.Anticipate.String(), "0s to " + maxAnticipate.String()}
	}
	if err := s.Callers.check(); err != nil {
		return err
	}
	if s.TraceBytes < 0 {
		return &SettingError{"trace-bytes", fmt.Sprint(s.TraceBytes), "0 or a number of bytes"}
	}
	return nil
}

func checkAddress(setting, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return &SettingError{setting, value, "ip:port, as in 10.0.0.5:8080"}
	}
	return nil
}

// policy returns the scheduling policy.
func (s *Settings) policy() sched.Policy {
	if s.Policy == "leastLoaded" {
		return sched.LeastLoaded
	}
	return sched.Fair
}
