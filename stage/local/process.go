package local

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one program of a fleet, which can be started again after its end.
type Process struct {
	Name string
	Path string
	Args []string
	Env  []string // NAME=value, added to this process's own environment
	Log  string   // file that its output is added to

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed once the process has ended
	state   *os.ProcessState
}

// starts carries commands to the one thread that starts processes: the system
// ends a child when the thread that started it ends, so that thread must stay.
var starts = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// Start starts the process; one that is running is an error.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		return errors.Errorf("%s is running", p.Name)
	}
	output, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.Path, p.Args...)
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts() <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		p.mutex.Lock()
		p.state = command.ProcessState
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// running says whether the process has not ended; the caller holds the mutex.
func (p *Process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s os.Signal) (<-chan struct{}, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.running() {
		return nil, errors.Errorf("%s is not running", p.Name)
	}
	return p.ended, errors.Wrapf(p.command.Process.Signal(s), "%v to %s", s, p.Name)
}

// Signal sends a signal to the process; one that is not running is an error.
func (p *Process) Signal(s os.Signal) error {
	_, err := p.signal(s)
	return err
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	ended, err := p.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-ended
	return nil
}

// Freeze stops the process's execution with SIGSTOP.
func (p *Process) Freeze() error {
	_, err := p.signal(syscall.SIGSTOP)
	return err
}

// Continue lets a frozen process run on.
func (p *Process) Continue() error {
	_, err := p.signal(syscall.SIGCONT)
	return err
}

// Terminate asks the process to stop, with SIGTERM, and gives a channel that closes at its end.
func (p *Process) Terminate() (<-chan struct{}, error) { return p.signal(syscall.SIGTERM) }

// Stop asks the process to stop and gives its exit status; after the limit it is killed, which is an error.
func (p *Process) Stop(limit time.Duration) (int, error) {
	ended, err := p.Terminate()
	if err != nil {
		return 0, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		_ = p.Kill()
		return 0, errors.Errorf("%s did not stop within %v", p.Name, limit)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state.ExitCode(), nil
}

// Restart kills the process if it runs and starts it again with the same settings.
func (p *Process) Restart() error {
	if p.Running() {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	return p.Start()
}

// Running says whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.running()
}

// PID returns the process id, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.running() {
		return 0
	}
	return p.command.Process.Pid
}
