"""Jobs: their steps, tasks, runs and records, and how they are scheduled."""
