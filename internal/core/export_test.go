package core

// Leading reports whether this process leads and schedules.
func (c *Core) Leading() bool {
	return c.leadingRunner() != nil
}
