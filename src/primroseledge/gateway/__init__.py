"""The daemon that serves requests: its loop, servers and threads."""
