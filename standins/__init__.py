"""Small stand-ins for the systems that primroseledge works with."""
