"""Jobs as submitted, their steps and tasks, and the records stored of them."""
