"""The path of a request, from the client to a replica and back."""
