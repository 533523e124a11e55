package upstream

import "slices"

// HasIdle reports whether there is an idle connection to an address that a request can use now, unless
// it wants a new one.
func (p *Pool) HasIdle(address string) bool {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idleConns[address], func(c *pooledConn) bool { return now.Before(c.reuseUntil) })
}
