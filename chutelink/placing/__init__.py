"""Which models endpoints hold: the lease, the plan and the orders of one daemon."""
