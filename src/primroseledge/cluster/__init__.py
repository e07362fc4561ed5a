"""Entry instances together: the owner, its ledger, and peers' messages."""
