"""Schedule jobs: the state of jobs and workers, and the planning of runs."""
