"""What the owner knows of each worker: capacity, lease, runs, reliability."""
