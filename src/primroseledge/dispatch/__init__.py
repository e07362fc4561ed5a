"""Orders to workers, polls of them, and the effects of their answers."""
