"""Stand-ins of the second review: workers, services, and a small site."""
