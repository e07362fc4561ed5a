"""The operators' command line and the changes that it makes."""
