"""The adapter to the users' platform; only here its names are known."""
