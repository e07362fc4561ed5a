"""The owner: decisions about jobs and instances, and what they store."""
