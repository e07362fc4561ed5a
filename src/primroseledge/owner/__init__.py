"""The owner of the fleet: it decides about jobs, workers and instances."""
