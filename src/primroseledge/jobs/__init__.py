"""Jobs of steps of tasks: their records and the decisions about them."""
