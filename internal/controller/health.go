package controller

// Ready reports whether users are served.
func (c *Controller) Ready() bool { return c.healthy() }

// healthy decides GET /up: a controller that does not read the store forwards users
// while a sibling reads it; if none does, there is nobody better. A controller that
// hears no sibling either can't tell, and assumes that it alone is cut off.
// Guards against a controller that is cut off, refuses every request and closes its
// connections, drawing all users as the one with the fewest.
func (c *Controller) healthy() bool {
	if c.Draining() {
		return false
	}
	c.Lock()
	defer c.Unlock()
	if c.StoreReadRecently() {
		return c.Cache.Consistent()
	}
	isolated := len(c.Peers.Siblings) > 0
	for _, sibling := range c.Peers.Siblings {
		if c.Peers.IsFresh(sibling) {
			if sibling.Status.HasStore {
				return false
			}
			isolated = false
		}
	}
	return !isolated && c.Cache.Consistent()
}
