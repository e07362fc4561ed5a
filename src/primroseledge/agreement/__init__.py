"""Which entry instance owns what, and which configuration is in force."""
