package controller

// Ready reports whether this controller can serve users, as GET /up does.
func (c *Controller) Ready() bool { return c.healthy() }

// healthy determines the response to GET /up. A controller that cannot read the store is unhealthy
// while a sibling can, because that sibling serves users better; if no sibling can, it stays
// healthy. A controller that also receives no status from any sibling cannot know, and assumes that
// it alone is disconnected.
// Without this check, a disconnected controller that refuses every request and closes its
// connections would have the fewest connections, and a least-connections load balancer would send
// it all users.
func (c *Controller) healthy() bool {
	if c.IsStopping() {
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
