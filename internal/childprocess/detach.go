package childprocess

// Detach returns a Process with the running program of p, so that the next one of p can be
// started before the program has ended. It returns nil if p is not running.
func (p *Process) Detach() *Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	old := &Process{Name: p.Name, Args: p.Args, Env: p.Env, LogPath: p.LogPath, cmd: p.cmd, exited: p.exited, result: p.result}
	p.cmd, p.exited, p.result = nil, nil, nil
	return old
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
