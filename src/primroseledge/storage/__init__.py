"""Records and documents, and the clients of the services that keep them."""
